"""Measures how fast versions come into force on all nodes of a site."""

import argparse
import json
import os
import shutil
import signal
import sys
import time

import testsite

LIMIT_S = 3.0
SEEDS = 3


def version_of(node):
    """Returns the version in force, or -1 while the node cannot tell."""
    try:
        return node.operator("/v1/version")[1]["version"]
    except (OSError, ValueError, KeyError):
        return -1


def patch_body(version):
    """The patch that makes a version."""
    route = {"name": "all", "service": "s", "deadline_ms": 100 + version}
    operation = "add" if version == 1 else "replace"
    value = [route]
    return json.dumps({
        "patch_id": f"patch-{version}", "author": "propagation",
        "base_version": version - 1,
        "patch": [{"op": operation, "path": "/routes", "value": value}]})


def submit(node, version):
    status, answer = node.operator("/v1/patches", "POST", patch_body(version),
                                   testsite.WRITE_TOKEN)
    if status != 200:
        raise testsite.SiteError(f"patch {version}: {status} {answer}")


def wait_in_force(nodes, version, begin):
    """Returns the time from the acceptance until the last node has it."""
    missing = list(nodes)
    while missing:
        missing = [node for node in missing if version_of(node) < version]
        elapsed = time.monotonic() - begin
        if missing and elapsed > 10 * LIMIT_S:
            names = [node.name for node in missing]
            raise testsite.SiteError(f"version {version} never on {names}")
    return time.monotonic() - begin


def restart(site, node, seeds):
    """Kills a node and starts it again at the same address."""
    os.kill(node.process.child.pid, signal.SIGKILL)
    node.process.child.wait()
    node.process.ready_path.unlink()
    site.settings["addresses"] = {
        "callers": testsite.FREE, "peers": node.addresses["peer_address"],
        "announcements": testsite.FREE, "operators": testsite.FREE}
    site.start_node(node, seeds, None)
    del site.settings["addresses"]


def run(site, options):
    site.start_store()
    seeds = []
    for index in range(options.nodes):
        domain = testsite.DOMAINS[index % len(testsite.DOMAINS)]
        node = testsite.Node(f"node-{index + 1}", None, domain)
        site.nodes.append(node)
        site.start_node(node, seeds, None)
        if len(seeds) < SEEDS:
            seeds.append(node.addresses["peer_address"])
    site.wait_for("all nodes know each other", lambda: all(
        len(node.operator("/v1/members")[1]["members"]) == options.nodes
        for node in site.nodes), 60)
    times = []
    every = max(options.patches // max(options.restarts, 1), 1)
    restarts = 0
    for version in range(1, options.patches + 1):
        submitter = site.nodes[version * 7 % options.nodes]
        submit(submitter, version)
        begin = time.monotonic()
        if version % every == 0 and restarts < options.restarts:
            candidates = [node for node in site.nodes[SEEDS:]
                          if node is not submitter]
            restart(site, candidates[restarts * 5 % len(candidates)], seeds)
            restarts += 1
        times.append(wait_in_force(site.nodes, version, begin))
    times.sort()
    return {"bench": "config_propagation", "nodes": options.nodes,
            "patches": options.patches, "restarts": restarts,
            "p50_ms": round(times[len(times) // 2] * 1000, 1),
            "p99_ms": round(times[len(times) * 99 // 100] * 1000, 1),
            "max_ms": round(times[-1] * 1000, 1)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--patches", type=int, default=200)
    parser.add_argument("--restarts", type=int, default=20)
    options = parser.parse_args()
    site = testsite.Site(options.build)
    problems = ["interrupted"]
    try:
        result = run(site, options)
        print(json.dumps(result), flush=True)
        problems = []
        if result["max_ms"] > LIMIT_S * 1000:
            problems.append(f"a version took more than {LIMIT_S} s")
    except testsite.SiteError as fault:
        problems = [str(fault)]
    finally:
        problems += site.stop()
        for problem in problems:
            print(problem, file=sys.stderr)
        if problems:
            print(f"logs are in {site.folder}", file=sys.stderr)
        else:
            shutil.rmtree(site.folder)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
