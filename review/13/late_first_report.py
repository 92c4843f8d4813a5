"""An instance starts, leaves with an acknowledged DELETE, and its node restarts.
Then the first status report of the instance arrives, late. The node must not
send it new work."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from loopback import (TROUBLE, Instance, Site, finish, give_up,  # noqa: E402
                      new_attempt, now, route)

DRAIN_S, STABLE_S = 2.0, 3.0
# Service after the DELETE: drainS "and a little longer (at times many seconds)".
SERVES_ON_S = 8.0
CLIENTS = 8


class Leaving(Instance):
    """Sends its reports when the script says so. Its status check tells that it
    is leaving from its DELETE on."""

    REPORTS = False

    def report(self, report):
        status = self.send_control("PUT", *report)
        self.site.record.write(f"REPORT {self.id} sequence "
                               f"{report[1]['sequence']}: {status}")
        return status

    def leave(self):
        self.healthy = False
        status = self.send_control("DELETE", f"/hyssopford/instances/{self.id}")
        self.site.record.write(f"DELETE {self.id}: {status}")
        return status


def main():
    site = Site(RECORD, ["shop", "orders", "orders"])
    site.heartbeat = 1.5
    site.configure([route("order", "unsafe", "orders")])
    site.add_instance(0)
    site.add_instance(1, work=0.1)
    site.start_nodes()
    if not (site.wait_ready() and site.wait_served(0, "POST", "/order/0")):
        give_up(site, "no request was served")
    leaving = site.add_instance(2, Leaving, work=0.1, name="i-short")
    first = leaving.status_report()
    if not TROUBLE:
        leaving.report(first)
    time.sleep(1.0)
    # Without an ack within a second the instance reports again.
    if leaving.report(leaving.status_report()) != 200:
        give_up(site, "the report was not acknowledged")
    time.sleep(1.0)
    if leaving.leave() != 200:
        give_up(site, "the DELETE was not acknowledged")
    acked = now()
    site.nodes[2].restart()
    restarted = now()
    if not site.wait_ready():
        give_up(site, "the node did not start again")
    if TROUBLE:
        leaving.report(first)
    # Machine 2 has been calm for stableWindowS, and drainS is over.
    time.sleep(max(restarted + STABLE_S, acked + DRAIN_S) + 0.2 - now())
    begin, answers, end = now(), {}, acked + SERVES_ON_S

    def client():
        while now() < end + 0.5:
            attempt = new_attempt()
            answers[attempt] = site.send(0, "POST", "/order/1", attempt,
                                         body=b"one order", deadline_ms=1500)

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(max(end - now(), 0.0))
    site.record.write(f"END of {leaving.id}")
    leaving.stop()
    for thread in threads:
        thread.join()
    late = [attempt for when, attempt, *_ in leaving.runs if when > begin]
    lost = [attempt for attempt in late if answers[attempt].status != 200]
    finish(site, bool(late), f"{len(late)} requests reached the instance more "
           f"than {begin - acked:.1f} s after its DELETE was acknowledged; "
           f"{len(lost)} of them got no answer of it; {len(answers)} sent")


main()
