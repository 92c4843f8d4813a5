#!/usr/bin/env python3
"""Plays uncontrolled clients against a node of the platform deployment and
checks that it stays within the memory and the descriptors of its settings and
serves ordinary requests (docs/accounts-and-overload.md, requirement 11)."""
import argparse
import asyncio
import http.client
import json
import os
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from client_group import Client, ClientGroup, head, parts  # noqa: E402
from deployment import OFFSET_READY, Deployment, route  # noqa: E402

OFFSET_ANNOUNCEMENTS, OFFSET_METRICS = 1, 4
MEMORY_MB = 64
MAX_FDS = 4100
LEAST_MEMORY_MB, LARGEST_BODY = 160, 67108864
LARGEST_NAME = "largest body alone"
# Descriptors of a VM that are not for the node.
RESERVED_FDS = 200
FEW_FDS = 500
# Limits of time: a group of clients, a wait without its progress, and repeated
# tries of one ordinary request. They bound the run and are not checked.
GROUP_S, QUIET_S, TRIES_S = 8.0, 1.5, 25.0
READY_PATH = "/hyssopford/readiness"
BODY = 60000
SEND_ALL = 1 << 20


def group_of(count, *kinds):
    """Returns clients of each kind in turn, up to count."""
    return [kinds[index % len(kinds)]() for index in range(count)]


def held_body(pieces):
    data = head("POST", "/order/1", length=BODY) + b"x" * (BODY - 1)
    return lambda: Client(0, parts(data, pieces))


