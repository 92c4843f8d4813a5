"""Starts and stops a site of nodes and upstreams on loopback."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 40

# Number of instances by service, as in deployment A of the design page.
DEPLOYMENT_A = {"catalogue": 6, "enrolment": 4, "deposits": 3}
FAILURE_DOMAINS = ["zone-a", "zone-b", "zone-c"]
# Address for a listener whose port the system chooses.
ANY_PORT = "127.0.0.1:0"
SITE_KEY = "key-of-the-demo-site-0123456789abcdef"
READ_TOKEN = "read-token-of-the-demo-site-0123456789"
WRITE_TOKEN = "write-token-of-the-demo-site-0123456789"


class SiteError(Exception):
    """A process or the site did not reach the expected state."""


class Process:
    """A child process with a log file and, optionally, a ready file."""

    def __init__(self, name, command, folder, ready):
        self.name = name
        self.ready_path = ready
        self.log_path = folder / f"{name}.log"
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(
                [str(part) for part in command],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True)

    def wait_ready(self):
        """Returns what the process wrote to its ready file."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.ready_path.exists():
                return json.loads(self.ready_path.read_text())
            if self.child.poll() is not None:
                break
            time.sleep(0.01)
        raise SiteError(f"{self.name} did not become ready:\n"
                        f"{self.log_path.read_text()[-2000:]}")

    def terminate(self):
        if self.child.poll() is None:
            os.kill(self.child.pid, signal.SIGTERM)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Returns the exit status, or None after killing the process at the
        timeout."""
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            os.kill(self.child.pid, signal.SIGKILL)
            self.child.wait()
            return None


def request(address, method, path, body=None, headers=None, timeout=10):
    """Sends one request; returns status, header fields and body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


class Node:
    """A node and its upstream, if it has one."""

    def __init__(self, name, service, domain):
        self.name = name
        self.service = service
        self.domain = domain
        self.process = None
        self.upstream = None
        self.addresses = None
        self.upstream_address = None

    def request_operator(self, path, method="GET", body=None, token=READ_TOKEN):
        """Sends a request to the operators' port; returns status and JSON."""
        status, _, text = request(self.addresses["operator_address"], method,
                                  path, body,
                                  {"Authorization": f"Bearer {token}"})
        return status, json.loads(text)

    def configure_upstream(self, change):
        """Changes the behaviour of the upstream stand-in."""
        status, _, text = request(self.upstream_address, "POST", "/.control",
                                  json.dumps(change))
        if status != 200:
            raise SiteError(
                f"{self.name}: the upstream refused {change}: {text!r}")


