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
LOAD_SECONDS = 6
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
    """Sends requests at random intervals through random nodes; rate is the mean
    number per second."""
    rng = random.Random(SEED)
    end = time.monotonic() + LOAD_SECONDS
    threads = []
    while time.monotonic() < end:
        method, path, _ = rng.choices(
            paths, [weight for _, _, weight in paths])[0]
        node = rng.choice(site.nodes)
        body = b"{}" if method == "POST" else None
        thread = threading.Thread(
            target=testsite.request,
            args=(node.addresses["caller_address"], method, path, body))
        thread.start()
        threads.append(thread)
        time.sleep(rng.expovariate(rate))
    for thread in threads:
        thread.join()


def collect_requests(site):
    """Returns the recorded requests of all nodes by time, from time 0."""
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
    deployment = DEPLOYMENTS[name]
    site = testsite.Site(build)
    site.record_traces = True
    site.start_store()
    path = site.folder / "routing.json"
    path.write_text(json.dumps(routing(deployment["services"])))
    try:
        site.start(deployment["services"], deployment["slots"], 5000, path)
        send_load(site, deployment["paths"], rate)
        time.sleep(0.5)
        lines = collect_requests(site)
    finally:
        site.stop()
    header = {"trace": 1, "site": name, "failure_domains": 3,
              "round_trip_us": deployment["round_trip_us"],
              "services": {service: {"instances": count,
                                     "slots": deployment["slots"]}
                           for service, count in deployment["services"].items()}}
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