def held_chunks(size):
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    data = head("POST", "/order/1", "Transfer-Encoding: chunked\r\n")
    return lambda: Client(0, [data] + [chunk] * (BODY // size))


def endless_body(path):
    data = head("POST", path, length=1 << 30)
    return lambda: Client(0, [data] + [b"x" * 65536] * 32)


def endless_chunks(path):
    chunk = b"10000\r\n%b\r\n" % (b"x" * 65536)
    data = head("POST", path, "Transfer-Encoding: chunked\r\n")
    return lambda: Client(0, [data] + [chunk] * 32)


def short_fields(path, complete):
    """A header section of legal size of as many fields as fit."""
    start = head("GET", path)[:-2]
    fields = b"".join(b"%x:\r\n" % number for number in range(100, 2700))
    data = (start + fields)[:16300]
    data = data[:data.rfind(b"\r\n") + 2] + (b"\r\n" if complete else b"")
    return lambda: Client(0, [data])


def legal_fields(path):
    """A complete header section of 16 KB of 100 fields, and one that stops
    short of its end behind it."""
    fields = "".join(f"F{number}: {'v' * 155}\r\n" for number in range(96))
    data = head("GET", path, fields)
    return lambda: Client(0, [data, data[:-2]])


def ahead(count, path, offset=0, method="GET", length=None, **options):
    request = head(method, path, length=length) + b"x" * (length or 0)
    return lambda: Client(offset, [request] * count, **options)


def slow(path):
    data = head("POST", path, length=1000) + b"x" * 500
    return lambda: Client(0, parts(data, 1), pause=0.05)


def stops(offset, **options):
    return lambda: Client(offset, [head("POST", "/order/1", length=9000)[:60]],
                          **options)


def idle(offset):
    return lambda: Client(offset, [])


ANNOUNCEMENT = "/hyssopford/instances/i-none"
# Name, descriptors of the VM, clients.
CASES = [
    ("body short by a byte, one piece", MAX_FDS,
     lambda: group_of(500, held_body(SEND_ALL))),
    ("body short by a byte, small pieces", MAX_FDS,
     lambda: group_of(500, held_body(600))),
    ("body short by a byte, chunks", MAX_FDS,
     lambda: group_of(500, held_chunks(1000))),
    ("bodies far over the limit", MAX_FDS,
     lambda: group_of(300, endless_body("/order/1"), endless_chunks("/order/1"),
                      endless_body("/nowhere"), endless_chunks("/nowhere"))),
    ("heads of many short fields", MAX_FDS,
     lambda: group_of(700, short_fields("/order/1", False),
                      short_fields("/nowhere", True), legal_fields("/browse/1"))),
    ("requests ahead on a route", MAX_FDS,
     lambda: group_of(300, ahead(3000, "/browse/1"))),
    ("requests ahead without a route", MAX_FDS,
     lambda: group_of(300, ahead(3000, "/nowhere"))),
    ("requests ahead for readiness", MAX_FDS,
     lambda: group_of(300, ahead(3000, READY_PATH, OFFSET_READY))),
    ("requests ahead for announcements", MAX_FDS,
     lambda: group_of(300, ahead(3000, ANNOUNCEMENT, OFFSET_ANNOUNCEMENTS, "PUT",
                                 10))),
    ("bodies ahead", MAX_FDS,
     lambda: group_of(300, ahead(100, "/order/1", 0, "POST", 20000))),
    ("slow senders and readers", MAX_FDS,
     lambda: group_of(300, slow("/order/1"), slow("/nowhere"),
                      ahead(3000, "/nowhere", 0, "GET", read_bytes=1),
                      ahead(3000, READY_PATH, OFFSET_READY, read_bytes=1))),
    ("connections that stop half-way", FEW_FDS,
     lambda: group_of(500, stops(0), stops(OFFSET_READY),
                      stops(OFFSET_ANNOUNCEMENTS), stops(0, leaves=True))),
    ("connections without requests", FEW_FDS, lambda: group_of(500, idle(0))),
    ("connections for readiness", FEW_FDS,
     lambda: group_of(500, idle(OFFSET_READY))),
    ("connections for announcements and metrics", FEW_FDS,
     lambda: group_of(500, idle(OFFSET_ANNOUNCEMENTS), idle(OFFSET_METRICS))),
]


class Gauge:
    """Highest memory and descriptors of a node's process."""

    def __init__(self, process, ip, port):
        self.process, self.id, self.ip = process, process.child.pid, ip
        self.ports = {port, port + OFFSET_ANNOUNCEMENTS, port + OFFSET_READY,
                      port + OFFSET_METRICS}
        self.memory = self.resident = self.kernel = self.descriptors = 0
        self.next_read = 0.0

    def lives(self):
        return self.process.child.poll() is None

    def _queued_bytes(self):
        """Bytes that the kernel holds for the node's sockets, those of
        connections that it has not accepted included."""
        address = "".join(f"{int(part):02X}" for part in
                          reversed(self.ip.split(".")))
        total = 0
        for line in open("/proc/net/tcp", encoding="ascii"):
            row = line.split()
            if not row[1].startswith(address + ":") or row[3] == "0A":
                continue
            if int(row[1].split(":")[1], 16) in self.ports:
                unsent, unread = row[4].split(":")
                total += int(unsent, 16) + int(unread, 16)
        return total

    def read(self):
        if time.monotonic() < self.next_read or not self.lives():
            return
        self.next_read = time.monotonic() + 0.1
        try:
            text = pathlib.Path(f"/proc/{self.id}/status").read_text()
            count = len(os.listdir(f"/proc/{self.id}/fd"))
        except OSError:
            return  # The process has ended, which lives() reports.
        resident = next((int(line.split()[1]) * 1024 for line in
                         text.splitlines() if line.startswith("VmRSS")), 0)
        kernel = self._queued_bytes()
        if resident + kernel > self.memory:
            self.memory, self.resident, self.kernel = (resident + kernel,
                                                       resident, kernel)
        self.descriptors = max(self.descriptors, count)


def try_once(ip, port, path):
    """Returns the status of one request on a connection of its own, or 0."""
    connection = http.client.HTTPConnection(ip, port, timeout=3.0)
    try:
        connection.request("GET", path, headers={
            "Host": "demo.example", "X-Deadline-Ms": "2000",
            "X-Attempt-Id": f"{random.getrandbits(64):016x}"})
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def try_until_served(gauge, port, path):
    """Returns whether a request was served within the bounded tries."""
    end = time.monotonic() + TRIES_S
    while time.monotonic() < end and gauge.lives():
        if try_once(gauge.ip, port, path) == 200:
            return True
        gauge.read()
        time.sleep(0.1)
    return False


def config_text(body_bytes=1048576, timeout_s=2.0):
    return json.dumps({
        "version": 1,
        "routes": [{**route("browse", "safe", 2, [("catalogue", 100)]),
                    "timeoutS": timeout_s},
                   route("order", "unsafe", 0, [("orders", 100)])],
        "services": [{"name": name, "healthPath": "/health",
                      "maxConnections": 50} for name in ("catalogue", "orders")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes,
                   "headerTimeoutS": 3.0, "idleTimeoutS": 15.0}})


def lower_limits(site):
    path = site.folder / "machine-0.json"
    settings = json.loads(path.read_text())
    settings.update(memory_mb=site.memory_mb, max_fds=site.max_fds)
    path.write_text(json.dumps(settings))


class LimitedDeployment(Deployment):
    """Two nodes without proxies; the first has lowered limits."""

    max_fds, memory_mb = MAX_FDS, MEMORY_MB

    async def _start_node(self, machine):
        if machine == 0:
            lower_limits(self)
        await super()._start_node(machine)


async def run_case(options, number, name, max_fds, clients):
    """Returns the faults of one case."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hyssopford-limits-"))
    site = LimitedDeployment(options.build, folder, 2, options.port + 20 * number,
                             random.Random(1), proxied=False)
    site.max_fds = max_fds
    faults, group = [], None
    try:
        await site.start()
        site.write_value(config_text())
        gauge = Gauge(site.nodes[0], site.ip(0), site.port)
        ready_port = site.port + OFFSET_READY
        if not (try_until_served(gauge, site.port, "/browse/1") and
                try_until_served(gauge, ready_port, READY_PATH)):
            return [f"the node did not start; logs in {folder}"]
        gauge.read()
        base = gauge.resident
        bound, most_fds = MEMORY_MB << 20, max_fds - RESERVED_FDS
        group = ClientGroup(site.ip(0), site.port, clients)

        def watch():
            gauge.read()
            # A node far beyond its bound has failed; the rest of the machine
            # must not suffer from it.
            return gauge.lives() and gauge.memory < 4 * bound

        left = group.run(GROUP_S, QUIET_S, watch)
        for what, port, path in (("readiness check", ready_port, READY_PATH),
                                 ("ordinary request", site.port, "/browse/1")):
            if not try_until_served(gauge, port, path):
                faults.append(f"no {what} was answered beside the clients")
        gauge.next_read = 0.0
        gauge.read()
        group.close()
        if not try_until_served(gauge, site.port, "/browse/1"):
            faults.append("no ordinary request was answered afterwards")
        gauge.read()
        if not gauge.lives():
            faults.append(f"the node ended: {gauge.process.child.returncode}")
        if gauge.memory > bound:
            faults.append(f"memory above {bound >> 20} MB")
        if gauge.descriptors > most_fds:
            faults.append(f"more than {most_fds} descriptors")
        print(f"{name}: {len(clients)} connections, {left} left; "
              f"{gauge.memory / 2**20:.1f} MB ({gauge.resident / 2**20:.1f} "
              f"resident, {gauge.kernel / 2**20:.1f} queued, {base / 2**20:.1f} "
              f"before), {gauge.descriptors} descriptors; "
              f"{'; '.join(faults) or 'passed'}", flush=True)
    finally:
        if group:
            group.close()
        await site.stop()
    return faults


async def run_largest_body(options, number):
    """Returns the faults of the largest body that operators may allow, sent
    alone to a node with the least memory of a VM."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hyssopford-limits-"))
    site = LimitedDeployment(options.build, folder, 2, options.port + 20 * number,
                             random.Random(1), proxied=False)
    site.memory_mb = LEAST_MEMORY_MB
    faults = []
    try:
        await site.start()
        # A deadline that a slow machine does not miss.
        site.write_value(config_text(LARGEST_BODY, 60.0))
        gauge = Gauge(site.nodes[0], site.ip(0), site.port)
        if not try_until_served(gauge, site.port, "/browse/1"):
            return [f"the node did not start; logs in {folder}"]
        connection = http.client.HTTPConnection(gauge.ip, site.port, timeout=60.0)
        connection.request("POST", "/browse/1", body=bytes(LARGEST_BODY), headers={
            "Host": "demo.example", "X-Deadline-Ms": "60000",
            "X-Attempt-Id": f"{random.getrandbits(64):016x}"})
        status = connection.getresponse().status
        if status != 200:
            faults.append(f"status {status}")
        gauge.read()
        if not gauge.lives() or gauge.memory > LEAST_MEMORY_MB << 20:
            faults.append(f"memory above {LEAST_MEMORY_MB} MB, or the node ended")
        print(f"largest body alone: {gauge.memory / 2**20:.1f} MB; "
              f"{'; '.join(faults) or 'passed'}", flush=True)
    except (OSError, http.client.HTTPException) as fault:
        faults.append(f"the request failed: {fault!r}")
        print(f"largest body alone: {faults}", flush=True)
    finally:
        await site.stop()
    return faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--port", type=int, default=21600)
    parser.add_argument("--only", default="", help="part of the names to run")
    options = parser.parse_args()
    failed = []
    chosen = [case for case in CASES if options.only in case[0]]
    for number, (name, max_fds, clients) in enumerate(chosen):
        if asyncio.run(run_case(options, number, name, max_fds, clients())):
            failed.append(name)
    if options.only in LARGEST_NAME:
        chosen.append(LARGEST_NAME)
        if asyncio.run(run_largest_body(options, len(chosen))):
            failed.append(LARGEST_NAME)
    print(f"{len(chosen)} cases, {len(failed)} failed: {failed}")
    return 1 if failed or not chosen else 0


if __name__ == "__main__":
    sys.exit(main())
