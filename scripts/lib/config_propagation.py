"""Measures the time until a configuration version is in force on all nodes."""

import argparse
import json
import os
import shutil
import signal
import sys
import time

import testsite

# Longest time until a version is in force on all nodes.
MAX_PROPAGATION_S = 3.0
# Nodes that the others use as seeds; they are never restarted.
SEED_COUNT = 3


def version_in_force(node):
    """Returns the version in force, or -1 if the node does not answer."""
    try:
        return node.request_operator("/v1/version")[1]["version"]
    except (OSError, ValueError, KeyError):
        return -1


def patch_body(version):
    """Returns the patch that creates a version from its predecessor."""
    route = {"name": "all", "service": "s", "deadline_ms": 100 + version}
    operation = "add" if version == 1 else "replace"
    value = [route]
    return json.dumps({
        "patch_id": f"patch-{version}", "author": "propagation",
        "base_version": version - 1,
        "patch": [{"op": operation, "path": "/routes", "value": value}]})


def submit(node, version):
    status, answer = node.request_operator(
        "/v1/patches", "POST", patch_body(version), testsite.WRITE_TOKEN)
    if status != 200:
        raise testsite.SiteError(
            f"patch {version} was refused: {status} {answer}")


def wait_in_force(nodes, version, accepted_at):
    """Returns the seconds from the acceptance until all nodes have the version."""
    missing = list(nodes)
    while missing:
        missing = [node for node in missing if version_in_force(node) < version]
        elapsed = time.monotonic() - accepted_at
        if missing and elapsed > 10 * MAX_PROPAGATION_S:
            names = [node.name for node in missing]
            raise testsite.SiteError(f"version {version} not in force on {names} "
                                     f"after {elapsed:.1f} s")
    return time.monotonic() - accepted_at


def restart(site, node, seeds):
    """Kills a node and starts it again at the same address."""
    os.kill(node.process.child.pid, signal.SIGKILL)
    node.process.child.wait()
    node.process.ready_path.unlink()
    site.settings["addresses"] = {
        "callers": testsite.ANY_PORT, "peers": node.addresses["peer_address"],
        "announcements": testsite.ANY_PORT, "operators": testsite.ANY_PORT}
    site.start_node(node, seeds, None)
    del site.settings["addresses"]


def run(site, options):
    site.start_store()
    seeds = []
    for index in range(options.nodes):
        domain = testsite.FAILURE_DOMAINS[index % len(testsite.FAILURE_DOMAINS)]
        node = testsite.Node(f"node-{index + 1}", None, domain)
        site.nodes.append(node)
        site.start_node(node, seeds, None)
        if len(seeds) < SEED_COUNT:
            seeds.append(node.addresses["peer_address"])
    site.wait_for("all nodes know each other", lambda: all(
        len(node.request_operator("/v1/members")[1]["members"]) == options.nodes
        for node in site.nodes), 60)
    times = []
    restart_interval = max(options.patches // max(options.restarts, 1), 1)
    restarts = 0
    for version in range(1, options.patches + 1):
        submitter = site.nodes[version * 7 % options.nodes]
        submit(submitter, version)
        accepted_at = time.monotonic()
        if version % restart_interval == 0 and restarts < options.restarts:
            candidates = [node for node in site.nodes[SEED_COUNT:]
                          if node is not submitter]
            restart(site, candidates[restarts * 5 % len(candidates)], seeds)
            restarts += 1
        times.append(wait_in_force(site.nodes, version, accepted_at))
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
        if result["max_ms"] > MAX_PROPAGATION_S * 1000:
            problems.append(f"a version took more than {MAX_PROPAGATION_S} s to "
                            "come into force on all nodes")
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
