"""Measures CPU time and memory of idle nodes at several site sizes; prints JSON
lines."""

import argparse
import json
import pathlib
import statistics
import sys
import time

import bench
import testsite

# Time for membership and links to settle before the measurement.
SETTLE_S = 12
MEASURE_S = 10


def start_site(build, count):
    site = testsite.Site(build)
    site.start_store()
    routing = site.folder / "routing.json"
    routing.write_text(json.dumps({"routes": [
        {"name": "catalogue", "path_prefix": "/", "service": "catalogue"}]}))
    site.nodes = [
        testsite.Node(f"node-{index}", "catalogue",
                      testsite.FAILURE_DOMAINS[
                          index % len(testsite.FAILURE_DOMAINS)])
        for index in range(count)]
    seeds = []
    for node in site.nodes:
        site.start_node(node, seeds, routing)
        if len(seeds) < len(testsite.FAILURE_DOMAINS):
            seeds.append(node.addresses["peer_address"])
    for node in site.nodes:
        site.start_upstream(node, 10, 1000)
    return site


def measure(build, count):
    site = start_site(build, count)
    try:
        time.sleep(SETTLE_S)
        pids = [node.process.child.pid for node in site.nodes]
        before = [bench.cpu_us(pid) for pid in pids]
        time.sleep(MEASURE_S)
        shares = [(bench.cpu_us(pid) - start) / MEASURE_S / 1e4
                  for pid, start in zip(pids, before)]
        memory = [bench.peak_resident_mb(pid) for pid in pids]
    finally:
        site.stop()
    bench.print_result(bench="idle-node", nodes=count,
                       cpu_percent_mean=round(statistics.mean(shares), 3),
                       cpu_percent_max=round(max(shares), 3),
                       peak_mb_mean=round(statistics.mean(memory), 2),
                       peak_mb_max=round(max(memory), 2))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--nodes", type=int, nargs="+", default=[13, 30, 60])
    options = parser.parse_args()
    for count in options.nodes:
        measure(options.build.resolve(), count)
    return 0


if __name__ == "__main__":
    sys.exit(main())
