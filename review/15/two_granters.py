"""One of four machines is cut off from the other nodes, not from the store, and
its node restarts meanwhile. All nodes together must keep a tenant's allotment."""
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from loopback import (CALLERS, TROUBLE, Site, finish, give_up,  # noqa: E402
                      new_attempt, now, request, route)

# Bounds of demands/tregaron-sign-grown.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
BOUNDS = {"strictRevoke": True, "revokeS": 5, "configApplyS": 2.5,
          "drainS": 2.5, "ackS": 5, "syncS": 6, "quotaWindowS": WINDOW_S,
          "quotaOverage": OVERAGE, "quotaSlack": SLACK}
PER_S, BURST = 60, 40
ALLOWED = (PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
MACHINES, CUT_OFF, CLIENTS = 4, 3, 4
CALM_S, CUT_S = 5.0, 10.0
KEY = "key-1"


def most_in_window(times):
    """Returns the most times within any span of the window's length."""
    times, first, most = sorted(times), 0, 0
    for last, when in enumerate(times):
        while when - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def main():
    site = Site(RECORD, ["ciw"] * MACHINES, bounds=BOUNDS)
    site.configure([route("status", "safe", "ciw")], tenants=[
        {"name": "tenant-1", "apiKeys": [KEY], "perS": PER_S, "burst": BURST}])
    site.add_proxies()
    for vm in range(MACHINES):
        site.add_instance(vm, work=0.005)
    site.start_nodes()
    stop, sent = threading.Event(), {}

    def ask(vm):
        attempt = new_attempt()
        sent[attempt] = now()
        status = request(site.address(vm, CALLERS), "GET", "/status/1", attempt,
                         deadline_ms=1000, timeout=2.0,
                         fields={"X-Credential": KEY}).status
        site.record.write(f"SENT at {sent[attempt]:.3f} to {vm} {attempt}, "
                          f"ANSWER {status}")
        return status

    def client(vm):
        while not stop.is_set():
            time.sleep(0.03 if ask(vm) == 200 else 0.05)

    time.sleep(3.0)
    if not site.wait_ready() or ask(0) not in (200, 429):
        give_up(site, "the nodes did not start")
    for vm in range(MACHINES):
        for _ in range(CLIENTS):
            threading.Thread(target=client, args=(vm,), daemon=True).start()
    time.sleep(CALM_S)
    if TROUBLE:
        site.cut = CUT_OFF
        site.record.write(f"CUT {CUT_OFF} from the other nodes")
    node = site.nodes[CUT_OFF]
    node.restart(signal.SIGKILL)
    time.sleep(CUT_S)
    site.cut = None
    site.record.write("HEALED")
    time.sleep(3.0)
    stop.set()
    time.sleep(1.0)
    runs = [sent[attempt] for instance in site.instances.values()
            for _, attempt, *_ in instance.runs if attempt in sent]
    most = most_in_window(runs)
    if len(runs) < PER_S * CALM_S / 2:
        give_up(site, f"only {len(runs)} requests were served")
    finish(site, most > ALLOWED, f"at most {most} requests of the tenant in "
           f"{WINDOW_S} s, {ALLOWED:.0f} are allowed")


main()
