"""Measures nodes on loopback. Each line of output is a JSON object whose "bench"
names the measurement."""

import argparse
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import testsite

ROUTES = [{"name": "bench", "path_prefix": "/", "service": "bench",
           "deadline_ms": 5000}]
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_us(pid):
    """Returns the CPU time of a process in µs."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * 1_000_000 // TICKS_PER_S


def peak_resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0


def print_result(**values):
    print(json.dumps(values), flush=True)


def run_load(build, targets, rate, seconds, connections):
    """Runs the load tool against targets at a rate in calls/s; returns its
    results by target name."""
    command = [str(build / "tools/hyssopford-load"), "-r", str(rate), "-d",
               str(seconds), "-c", str(connections)]
    for name, address in targets.items():
        command += ["-t", f"{name}={address}"]
    output = subprocess.run(command, check=True, capture_output=True,
                            timeout=seconds + 30).stdout
    lines = [json.loads(line) for line in output.splitlines()]
    return {line["bench"]: line for line in lines}


def start_two_nodes(build):
    """Starts an ingress without upstream and an owner with one."""
    site = testsite.Site(build)
    routing = site.folder / "routing.json"
    routing.write_text(json.dumps({"routes": ROUTES}))
    ingress = testsite.Node("ingress", None, "zone-a")
    owner = testsite.Node("owner", "bench", "zone-b")
    site.nodes = [ingress, owner]
    site.start_store()
    site.start_node(ingress, [], routing)
    site.start_node(owner, [ingress.addresses["peer_address"]], routing)
    site.start_upstream(owner, 400, 0)
    site.wait_converged()
    return site, ingress, owner


def measure_added_latency(build, site, rate, seconds):
    ingress, owner = site.nodes
    before = [cpu_us(node.process.child.pid) for node in site.nodes]
    result = run_load(build, {"direct": owner.upstream_address,
                              "one-node": owner.addresses["caller_address"],
                              "two-nodes": ingress.addresses["caller_address"]},
                      rate, seconds, 32)
    cpu_used = [cpu_us(node.process.child.pid) - start
                for node, start in zip(site.nodes, before)]
    direct = result["direct"]
    for name in ("one-node", "two-nodes"):
        via = result[name]
        print_result(bench=f"added-latency-{name}", rate=rate,
                     direct_p50_us=direct["p50_us"], direct_p99_us=direct["p99_us"],
                     p50_us=via["p50_us"], p99_us=via["p99_us"],
                     added_p50_us=via["p50_us"] - direct["p50_us"],
                     added_p99_us=via["p99_us"] - direct["p99_us"],
                     answered=via["answered"], failed=via["failed"])
    calls = rate * seconds
    print_result(bench="cpu-per-call", rate=rate,
                 ingress_us=round(cpu_used[0] / calls, 1),
                 owner_us_for_two_calls=round(cpu_used[1] / calls, 1))


def measure_throughput(build, site, seconds):
    """Raises the rate on one node until it serves less than 95 % of it."""
    owner = site.nodes[1]
    pid = owner.process.child.pid
    for rate in (2000, 4000, 6000, 8000, 12000, 16000, 20000):
        before = cpu_us(pid)
        result = run_load(build, {"one": owner.addresses["caller_address"]},
                          rate, seconds, 64)["one"]
        cpu_used = cpu_us(pid) - before
        calls = rate * seconds
        print_result(bench="throughput-one-node", rate=rate,
                     calls_per_s=round(result["calls_per_s"]),
                     p50_us=result["p50_us"], p99_us=result["p99_us"],
                     cpu_us_per_call=round(cpu_used / calls, 1),
                     core_share=round(cpu_used / (seconds * 1e6), 2),
                     failed=result["failed"])
        if result["calls_per_s"] < 0.95 * rate:
            break


def measure_memory(build, site, seconds):
    ingress = site.nodes[0]
    result = run_load(build, {"memory": ingress.addresses["caller_address"]},
                      1000, seconds, 250)["memory"]
    print_result(bench="memory-250-connections", rate=1000,
                 ingress_mb=round(peak_resident_mb(ingress.process.child.pid), 1),
                 owner_mb=round(peak_resident_mb(site.nodes[1].process.child.pid), 1),
                 p99_us=result["p99_us"], failed=result["failed"])


def compare_servers(build, seconds):
    """Compares POCO's threaded server with the event loop at 250 connections."""
    for kind in ("loop", "threads"):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        server = subprocess.Popen(
            [str(build / "tools/hyssopford-load"), f"--serve-{kind}",
             f"127.0.0.1:{port}", "-c", "250"], stdin=subprocess.DEVNULL)
        try:
            time.sleep(0.5)
            for rate in (2000, 20000):
                before = cpu_us(server.pid)
                result = run_load(build, {"x": f"127.0.0.1:{port}"}, rate,
                                  seconds, 250)["x"]
                cpu_used = cpu_us(server.pid) - before
                print_result(bench=f"serving-{kind}", rate=rate, connections=250,
                             calls_per_s=round(result["calls_per_s"]),
                             p50_us=result["p50_us"], p99_us=result["p99_us"],
                             cpu_us_per_call=round(cpu_used / (rate * seconds), 1),
                             resident_mb=round(peak_resident_mb(server.pid), 1),
                             failed=result["failed"])
        finally:
            os.kill(server.pid, signal.SIGKILL)
            server.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seconds", type=int, default=5)
    parser.add_argument("--only", default="",
                        help="latency, throughput, memory or serving")
    options = parser.parse_args()
    wanted = options.only.split(",") if options.only else [
        "latency", "memory", "throughput", "serving"]
    site, _, _ = start_two_nodes(options.build)
    try:
        if "latency" in wanted:
            for rate in (200, 2000):
                measure_added_latency(options.build, site, rate, options.seconds)
        if "memory" in wanted:
            measure_memory(options.build, site, options.seconds)
        if "throughput" in wanted:
            measure_throughput(options.build, site, options.seconds)
    finally:
        problems = site.stop()
    if "serving" in wanted:
        compare_servers(options.build, options.seconds)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
