"""Requests that crash each instance that runs them, and the check of how often
they still reach instances."""
import asyncio
import dataclasses
import time

from client import Connection

# Exit status of an instance that a request crashed.
CRASH_STATUS = 99
# Deadline of each request.
DEADLINE_S = 1.0
# A request that has crashed MANY_CRASHES instances may reach instances
# MAX_LATE_RUNS more times from STABLE_S after the last of these crashes.
MANY_CRASHES, STABLE_S, MAX_LATE_RUNS = 3, 3.0, 3
# Crashes of a request in all lives of the nodes together: two until it is
# quarantined and two trials.
MAX_CRASHES = 4


@dataclasses.dataclass
class CrashingRequest:
    """A request that is sent again and again, each time under a new identifier."""
    name: str
    method: str
    path: str
    body: bytes
    crash_ms: int
    count: int = 0

    def next_id(self):
        self.count += 1
        return f"{self.name}n{self.count:05}"


def draw_requests(operator, rng):
    """Returns some requests for routes that are there from the start."""
    rows = []
    for number in range(rng.randrange(2, 4)):
        name = rng.choice(sorted(operator.first))
        unsafe = operator.kind(name) == "unsafe"
        rows.append(CrashingRequest(
            f"crash{number}", "POST" if unsafe else "GET",
            f"/{name}/crash{number}", b"deadly" if unsafe else b"",
            rng.choice((0, 1, 5, 20, 50, 90, 150))))
    return rows


async def send_repeats(site, rng, report, request, until):
    """Sends a request at any node, on new connections, again 80 to 500 ms after
    its end."""
    await asyncio.sleep(rng.uniform(0.0, 5.0))
    while time.monotonic() < until:
        machine = rng.randrange(site.machines)
        connection = Connection(site.ip(machine), site.port)
        outcome = await connection.request(
            machine, request.method, request.path, request.next_id(),
            request.body, DEADLINE_S, fields=f"X-Crash-Ms: {request.crash_ms}\r\n")
        connection.disconnect()
        report.outcomes.append(outcome)
        await asyncio.sleep(rng.uniform(0.08, 0.5))


async def restart_instances(site, rng, report, faults, until):
    """Starts crashed instances anew after some seconds."""
    async def restart(machine):
        report.instance_disturbed(machine)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        site.start_instance(machine)
        faults.release_instance(machine)

    tasks = []
    while time.monotonic() < until:
        for machine, process in enumerate(site.instances):
            if process.child.poll() == CRASH_STATUS and \
                    faults.reserve_instance(machine):
                report.record_event(f"instance {machine} was crashed")
                tasks.append(asyncio.create_task(restart(machine)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


def check(report, requests, runs, bounds_all=False):
    """Checks how often the requests reached instances after their crashes and,
    with bounds_all, how many they crashed at all. Returns a summary."""
    parts = []
    for request in requests:
        rows = sorted((when, instance) for request_id, rows in runs.items()
                      if request_id.startswith(request.name + "n")
                      for _, when, instance in rows)
        crashes = {}
        for when, instance in rows:
            crashes.setdefault(instance, when + request.crash_ms / 1000)
        ends = sorted(crashes.values())
        late = 0
        if len(ends) >= MANY_CRASHES:
            limit = ends[MANY_CRASHES - 1] + STABLE_S
            late = sum(when > limit for when, _ in rows)
        if late > MAX_LATE_RUNS:
            report.record_violation(
                f"{request.method} {request.path} reached instances {late} times "
                f"after it had crashed {MANY_CRASHES}; {len(ends)} in all")
        if bounds_all and len(ends) > MAX_CRASHES:
            report.record_violation(
                f"{request.method} {request.path} crashed {len(ends)} instances")
        parts.append(f"{request.path} {len(ends)} crashes, {len(rows)} runs, "
                     f"{late} late, {request.count} sent")
    return "; ".join(parts)
