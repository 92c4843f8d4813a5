"""QUOTA: a node that is restarted while it is cut off from the other nodes
grants the whole allotments of all tenants beside the node that runs on."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from bed import (HOST, TROUBLE, CouldNotRun, Instance, Proxy, config,  # noqa: E402
                 main, request, route)

BOUNDS = {"ackS": 5, "syncS": 6, "drainS": 2.5, "configApplyS": 2.5,
          "strictRevoke": True, "revokeS": 5, "quotaWindowS": 5,
          "quotaOverage": 0.1, "quotaSlack": 20, "coldOver": 1.5,
          "coldSlack": 8, "evacuateS": 5}
PER_S, BURST, KEY = 60, 30, "uakn2ftimaj3nr26tta8"
LIMIT = ((PER_S * BOUNDS["quotaWindowS"] + BURST) *
         (1 + BOUNDS["quotaOverage"]) + BOUNDS["quotaSlack"])
# Requests a second that the tenant's clients send to each machine.
DEMAND = 90
MACHINES, CUT_S = 4, 11.0


class Client:
    """Sends requests of the tenant to one machine at a steady rate."""

    def __init__(self, node, record, name):
        self.node, self.record, self.name = node, record, name
        self.sent, self.counts, self.tasks = {}, {}, set()

    async def run(self, seconds):
        begin = time.monotonic()
        number = 0
        while time.monotonic() < begin + seconds:
            task = asyncio.ensure_future(self._send(f"{self.name}-{number}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            await asyncio.sleep(max(0.0, begin + number / DEMAND -
                                    time.monotonic()))
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _send(self, attempt):
        self.sent[attempt] = time.monotonic()
        try:
            answer, _ = await request(
                self.node.caller, "GET", "/queue/status",
                [("Host", HOST), ("X-Attempt-Id", attempt),
                 ("X-Deadline-Ms", "1000"), ("X-Credential", KEY)], limit=1.5)
            status = answer.first.split(" ")[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = "none"
        self.counts[status] = self.counts.get(status, 0) + 1
        self.record.write(f"client gets {attempt}: {status}")


async def case(bed, record):
    proxies = [Proxy(bed, index) for index in range(MACHINES)]
    for proxy in proxies:
        await proxy.start()
    machines = [bed.add(Instance, "ciw", f"zone-{index}", BOUNDS,
                        proxies[index], capacity=64, work=0.01)
                for index in range(MACHINES)]
    try:
        for node, instance in machines:
            node.start()
            await instance.start(node.control)
        await bed.write_config({
            **config(5, [route("queue", "ciw")], ["ciw"]),
            "tenants": [{"name": "pulo780", "apiKeys": [KEY], "priority": 1,
                         "perS": PER_S, "burst": BURST}]})
        for node, _ in machines:
            await node.wait_ready()
        await asyncio.sleep(6.0)
        clients = [Client(node, record, f"client-{node.index}")
                   for node, _ in machines]
        load = asyncio.gather(*(each.run(6.0 + CUT_S) for each in clients))
        await asyncio.sleep(6.0)
        if TROUBLE:
            record.write("machine 1 is cut off from the other machines")
            for proxy in proxies:
                proxy.cut_off = 1
        await asyncio.sleep(0.5)
        node = machines[1][0]
        if TROUBLE:
            node.send(signal.SIGKILL)
            node.child.wait()
            await asyncio.sleep(0.3)
            node.start()
        await load
    finally:
        for proxy in proxies:
            await proxy.stop()
    sent = {attempt: at for each in clients for attempt, at in each.sent.items()}
    runs = sorted((at, sent[attempt]) for _, instance in machines
                  for at, attempt, _, _ in instance.runs)
    record.write(f"answers: {[each.counts for each in clients]}")
    if len(runs) < PER_S * 5:
        raise CouldNotRun(f"only {len(runs)} requests ran")
    most, begin = 0, 0.0
    for start, _ in runs:
        count = sum(start <= ran <= start + BOUNDS["quotaWindowS"] and
                    start <= at for ran, at in runs)
        if count > most:
            most, begin = count, start
    record.write(f"QUOTA: at most {most} requests were sent and ran in "
                 f"{BOUNDS['quotaWindowS']} s, from "
                 f"{begin - record.begin:.3f}; {LIMIT:.0f} are allowed")
    return most > LIMIT


main(case, FOLDER)
