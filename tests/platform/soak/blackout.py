"""All instances lose power at once and return; a page that is asked for at a calm
rate must be served again."""
import asyncio
import signal
import time

from client import Connection

# When the instances stop, and how long they are away.
AFTER_S, AWAY_S = 4.0, 3.0
# Time after their return until the page must be served again.
RECOVERY_S = 15.0
# Mean time between two requests for the page, its work and its deadline.
PAUSE_S, WORK_MS, DEADLINE_S = 0.25, 100, 1.0
# Largest share of the later requests for the page that may fail.
MAX_FAILED_SHARE = 0.1


async def run(site, report, faults):
    """Stops all instances without closing their connections, then replaces them.
    Returns the time of their return."""
    await asyncio.sleep(AFTER_S)
    machines = [machine for machine in range(site.machines)
                if faults.reserve_instance(machine)]
    report.record_event(f"instances {machines} lose power for {AWAY_S} s")
    for machine in machines:
        report.instance_disturbed(machine)
        site.instances[machine].send(signal.SIGSTOP)
    await asyncio.sleep(AWAY_S)
    for machine in machines:
        site.instances[machine].end(signal.SIGKILL)
    for machine in machines:
        await site.instances[machine].wait(2.0)
        site.start_instance(machine)
        faults.release_instance(machine)
    report.record_event("the instances are back")
    return time.monotonic()


async def ask_for_page(site, operator, rng, report, until):
    """Asks for one page at any node. Returns the outcomes."""
    name = next(name for name in sorted(operator.first)
                if operator.kind(name) == "safe")
    outcomes = []
    while time.monotonic() < until:
        machine = rng.randrange(site.machines)
        connection = Connection(site.ip(machine), site.port)
        outcomes.append(await connection.request(
            machine, "GET", f"/{name}/calm", f"calm{len(outcomes):05}", b"",
            DEADLINE_S, fields=f"X-Work-Ms: {WORK_MS}\r\n"))
        connection.disconnect()
        await asyncio.sleep(rng.expovariate(1.0 / PAUSE_S))
    report.outcomes += outcomes
    return outcomes


def was_down(report, outcome):
    """Tells whether a request could not be sent as its node did not run."""
    return not outcome.status and not outcome.sent and \
        report.disturbance(outcome) in ("killed", "terminated")


def check(report, outcomes, returned):
    """Checks that the page is served after the return. Returns a summary."""
    late = [outcome for outcome in outcomes
            if outcome.begun > returned + RECOVERY_S
            and not was_down(report, outcome)]
    failed = sum(outcome.status != 200 for outcome in late)
    if failed > MAX_FAILED_SHARE * len(late):
        report.record_violation(
            f"{failed} of {len(late)} requests for the page failed later than "
            f"{RECOVERY_S} s after the return of the instances")
    refused = [outcome.begun - returned for outcome in outcomes
               if outcome.begun > returned and outcome.status != 200]
    return (f"page: {len(outcomes)} requests, {failed} of {len(late)} failed late, "
            f"last failure {max(refused, default=0.0):.1f} s after the return")
