"""Records what callers and instances see and checks it against the promises of
the platform deployment."""
import signal
import time

from client import NOT_RUN
from crash_checks import CRASH_STATUS

# The platform's limit of runs: requests * (1 + RETRY_RATIO) + RETRY_SLACK.
RETRY_RATIO = 0.2
RETRY_SLACK = 60
# Requests later than LATE_S after their timeout are a violation if there are at
# least MIN_LATE_REQUESTS and more than LATE_SHARE of those over their timeout.
LATE_S = 0.5
LATE_SHARE = 0.25
MIN_LATE_REQUESTS = 8
# Most requests of one node that may be run and end with their connection
# closed instead of an answer.
MAX_LOST_REQUESTS = 3


class Report:
    """Collects outcomes and events, and lists violations of the promises."""

    def __init__(self):
        self.outcomes, self.violations, self.events = [], [], []
        self.pauses, self.down, self.ending = {}, {}, {}
        self.versions = {}
        # Origin of the times of events; nothing for the start of the run.
        self.begun = None

    def record_event(self, text):
        self.events.append((time.monotonic(), text))

    def record_violation(self, text):
        self.record_event("VIOLATION: " + text)
        self.violations.append(text)

    def node_ends(self, machine, signal_number):
        """Records the end of a node: a killed one serves nothing from now on, a
        terminated one serves until its process ends."""
        when = time.monotonic()
        if signal_number == signal.SIGKILL:
            self.down.setdefault(machine, []).append([when, None])
        else:
            self.ending.setdefault(machine, []).append([when, None])
        self.versions.pop(machine, None)

    def node_starts(self, machine):
        for periods in (self.down, self.ending):
            for row in periods.get(machine, []):
                row[1] = row[1] or time.monotonic()
        self.versions.pop(machine, None)

    def node_pauses(self, machine, seconds):
        begun = time.monotonic()
        self.pauses.setdefault(machine, []).append([begun, begun + seconds])

    def check_version(self, machine, version):
        """Checks that the version in force never decreases in one run of a node."""
        before = self.versions.get(machine, 0)
        if version < before:
            self.record_violation(
                f"node {machine} went from version {before} to {version}")
        self.versions[machine] = version

    def check_ends(self, processes):
        """Checks that no process ended unless its end was expected."""
        for process in processes:
            status = process.child.poll()
            if status is not None and status != CRASH_STATUS and \
                    not process.expected_end:
                process.expected_end = True
                self.record_violation(f"{process.log.name} ended unexpectedly "
                                      f"with status {status}")

    def _overlaps(self, periods, outcome, slack=0.2):
        return any(begun - slack <= outcome.ended and
                   (end is None or outcome.begun <= end + slack)
                   for begun, end in periods.get(outcome.node, []))

    def disturbance(self, outcome):
        """Returns what happened to the node during a request."""
        if self._overlaps(self.down, outcome):
            return "killed"
        if self._overlaps(self.pauses, outcome):
            return "paused"
        if self._overlaps(self.ending, outcome):
            return "terminated"
        return "undisturbed"

    def check_promises(self, run_counts):
        """Checks all recorded outcomes; returns the number of runs."""
        originals = len([outcome for outcome in self.outcomes
                         if outcome.reason != "no connection"])
        late = overdue = departed = 0
        lost = {}
        for outcome in self.outcomes:
            runs = run_counts.get(outcome.request_id, 0)
            if outcome.unsafe and runs > 1:
                self.record_violation(
                    f"{outcome.request_id} is unsafe and was run {runs} times")
            if outcome.status in NOT_RUN and not outcome.signature and runs:
                self.record_violation(f"{outcome.request_id} was run, but its "
                                      f"caller got {outcome.status}")
            if outcome.status == 200:
                if not outcome.signature.endswith(
                        "." + outcome.request_id) or not runs:
                    self.record_violation(
                        f"{outcome.request_id} was not run or got the answer "
                        f"of another request: {outcome.signature}")
            undisturbed = self.disturbance(outcome) == "undisturbed"
            if undisturbed and outcome.reason != "left":
                overdue += outcome.ended - outcome.begun > outcome.timeout or \
                    outcome.reason == "no answer"
                late += outcome.ended - outcome.begun > outcome.timeout + LATE_S
            if (outcome.reason.startswith("connection ended") and runs and
                    not self._overlaps(self.down, outcome)):
                lost.setdefault(outcome.node, []).append(outcome.request_id)
        if late >= MIN_LATE_REQUESTS and late > LATE_SHARE * overdue:
            self.record_violation(f"{late} of {overdue} requests had no answer "
                                  f"{LATE_S} s after their timeout")
        for node, request_ids in lost.items():
            if len(request_ids) > MAX_LOST_REQUESTS:
                self.record_violation(
                    f"node {node} had {len(request_ids)} requests run and closed "
                    f"their connections: {request_ids[:4]}")
        total = sum(count for request_id, count in run_counts.items())
        if total > originals * (1 + RETRY_RATIO) + RETRY_SLACK:
            self.record_violation(f"{total} runs for {originals} requests")
        return total

    def summary(self):
        counts = {}
        for outcome in self.outcomes:
            key = outcome.reason.split(":")[0] or str(outcome.status)
            counts[key] = counts.get(key, 0) + 1
        return ", ".join(f"{key}: {counts[key]}" for key in sorted(counts))
