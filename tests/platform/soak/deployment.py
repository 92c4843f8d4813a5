"""The processes of a soak run: nodes, instances and the store, with proxies
between them."""
import asyncio
import json
import os
import pathlib
import signal
import subprocess

from client import fetch
from proxy import Proxy

OFFSET_READY, OFFSET_UPSTREAM, OFFSET_METRICS, OFFSET_PEER = 2, 3, 4, 5
# Ports of the proxies in front of a node's upstream and its port for peers.
OFFSET_UPSTREAM_PROXY, OFFSET_PEER_PROXY = 6, 7
STORE_PROXY = 9


def route(name, kind, priority, shares):
    """Returns a route as the configuration holds it. shares are rows of service
    and weight."""
    target = ({"service": shares[0][0]} if len(shares) == 1 else
              {"trafficSplit": [{"service": service, "weight": weight}
                                for service, weight in shares]})
    return {"name": name, "host": "demo.example", "kind": kind,
            "prefix": f"/{name}/", "timeoutS": 2.0, "targetLatencyS": 0.4,
            "priority": priority, "maxAttempts": 2, **target}


def document(version, routes, services=("catalogue", "orders")):
    """Returns a configuration as the operator writes it."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConnections": 200} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutS": 3.0, "idleTimeoutS": 15.0}}


class Process:
    """A child process; remembers whether its end is expected."""

    def __init__(self, arguments, log, environment=None):
        self.expected_end = False
        self.arguments, self.log, self.environment = arguments, log, environment
        self.start()

    def start(self):
        self.expected_end = False
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(
                self.arguments, stdin=subprocess.PIPE, stdout=output,
                stderr=output, env={**os.environ, **(self.environment or {})})

    def send_command(self, line):
        try:
            self.child.stdin.write((line + "\n").encode())
            self.child.stdin.flush()
        except OSError:
            pass  # The process has ended; watch_nodes reports that.

    def close_commands(self):
        try:
            self.child.stdin.close()
        except OSError:
            pass  # A command was left when the process ended.

    def send(self, signal_number):
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def end(self, signal_number):
        self.expected_end = True
        self.send(signal_number)

    async def wait(self, limit):
        """Returns the exit status, or None if it still runs after limit seconds."""
        for _ in range(int(limit / 0.02)):
            if self.child.poll() is not None:
                return self.child.returncode
            await asyncio.sleep(0.02)
        return None


class Deployment:
    """All processes and proxies, indexed by machine."""

    def __init__(self, build, folder, machines, port, rng, services=2,
                 proxied=True):
        self.folder, self.machines, self.port = folder, machines, port
        self.services, self.proxied = services, proxied
        self.programs = pathlib.Path(build).resolve() / "platform"
        self.rng, self.instance_runs = rng, [0] * machines
        self.nodes, self.instances = [], []
        self.upstream_proxies, self.peer_proxies = [], []
        self.version = 0

    def ip(self, machine):
        return f"127.0.1.{machine + 1}"

    def processes(self):
        return [self.store, *self.nodes, *self.instances]

    def proxies(self):
        return ([self.store_proxy, *self.upstream_proxies, *self.peer_proxies]
                if self.proxied else [])

    def _standin_command(self, *arguments):
        return [str(self.programs / "hyssopford-platform-standin"), "-d",
                str(self.folder), "-p", str(self.port), "-m",
                str(self.machines), "-s", str(self.services), *arguments]

    async def start(self):
        self.store = Process(self._standin_command("-r", "store"),
                             self.folder / "store.log")
        while not (self.folder / "ready").exists():
            if self.store.child.poll() is not None:
                raise RuntimeError(
                    "the store stand-in ended before it was ready: see store.log")
            await asyncio.sleep(0.01)
        if self.proxied:
            self.store_proxy = Proxy(("127.0.0.1", self.port + STORE_PROXY),
                                     ("127.0.0.1", self.port), self.rng)
            await self.store_proxy.start()
        for machine in range(self.machines):
            self.start_instance(machine)
        for machine in range(self.machines):
            await self._start_node(machine)

    def start_instance(self, machine, service=None):
        """Starts a machine's instance under a new identifier, if service is
        given as one of that service."""
        self.instance_runs[machine] += 1
        process = Process(
            self._standin_command("-r", "instance", "-i", str(machine),
                                  "--suffix", f"-{self.instance_runs[machine]}",
                                  *(["--public-port",
                                     str(self.port + OFFSET_UPSTREAM_PROXY)]
                                    if self.proxied else []),
                                  *(["--service", service] if service else [])),
            self.folder / f"instance-{machine}.log")
        if len(self.instances) > machine:
            self.instances[machine] = process
        else:
            self.instances.append(process)

    async def _start_node(self, machine):
        path = self.folder / f"machine-{machine}.json"
        settings = json.loads(path.read_text())
        ip, port_at = self.ip(machine), lambda offset: self.port + offset
        if self.proxied:
            settings["store_address"] = f"127.0.0.1:{port_at(STORE_PROXY)}"
            settings["upstream_address"] = f"{ip}:{port_at(OFFSET_UPSTREAM_PROXY)}"
            settings["public_peer_address"] = f"{ip}:{port_at(OFFSET_PEER_PROXY)}"
        path.write_text(json.dumps(settings))
        for proxies, source, target in (
                (self.upstream_proxies, OFFSET_UPSTREAM_PROXY, OFFSET_UPSTREAM),
                (self.peer_proxies, OFFSET_PEER_PROXY, OFFSET_PEER)):
            if self.proxied:
                proxies.append(Proxy((ip, port_at(source)), (ip, port_at(target)),
                                     self.rng))
                await proxies[-1].start()
        self.nodes.append(Process([str(self.programs / "hyssopford-sidecar")],
                                  self.folder / f"node-{machine}.log",
                                  {"HYSSOPFORD_SETTINGS": str(path)}))
        self.name_process(machine)

    def name_process(self, machine):
        """Tells the store the process of a node, for faults of single nodes."""
        self.store.send_command(
            f"process@{machine}@{self.nodes[machine].child.pid}")

    def write_config(self, weight):
        """Writes the next configuration version, as an operator does. weight is
        the share of the catalogue service in percent."""
        split = [("catalogue", weight), ("orders", 100 - weight)]
        self.version += 1
        self.write_value(json.dumps(document(self.version, [
            route("browse", "safe", 2, split),
            route("order", "unsafe", 0, [("orders", 100)])])))

    def write_value(self, value):
        self.store.send_command("op/config " + value)

    async def config_version(self, machine):
        """Returns the version in force at a node, or None without an answer."""
        status, page = await fetch(self.ip(machine), self.port + OFFSET_METRICS,
                                   "/metrics")
        for line in page.splitlines() if status == 200 else []:
            if line.startswith("hyssopford_config_version "):
                return int(float(line.split()[1]))
        return None

    async def is_ready(self, machine):
        return (await fetch(self.ip(machine), self.port + OFFSET_READY,
                            "/hyssopford/readiness"))[0] == 200

    async def stop(self):
        for process in self.processes():
            process.send(signal.SIGCONT)
            process.end(signal.SIGTERM)
            process.close_commands()
        for process in self.processes():
            if await process.wait(8) is None:
                process.end(signal.SIGKILL)
                process.child.wait()
        for proxy in self.proxies():
            proxy.stop()

    def run_counts(self):
        """Returns how often each request was run, over all instances."""
        counts = {}
        for request_id, runs in self.runs().items():
            counts[request_id] = len(runs)
        return counts

    def runs(self):
        """Returns the runs of each request as rows of service, time and
        identifier of the instance."""
        runs = {}
        for path in self.folder.glob("runs-*.log"):
            for line in path.read_text().splitlines():
                request_id, service, when = line.split()
                runs.setdefault(request_id, []).append(
                    (service, float(when), path.stem))
        return runs
