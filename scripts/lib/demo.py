"""Starts a site like deployment A, sends requests through all nodes and checks
the answers, a drain, patches and telemetry."""

import argparse
import json
import signal
import sys
import time

import testsite

ROUTES = [
    {"name": "catalogue", "path_prefix": "/catalogue", "service": "catalogue",
     "deadline_ms": 1000},
    {"name": "enrolment", "path_prefix": "/enrolment", "service": "enrolment",
     "deadline_ms": 2000},
    {"name": "deposits", "path_prefix": "/deposits", "service": "deposits",
     "deadline_ms": 2000, "priority": "high"},
]
REQUESTS_PER_NODE = 12


class Checker:
    """Counts checks and prints the failed ones."""

    def __init__(self):
        self.checks = 0
        self.failures = []

    def check(self, passed, text):
        self.checks += 1
        if not passed:
            self.failures.append(text)
            print(f"  FAILED {text}")


def owner_names(site):
    return {node.addresses["node"]: node.name for node in site.nodes}


def send_request(site, checker, ingress, number, quiet):
    """Sends one request, checks that its answer belongs to it and returns the
    name of its owner."""
    service = list(testsite.DEPLOYMENT_A)[number % 3]
    method = "GET" if service == "catalogue" else "POST"
    target = f"/{service}/{ingress.name}?n={number}"
    body = None if method == "GET" else f"order {ingress.name} {number}"
    status, fields, text = testsite.request(
        ingress.addresses["caller_address"], method, target, body,
        {"Host": "demo.example"})
    answer = json.loads(text) if status == 200 else {}
    owner = owner_names(site).get(fields.get("Hyssopford-Owner"), "?")
    passed = (status == 200 and answer["service"] == service and
             answer["target"] == target and answer["method"] == method and
             answer.get("body", "") == (body or "") and
             answer["instance"] == owner)
    checker.check(passed, f"{method} {target}: {status} {text[:200]!r}")
    if not quiet:
        print(f"  {method:4} {target:32} {status}  ingress {ingress.name:12} "
              f"owner {owner:12} "
              f"{fields.get('Hyssopford-Outcome')}, "
              f"{fields.get('Hyssopford-Attempts')} attempt(s)")
    return owner


def send_all(site, checker, quiet_after=2):
    owners = set()
    for node in site.nodes:
        for number in range(REQUESTS_PER_NODE):
            owners.add(send_request(site, checker, node, number,
                                    number >= quiet_after))
    return owners


def check_refusal(site, checker):
    status, fields, _ = testsite.request(
        site.nodes[0].addresses["caller_address"], "GET", "/unknown", None,
        {"Host": "demo.example"})
    checker.check(status == 404 and
                  fields.get("Hyssopford-Outcome") == "not-run",
                  f"a request without a route was answered with {status}")
    print(f"  GET  /unknown  {status} {fields.get('Hyssopford-Outcome')}, "
          f"{fields.get('Hyssopford-Reason')}")


def drain_one(site, checker):
    node = site.nodes[0]
    node.configure_upstream({"drain": True})

    def drained_everywhere():
        for each in site.nodes:
            _, answer = each.request_operator("/v1/members")
            states = [member["upstream"] for member in answer["members"]
                      if member["node"] == node.addresses["node"]]
            if states != ["draining"]:
                return False
        return True

    elapsed = site.wait_for("every node knows of the drain", drained_everywhere)
    print(f"  every node knows after {elapsed * 1000:.0f} ms")
    owners = send_all(site, checker, 0)
    checker.check(node.name not in owners,
                  "the drained upstream received a request")


def check_telemetry(site, checker):
    """Checks the request metrics of a node and the number of exported spans."""
    _, _, page = testsite.request(
        site.nodes[0].addresses["operator_address"], "GET", "/metrics", None,
        {"Authorization": f"Bearer {testsite.READ_TOKEN}"})
    for series in (b'hyssopford_requests_total{outcome="answered"',
                   b'hyssopford_request_seconds_count{outcome="answered"'):
        checker.check(series in page, f"metrics without {series!r}")

    def spans():
        _, _, text = testsite.request(site.collector_address, "GET", "/count")
        return json.loads(text)["spans"]

    # Each request has at least an ingress, a queue and an upstream span.
    requests = REQUESTS_PER_NODE * len(site.nodes)
    needed = 3 * requests
    site.wait_for(f"{needed} spans", lambda: spans() >= needed)
    print(f"the collector has {spans()} spans of {requests} requests")


def patch(site, checker, operations, base, name):
    """Submits a patch with hyssopctl and waits until every node has it."""
    path = site.folder / f"{name}.json"
    path.write_text(json.dumps(operations))
    begin = time.monotonic()
    output = site.run_hyssopctl(site.nodes[0], "patch", "--base", base,
                                "--author", "demo", path)
    print("  hyssopctl: " + output.strip().replace("\n", "; "))
    version = base + 1
    site.wait_for(f"version {version} on every node",
                  lambda: set(site.versions()) == {version})
    elapsed = time.monotonic() - begin
    checker.check(elapsed < 3, f"version {version} took {elapsed:.1f} s to come "
                  "into force on all nodes")
    print(f"  version {version} is in force on {len(site.nodes)} nodes after "
          f"{elapsed * 1000:.0f} ms")
    seen = site.run_hyssopctl(site.nodes[-1], "watch", version).strip()
    print("  hyssopctl watch: " + seen.splitlines()[-1])


def run(site, checker, keep):
    print("starting the store and 13 nodes with their upstreams ...")
    begin = time.monotonic()
    site.start_store()
    site.start_collector()
    site.start(testsite.DEPLOYMENT_A)
    print(f"all nodes know each other after {time.monotonic() - begin:.1f} s")
    print("first configuration:")
    patch(site, checker, [{"op": "add", "path": "/routes", "value": ROUTES}],
          0, "first")
    print("requests through every node:")
    owners = send_all(site, checker)
    checker.check(len(owners) == len(site.nodes),
                  f"only {sorted(owners)} received requests")
    check_refusal(site, checker)
    check_telemetry(site, checker)
    print("a patch on the deadline of the catalogue:")
    patch(site, checker, [{"op": "test", "path": "/routes/0/name",
                           "value": "catalogue"},
                          {"op": "replace", "path": "/routes/0/deadline_ms",
                           "value": 600}], 1, "deadline")
    print(f"draining {site.nodes[0].name}:")
    drain_one(site, checker)
    if keep:
        print("the site keeps running until Ctrl-C. Addresses:")
        for node in site.nodes:
            print(f"  {node.name:12} {node.domain} callers "
                  f"{node.addresses['caller_address']} operators "
                  f"{node.addresses['operator_address']}")
        print(f"  tokens: {testsite.READ_TOKEN}, {testsite.WRITE_TOKEN}")
        try:
            signal.pause()
        except KeyboardInterrupt:
            print()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    site = testsite.Site(options.build)
    checker = Checker()
    try:
        run(site, checker, options.keep)
    except testsite.SiteError as fault:
        checker.check(False, str(fault))
    except KeyboardInterrupt:
        checker.check(False, "interrupted")
    problems = site.stop()
    for problem in problems:
        print(f"  FAILED {problem}")
    print(f"{checker.checks} checks, {len(checker.failures)} failed, "
          f"{len(problems)} processes did not exit cleanly; "
          f"logs in {site.folder}")
    return 1 if checker.failures or problems else 0


if __name__ == "__main__":
    sys.exit(main())
