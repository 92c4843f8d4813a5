"""BUDGET: after all processes were killed at the same moment, a request that is
known to crash instances is handed to them again."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from bed import (HOST, TROUBLE, CouldNotRun, Instance, config, main,  # noqa: E402
                 request, route)

STABLE_S, PERIOD_S, RETRIES_MAX = 3.0, 4.0, 3


class Fragile(Instance):
    """An instance that ends when it begins to run the request, and is back
    after two seconds under a new id."""
    arrivals = []

    async def answer(self, attempt, head, body, writer):
        if "/deadly" not in head.first:
            return await super().answer(attempt, head, body, writer)
        Fragile.arrivals.append(time.monotonic())
        self.record.write(f"instance {self.name} is crashed by {attempt}, "
                          f"the crash number {len(Fragile.arrivals)}")
        asyncio.ensure_future(self._return())
        return False

    async def _return(self):
        for writer in list(self.writers):
            writer.transport.abort()
        await self.stop()
        await asyncio.sleep(2.0)
        name, _, number = self.name.partition(".")
        self.name = f"{name}.{int(number or 0) + 1}"
        self.sequence, self.running = 0, 0
        await self.start(self.control)
        self.record.write(f"instance {self.name} starts")


async def send(node, record, attempt, path):
    record.write(f"client sends {attempt} {path} to node {node.index}")
    try:
        answer, _ = await request(
            node.caller, "GET", path,
            [("Host", HOST), ("X-Attempt-Id", attempt),
             ("X-Deadline-Ms", "1000")])
        status = answer.first.split(" ")[1]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = "none"
    record.write(f"client gets {attempt}: {status}")


async def case(bed, record):
    machines = [bed.add(Fragile, "catalogue", f"zone-{index}")
                for index in range(3)]
    for node, instance in machines:
        node.start()
        instance.period = 1.5
        await instance.start(node.control)
    await bed.write_config(config(6, [route("catalogue", "catalogue")],
                                  ["catalogue"]))
    for node, _ in machines:
        await node.wait_ready()
    await asyncio.sleep(4.0)
    begin, killed, third = time.monotonic(), None, None
    for number in range(21):
        await asyncio.sleep(max(0.0, begin + number * PERIOD_S -
                                time.monotonic()))
        node = machines[number % 3][0]
        await send(node, record, f"deadly-{number}", "/catalogue/deadly")
        await send(node, record, f"plain-{number}", f"/catalogue/{number}")
        if third is None and len(Fragile.arrivals) >= 3:
            third = Fragile.arrivals[2]
        if third and not killed and time.monotonic() > third + STABLE_S:
            # Half a period before the request comes again, then all machines
            # run for longer than stableWindowS.
            killed = time.monotonic()
            if TROUBLE:
                for each, _ in machines:
                    each.send(signal.SIGKILL)
                for each, _ in machines:
                    each.child.wait()
                    each.start()
    if third is None:
        raise CouldNotRun("the request did not crash three instances")
    restarted = killed + 0.5 if TROUBLE and killed else None
    counted = [at for at in Fragile.arrivals if at > third + STABLE_S and
               not (restarted and killed <= at < restarted + STABLE_S)]
    for at in counted:
        record.write(f"BUDGET: a retry reaches an instance {at - third:.3f} s "
                     "after the third crash")
    record.write(f"{len(counted)} retries, {RETRIES_MAX} are allowed")
    return len(counted) > RETRIES_MAX


main(case, FOLDER / "record.txt")