class Site:
    """All processes of one site."""

    def __init__(self, build, settings=None):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hyssopford-"))
        self.nodes = []
        self.settings = settings or {}
        # Whether the nodes write traces of answered requests to their logs.
        self.record_traces = False
        self.store = None
        self.store_address = None
        self.collector = None
        self.collector_address = None

    def start_standin(self, name):
        """Starts a stand-in; returns its process and its address."""
        process = Process(
            name, [self.build / f"standins/{name}/hyssopford-{name}-standin",
                   "--listen", ANY_PORT], self.folder, None)
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            words = process.log_path.read_text().split()
            ports = [word[5:] for word in words if word.startswith("port=")]
            if ports:
                return process, f"127.0.0.1:{ports[0]}"
            time.sleep(0.01)
        raise SiteError(f"the {name} stand-in did not become ready")

    def start_store(self):
        """Starts the stand-in of the platform's key-value service."""
        self.store, self.store_address = self.start_standin("store")
        self.settings["store"] = self.store_address

    def start_collector(self):
        """Starts the stand-in of the trace collector and samples every trace."""
        self.collector, self.collector_address = self.start_standin("collector")
        self.settings["tracing"] = {"sampling_ppm": 1_000_000,
                                    "collector": self.collector_address}

    def write_secret(self, name, text):
        """Writes a key or token to a file that only this user can read; returns
        its path."""
        path = self.folder / f"{name}.secret"
        path.write_text(text + "\n")
        path.chmod(0o600)
        return str(path)

    def run_hyssopctl(self, node, *arguments):
        """Runs hyssopctl against a node; returns its output."""
        token = self.write_secret("write_token", WRITE_TOKEN)
        done = subprocess.run(
            [str(self.build / "tools/hyssopctl/hyssopctl"),
             *map(str, arguments), "--node",
             node.addresses["operator_address"], "--token-file", token],
            capture_output=True, text=True, timeout=60, check=False,
            stdin=subprocess.DEVNULL)
        if done.returncode != 0:
            raise SiteError(f"hyssopctl {arguments}: {done.returncode}: "
                            f"{done.stdout}{done.stderr}")
        return done.stdout

    def versions(self):
        return [node.request_operator("/v1/version")[1]["version"]
                for node in self.nodes]

    def start(self, services, slots=10, service_time_us=2000, routing=None):
        """Starts nodes and upstreams and waits until all nodes know all of
        them."""
        for service, count in services.items():
            for index in range(count):
                domain = FAILURE_DOMAINS[len(self.nodes) % len(FAILURE_DOMAINS)]
                self.nodes.append(Node(f"{service}-{index + 1}", service,
                                       domain))
        seeds = []
        for node in self.nodes:
            self.start_node(node, seeds, routing)
            # The first node of each failure domain is a seed of later nodes.
            if len(seeds) < len(FAILURE_DOMAINS):
                seeds.append(node.addresses["peer_address"])
        for node in self.nodes:
            self.start_upstream(node, slots, service_time_us)
        self.wait_converged()

    def start_node(self, node, seeds, routing):
        settings = {"site": "demo", "failure_domain": node.domain,
                    "region": "west", "seeds": list(seeds),
                    "addresses": {"callers": ANY_PORT, "peers": ANY_PORT,
                                  "announcements": ANY_PORT,
                                  "operators": ANY_PORT}}
        for name, text in (("site_key", SITE_KEY), ("read_token", READ_TOKEN),
                           ("write_token", WRITE_TOKEN)):
            settings[f"{name}_file"] = self.write_secret(name, text)
        settings.update(self.settings)
        path = self.folder / f"{node.name}.json"
        path.write_text(json.dumps(settings))
        ready = self.folder / f"{node.name}.ready"
        command = [self.build / "tools/hyssopford", "--settings", path,
                   "--ready-file", ready]
        if routing is not None:
            command += ["--routing", routing]
        if self.record_traces:
            command.append("--record")
        node.process = Process(node.name, command, self.folder, ready)
        node.addresses = node.process.wait_ready()

    def start_upstream(self, node, slots, service_time_us):
        if node.service is None:
            return
        name = f"{node.name}-upstream"
        ready = self.folder / f"{name}.ready"
        node.upstream = Process(
            name, [self.build / "standins/hyssopford-upstream", "--service",
                   node.service, "--instance", node.name, "--slots", slots,
                   "--service-time-us", service_time_us, "--node",
                   node.addresses["local_address"], "--ready-file", ready],
            self.folder, ready)
        node.upstream_address = node.upstream.wait_ready()["address"]

    def wait_for(self, what, condition, timeout=READY_TIMEOUT_S):
        """Waits until a condition holds; returns the seconds it took."""
        start = time.monotonic()
        while time.monotonic() < start + timeout:
            if condition():
                return time.monotonic() - start
            time.sleep(0.05)
        raise SiteError(f"timed out after {timeout} s: {what}")

    def wait_converged(self):
        expected = sorted(node.service for node in self.nodes if node.service)

        def converged():
            for node in self.nodes:
                _, answer = node.request_operator("/v1/members")
                seen = sorted(member["service"] for member in answer["members"]
                              if member["upstream"] == "serving")
                _, status = node.request_operator("/v1/node")
                if (seen != expected or
                        status["links"]["usable"] < len(self.nodes) - 1):
                    return False
            return True

        return self.wait_for("all nodes know all upstreams", converged)

    def stop(self):
        """Stops upstreams, then nodes, then stand-ins; returns a message for each
        process that failed to exit with status 0."""
        problems = []
        for kind in ("upstream", "process"):
            running = [getattr(node, kind) for node in self.nodes
                       if getattr(node, kind) is not None]
            for process in running:
                process.terminate()
            for process in running:
                status = process.wait()
                if status != 0:
                    problems.append(f"{process.name} ended with status {status}")
        for standin in (self.store, self.collector):
            if standin is not None:
                standin.terminate()
                if standin.wait() != 0:
                    problems.append(f"the {standin.name} stand-in did not exit "
                                    "with status 0")
        return problems
