#!/usr/bin/env python3
"""Runs nodes of the platform deployment against stand-ins under random faults
and checks what callers and instances see. docs/soak.md describes it."""
import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time
import zlib

from client import Connection
from deployment import Deployment
from faults import FaultInjector
from operator_day import run_operator_day
from report import Report

# Time after the last fault until each node must serve all routes.
RECOVERY_S = 15.0
# Time after the start until all nodes must be ready.
READY_S = 10.0
# Time until a new configuration must be in force on all nodes.
CONFIG_S = 2.5
# Deadline of each request.
DEADLINE_S = 2.0


async def send_requests(site, rng, report, number, until, pause):
    """One client: keeps a connection to a node and now and then changes it."""
    count, connection = 0, None
    while time.monotonic() < until:
        if connection is None or rng.random() < 0.02:
            if connection:
                connection.disconnect()
            machine = rng.randrange(site.machines)
            connection = Connection(site.ip(machine), site.port)
        unsafe = rng.random() < 0.4
        count += 1
        leave_after = rng.uniform(0.005, 0.1) if rng.random() < 0.03 else None
        outcome = await connection.request(
            machine, "POST" if unsafe else "GET",
            "/order/1" if unsafe else f"/browse/{rng.randrange(5)}",
            f"c{number:02}n{count:06}", b"x" * rng.randrange(1, 2000) if unsafe
            else b"", DEADLINE_S, leave_after)
        report.outcomes.append(outcome)
        if outcome.reason:
            connection.disconnect()
            connection = None
        await asyncio.sleep(rng.expovariate(1.0 / pause))
    if connection:
        connection.disconnect()


async def watch_nodes(site, report, until):
    """Watches the versions in force and reports unexpected ends of processes."""
    while time.monotonic() < until:
        for machine in range(site.machines):
            process_id = site.nodes[machine].child.pid
            version = await site.config_version(machine)
            if version is not None and process_id == site.nodes[machine].child.pid:
                report.check_version(machine, version)
        report.check_ends(site.processes())
        await asyncio.sleep(0.2)


async def wait_until(check, limit):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False


async def all_ready(site):
    return all([await site.is_ready(machine) for machine in range(site.machines)])


async def all_routes_served(site, report, probes_sent):
    """Returns whether each node serves both routes."""
    for machine in range(site.machines):
        for index, (method, path) in enumerate((("GET", "/browse/1"),
                                                ("POST", "/order/1"))):
            connection = Connection(site.ip(machine), site.port)
            probes_sent[0] += 1
            outcome = await connection.request(machine, method, path,
                                               f"r{probes_sent[0]:06}", b"",
                                               DEADLINE_S)
            connection.disconnect()
            report.outcomes.append(outcome)
            if outcome.status != 200:
                return False
    return True


async def run_seed(options, folder):
    rng, report = random.Random(options.seed), Report()
    site = Deployment(options.build, folder, options.machines, options.port,
                      random.Random(rng.random()))
    try:
        await site.start()
        site.write_config(90)
        if not await wait_until(lambda: all_ready(site), READY_S):
            report.record_violation("not all nodes became ready")
        until = time.monotonic() + options.seconds
        faults = FaultInjector(site, random.Random(rng.random()), report)
        clients = [asyncio.create_task(send_requests(
            site, random.Random(rng.random()), report, number, until,
            options.pause)) for number in range(options.clients)]
        watcher = asyncio.create_task(
            watch_nodes(site, report, until + RECOVERY_S))
        await faults.run(options.seconds * 0.8, options.gap)
        await asyncio.gather(*clients)
        site.write_config(80)
        probes_sent = [0]
        if not await wait_until(
                lambda: all_routes_served(site, report, probes_sent),
                RECOVERY_S):
            report.record_violation("not all nodes served all routes "
                                    f"{RECOVERY_S} s after the faults")

        async def in_force():
            versions = [await site.config_version(machine)
                        for machine in range(site.machines)]
            return all(version == site.version for version in versions)

        if not await wait_until(in_force, CONFIG_S):
            report.record_violation(f"version {site.version} was not in force on "
                                    f"all nodes after {CONFIG_S} s")
        watcher.cancel()
        total = report.check_promises(site.run_counts())
        print(f"seed {options.seed}: {len(report.outcomes)} requests, {total} "
              f"runs, {len(report.events)} events; {report.summary()}")
    finally:
        await site.stop()
    return report


def seeds_to_run(options):
    if options.file:
        lines = pathlib.Path(options.file).read_text().splitlines()
        return [int(line.split(":")[0]) for line in lines
                if line and not line.startswith("#")]
    first = options.seed
    if first is None:
        first = zlib.crc32(str(time.time()).encode()) % 1000000
    return list(range(first, first + options.seeds))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--file", default=None,
                        help="file with one seed at the start of each line")
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--pause", type=float, default=0.1,
                        help="mean seconds between a client's requests")
    parser.add_argument("--gap", type=float, default=0.4,
                        help="mean seconds between faults")
    parser.add_argument("--operator-day", action="store_true",
                        help="run a day of configuration changes")
    parser.add_argument("--families", default=None,
                        help="kinds of faults of such a day, separated by commas")
    parser.add_argument("--rate", type=float, default=250.0,
                        help="requests a second of such a day")
    parser.add_argument("--port", type=int, default=19600)
    parser.add_argument("--keep", default=None, help="directory for logs")
    options = parser.parse_args()
    failed, seeds = [], seeds_to_run(options)
    for seed in seeds:
        options.seed = seed
        base = pathlib.Path(options.keep) if options.keep else None
        folder = base / f"seed-{seed}" if base else pathlib.Path(
            tempfile.mkdtemp(prefix="hyssopford-soak-"))
        folder.mkdir(parents=True, exist_ok=True)
        begun = time.monotonic()
        report = asyncio.run((run_operator_day if options.operator_day
                              else run_seed)(options, folder))
        events = [f"  {when - (report.begun or begun):7.2f} {text}"
                  for when, text in report.events]
        (folder / "events.txt").write_text("\n".join(events) + "\n")
        if report.violations:
            failed.append(seed)
            print("\n".join(events))
            print(f"  logs in {folder}")
        sys.stdout.flush()
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.default_int_handler)
    sys.exit(main())
