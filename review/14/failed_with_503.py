"""An instance in trouble runs requests and fails a part of them with 503 or 429,
without saying that it did not run them. Clients must not get a status that
promises that the request has not run."""
import pathlib
import random
import sys
import threading

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from loopback import (TROUBLE, Instance, Site, finish, give_up,  # noqa: E402
                      new_attempt, route)

# One of seven instances (share .15) fails .4 of its requests.
INSTANCES, FAILED_SHARE = 7, 0.4
IN_TROUBLE = 3
CLIENTS, REQUESTS_EACH = 8, 75
PROMISES = (408, 421, 429, 503)


class Failing(Instance):
    """Runs every request and signs every answer."""

    def answer(self, start, fields, attempt):
        if TROUBLE and self.vm == IN_TROUBLE and random.random() < FAILED_SHARE:
            status = random.choice(["503 Service Unavailable",
                                    "429 Too Many Requests"])
            return status, {}, b"failed\n"
        return super().answer(start, fields, attempt)


def main():
    site = Site(RECORD, ["shop"] + ["orders"] * INSTANCES)
    site.configure([route("order", "unsafe", "orders")])
    for vm in range(INSTANCES + 1):
        site.add_instance(vm, Failing)
    site.start_nodes()
    if not (site.wait_ready() and site.wait_served(0, "POST", "/order/0")):
        give_up(site, "no request was served")
    answers = {}

    def client():
        for _ in range(REQUESTS_EACH):
            attempt = new_attempt()
            answers[attempt] = site.send(0, "POST", "/order/1", attempt,
                                         body=b"one order", deadline_ms=1500)

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = {attempt for attempt, answer in answers.items()
               if answer.status in PROMISES}
    served = sum(answer.status == 200 for answer in answers.values())
    runs = {attempt for instance in site.instances.values()
            for _, attempt, *_ in instance.runs}
    broken = sorted(refused & runs)
    for attempt in broken:
        site.record.write(f"RAN AND REFUSED {attempt}")
    if served < len(answers) / 2:
        give_up(site, f"only {served} requests were served")
    finish(site, bool(broken), f"{len(broken)} of {len(answers)} requests ran and "
           f"were answered with a promise that they did not; {served} served")


main()
