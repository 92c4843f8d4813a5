"""Records a trace of each deployment's demo site for hyssopford-replay."""

import argparse
import json
import pathlib
import random
import sys
import threading
import time

import testsite

SEED = 7
SECONDS = 6
DEPLOYMENTS = {
    "cafea-deschisa": {
        "services": testsite.DEPLOYMENT_A, "slots": 10, "round_trip_us": 3000,
        "paths": [("GET", "/catalogue/list", 6), ("POST", "/enrolment/new", 1),
                  ("POST", "/deposits/new", 1)]},
    "sunbelt-glazing": {
        "services": {"quotes": 5, "crews": 3, "glassyard": 3}, "slots": 6,
        "round_trip_us": 1000,
        "paths": [("GET", "/quotes/lookup", 6), ("POST", "/crews/book", 1),
                  ("GET", "/glassyard/stock", 1)]},
}


def routing(services):
    return {"routes": [{"name": name, "path_prefix": f"/{name}",
                        "service": name, "deadline_ms": 2000}
                       for name in services]}


def send_load(site, paths, rate):
    """Sends requests with random gaps through random nodes."""
    source = random.Random(SEED)
    end = time.monotonic() + SECONDS
    threads = []
    while time.monotonic() < end:
        method, path, _ = source.choices(
            paths, [weight for _, _, weight in paths])[0]
        node = source.choice(site.nodes)
        body = b"{}" if method == "POST" else None
        thread = threading.Thread(
            target=testsite.request,
            args=(node.addresses["caller_address"], method, path, body))
        thread.start()
        threads.append(thread)
        time.sleep(source.expovariate(rate))
    for thread in threads:
        thread.join()


def collect(site):
    """Returns the recorded requests of all nodes, times starting at zero."""
    lines = []
    for node in site.nodes:
        for line in node.process.log_path.read_text().splitlines():
            if line.startswith('{"at_us"'):
                lines.append(json.loads(line))
    lines.sort(key=lambda line: line["at_us"])
    first = lines[0]["at_us"]
    for line in lines:
        line["at_us"] -= first
    return lines


def record(build, name, target, rate):
    plan = DEPLOYMENTS[name]
    site = testsite.Site(build)
    site.records = True
    site.start_store()
    path = site.folder / "routing.json"
    path.write_text(json.dumps(routing(plan["services"])))
    try:
        site.start(plan["services"], plan["slots"], 5000, path)
        send_load(site, plan["paths"], rate)
        time.sleep(0.5)
        lines = collect(site)
    finally:
        site.stop()
    header = {"trace": 1, "site": name, "failure_domains": 3,
              "round_trip_us": plan["round_trip_us"],
              "services": {service: {"instances": count,
                                     "slots": plan["slots"]}
                           for service, count in plan["services"].items()}}
    with open(target, "w", encoding="utf-8") as output:
        for line in [header, *lines]:
            output.write(json.dumps(line, separators=(",", ":")) + "\n")
    print(f"{target}: {len(lines)} requests")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--rate", type=float, default=120.0)
    options = parser.parse_args()
    for name in DEPLOYMENTS:
        record(options.build.resolve(), name, pathlib.Path("traces") /
               f"{name}.jsonl", options.rate)
    return 0


if __name__ == "__main__":
    sys.exit(main())
