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

    def __init__(self, build, folder, machines, port, rng):
        self.folder, self.machines, self.port = folder, machines, port
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
        return [self.store_proxy, *self.upstream_proxies, *self.peer_proxies]

    def _standin_command(self, *arguments):
        return [str(self.programs / "hyssopford-platform-standin"), "-d",
                str(self.folder), "-p", str(self.port), "-m",
                str(self.machines), *arguments]

    async def start(self):
        self.store = Process(self._standin_command("-r", "store"),
                             self.folder / "store.log")
        while not (self.folder / "ready").exists():
            if self.store.child.poll() is not None:
                raise RuntimeError(
                    "the store stand-in ended before it was ready: see store.log")
            await asyncio.sleep(0.01)
        self.store_proxy = Proxy(("127.0.0.1", self.port + STORE_PROXY),
                                 ("127.0.0.1", self.port), self.rng)
        await self.store_proxy.start()
        for machine in range(self.machines):
            self.start_instance(machine)
        for machine in range(self.machines):
            await self._start_node(machine)
        self.write_config(90)

    def start_instance(self, machine):
        """Starts a machine's instance under a new identifier."""
        self.instance_runs[machine] += 1
        process = Process(
            self._standin_command("-r", "instance", "-i", str(machine),
                                  "--suffix", f"-{self.instance_runs[machine]}",
                                  "--public-port",
                                  str(self.port + OFFSET_UPSTREAM_PROXY)),
            self.folder / f"instance-{machine}.log")
        if len(self.instances) > machine:
            self.instances[machine] = process
        else:
            self.instances.append(process)

    async def _start_node(self, machine):
        path = self.folder / f"machine-{machine}.json"
        settings = json.loads(path.read_text())
        ip, port_at = self.ip(machine), lambda offset: self.port + offset
        settings["store_address"] = f"127.0.0.1:{port_at(STORE_PROXY)}"
        settings["upstream_address"] = f"{ip}:{port_at(OFFSET_UPSTREAM_PROXY)}"
        settings["public_peer_address"] = f"{ip}:{port_at(OFFSET_PEER_PROXY)}"
        path.write_text(json.dumps(settings))
        for proxies, source, target in (
                (self.upstream_proxies, OFFSET_UPSTREAM_PROXY, OFFSET_UPSTREAM),
                (self.peer_proxies, OFFSET_PEER_PROXY, OFFSET_PEER)):
            proxies.append(Proxy((ip, port_at(source)), (ip, port_at(target)),
                                 self.rng))
            await proxies[-1].start()
        self.nodes.append(Process([str(self.programs / "hyssopford-sidecar")],
                                  self.folder / f"node-{machine}.log",
                                  {"HYSSOPFORD_SETTINGS": str(path)}))

    def write_config(self, weight):
        """Writes the next configuration version, as an operator does. weight is
        the share of the catalogue service in percent."""
        self.version += 1

        def route(name, kind, priority, target):
            return {"name": name, "host": "demo.example", "kind": kind,
                    "prefix": f"/{name}/", "timeoutS": 2.0,
                    "targetLatencyS": 0.4, "priority": priority,
                    "maxAttempts": 2, **target}

        services = [{"name": name, "healthPath": "/health",
                     "maxConnections": 200} for name in ("catalogue", "orders")]
        split = [{"service": "catalogue", "weight": weight},
                 {"service": "orders", "weight": 100 - weight}]
        document = {
            "version": self.version,
            "routes": [route("browse", "safe", 2, {"trafficSplit": split}),
                       route("order", "unsafe", 0, {"service": "orders"})],
            "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutS": 3.0, "idleTimeoutS": 15.0}}
        self.store.send_command("op/config " + json.dumps(document))

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
            if process.child.stdin:
                process.child.stdin.close()
        for process in self.processes():
            if await process.wait(8) is None:
                process.end(signal.SIGKILL)
                process.child.wait()
        for proxy in self.proxies():
            proxy.stop()

    def run_counts(self):
        """Returns how often each request was run, over all instances."""
        counts = {}
        for path in self.folder.glob("runs-*.log"):
            for request_id in path.read_text().split():
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts
