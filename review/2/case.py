"""A machine is lost, its address goes to a machine of another service, and
later one node is killed and started again."""
import asyncio
import pathlib
import random
import sys
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_standin import (BOUNDS, PEERS, CannotRun, Client, Instance, Site,
                          main)  # noqa: E402

SERVICES = ["crews", "quotes"]
OF = [0, 1, 0, 1, 0, 1]  # the service of each machine
REUSED = 5
WORK_S = 0.25
MAX_LOST = 3  # RULES.md, LOST: "more than three times"


def xxh64(data):
    """XXH64 of less than 32 bytes with the seed 0."""
    p1, p2, p3, p4, p5 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F,
                          0x165667B19E3779F9, 0x85EBCA77C2B2AE63,
                          0x27D4EB2F165667C5)
    mask = 2 ** 64 - 1

    def rotate(value, bits):
        value &= mask
        return (value << bits | value >> 64 - bits) & mask

    h, at = (p5 + len(data)) & mask, 0
    while at + 8 <= len(data):
        lane = int.from_bytes(data[at:at + 8], "little")
        h ^= rotate(lane * p2, 31) * p1 & mask
        h = (rotate(h, 27) * p1 + p4) & mask
        at += 8
    if at + 4 <= len(data):
        h ^= int.from_bytes(data[at:at + 4], "little") * p1 & mask
        h = (rotate(h, 23) * p2 + p3) & mask
        at += 4
    for byte in data[at:]:
        h ^= byte * p5 & mask
        h = rotate(h, 11) * p1 & mask
    h = (h ^ h >> 33) * p2 & mask
    h = (h ^ h >> 29) * p3 & mask
    return h ^ h >> 32


class ReusedSite(Site):
    def _free_ports(self):
        for _ in range(1000):
            self.net = (f"127.{random.randint(10, 250)}."
                        f"{random.randint(0, 250)}")
            port = random.randrange(20000, 30000, 16)
            ids = [xxh64(f"{self.ip(m)}:{port + PEERS}".encode())
                   for m in range(self.machines)]
            if max(ids) == ids[REUSED]:
                return super()._free_ports(port)
        raise CannotRun("no addresses")

    def service(self, machine):
        return SERVICES[OF[machine]]


class PromptInstance(Instance):
    """Tries its first status report again until the node accepts it."""

    async def _report_for_ever(self):
        while not await self.send_report():
            self.sequence -= 1
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
        await super()._report_for_ever()


async def case(folder, trouble):
    OF[REUSED] = 1
    site = ReusedSite(folder, machines=6, services=SERVICES)
    try:
        await site.start(lambda machine: PromptInstance(
            site, machine, site.service(machine)))
        for each in site.instances:
            each.work_s = WORK_S
        killed, sender = [], {}
        stop = time.monotonic() + 14
        lost = []

        async def customer(machine, service):
            client = Client(site, machine)
            while time.monotonic() < stop:
                kept = client.writer is not None
                attempt = uuid.uuid4().hex[:16]
                sender[attempt] = machine
                _, status = await client.send("POST", f"/{service}/1", b"x",
                                              attempt=attempt)
                if (kept and status is None and attempt in site.runs
                        and machine not in killed):
                    lost.append((machine, attempt))
                await asyncio.sleep(0.02)
            client.close()

        async def operate():
            await asyncio.sleep(2)
            site.record(f"machine {REUSED} is lost")
            await site.remove_machine(REUSED)
            await asyncio.sleep(BOUNDS["addrReuseS"] + 0.5)
            OF[REUSED] = 0 if trouble else 1
            site.record(f"the address of machine {REUSED} goes to a machine of"
                        f" service {site.service(REUSED)}")
            site.instances[REUSED] = PromptInstance(site, REUSED,
                                                    site.service(REUSED))
            site.instances[REUSED].work_s = WORK_S
            await site.instances[REUSED].start()
            site.start_node(REUSED)
            await asyncio.sleep(5)
            # The nodes that use the new instance stay undisturbed.
            users = {sender[a] for a, runs in site.runs.items()
                     for _, instance in runs
                     if instance == site.instances[REUSED].id}
            site.record(f"the new instance has requests from nodes {users}")
            killed.append(random.choice([m for m in (0, 2, 4)
                                         if m not in users] or [2]))
            await site.restart_node(killed[0])

        await asyncio.gather(operate(), *(customer(machine, service)
                                          for machine in range(5)
                                          for service in ["crews"] * 8 + ["quotes"]))
        site.record.say(
            f"{len(site.ends)} processes ended by themselves; {len(lost)} "
            "requests that an instance ran lost their kept connection without "
            f"an answer, {MAX_LOST} are allowed")
        return not site.ends and len(lost) <= MAX_LOST
    finally:
        site.stop()


sys.exit(main(case, FOLDER))
