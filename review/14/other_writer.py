"""While a machine is stopped as planned, the node of another machine gets a status
report of another writer, which names a service that isn't configured. The node
must go on with the instance that it has, and with the requests that it runs."""
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from loopback import (TROUBLE, Instance, Site, finish, give_up,  # noqa: E402
                      new_attempt, now, route)

STABLE_S, GRACE_S, ROUTE_TIMEOUT_S = 3.0, 6.0, 2.0
STOPPED, REPORTED = 0, 1
CLIENTS, DEADLINE_MS, WORK_S = 10, 1200, 0.16


class Timed(Instance):
    """Records when the work on a request has ended."""

    def __init__(self, *arguments, **options):
        self.ended = {}
        super().__init__(*arguments, **options)

    def answer(self, start, fields, attempt):
        self.ended[attempt] = now()
        return super().answer(start, fields, attempt)


def main():
    site = Site(RECORD, ["shop", "orders", "orders"])
    site.heartbeat, site.grace = 1.5, GRACE_S
    site.configure([route("order", "unsafe", "orders",
                          timeout=ROUTE_TIMEOUT_S)])
    for vm in range(3):
        site.add_instance(vm, Timed, work=WORK_S)
    site.start_nodes()
    if not (site.wait_ready() and site.wait_served(0, "POST", "/order/0")):
        give_up(site, "no request was served")
    stop, requests = threading.Event(), []

    def client():
        while not stop.is_set():
            attempt, sent = new_attempt(), now()
            answer = site.send(STOPPED, "POST", "/order/1", attempt,
                               body=b"one order", deadline_ms=DEADLINE_MS)
            requests.append((attempt, sent, now(), answer))
            if answer.status != 200:
                time.sleep(0.1)

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(STABLE_S + 1.0)
    stopped = now()
    site.nodes[STOPPED].send_signal(signal.SIGTERM)
    time.sleep(0.1)
    instance = site.instances[REPORTED]
    if TROUBLE:
        _, body = instance.status_report()
        body.update(service="stock", born=int(time.time() * 1000), sequence=1)
        status = instance.send_control("PUT", "/hyssopford/instances/w-1", body)
        site.record.write(f"REPORT w-1 of another writer, service stock: "
                          f"{status}")
    time.sleep(1.5)
    stop.set()
    for thread in threads:
        thread.join()
    path, body = instance.status_report()
    status = instance.send_control("PUT", path, body)
    site.record.write(f"REPORT {instance.id}: {status}")
    broken = []
    for attempt, sent, answered, answer in requests:
        ran = [each for each in site.instances.values()
               if any(run[1] == attempt for run in each.runs)]
        at_work = any(answered < each.ended.get(attempt, now()) for each in ran)
        in_time = answered < sent + min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S)
        if at_work and in_time and stopped < answered < stopped + GRACE_S + 1:
            broken.append(attempt)
            site.record.write(f"BROKEN OFF {attempt}, sent at {sent:.3f}, "
                              f"answered {answer.status} {answer.error} at "
                              f"{answered:.3f}")
    served = sum(answer.status == 200 for *_, answer in requests)
    if served < 100:
        give_up(site, f"only {served} requests were served")
    finish(site, bool(broken), f"{len(broken)} requests were broken off after "
           f"the SIGTERM while their instance was at work; the next report of "
           f"{instance.id} got {status}; {served} of {len(requests)} served")


main()
