"""Records what callers and instances see and judges it."""
import signal
import time

from client import NOT_RUN

# Bounds as the platform's pages state them.
RETRY_RATIO = 0.2
RETRY_SLACK = 60
LATE_S = 0.5
LATE_SHARE = 0.25
LATE_LEAST = 8
DEPARTED_LEAST = 3


class Report:
    """Collects outcomes and events, and lists what breaks a promise."""

    def __init__(self):
        self.outcomes, self.faults, self.events = [], [], []
        self.pauses, self.down, self.ending = {}, {}, {}
        self.versions = {}

    def note(self, text):
        self.events.append((time.monotonic(), text))

    def wrong(self, text):
        self.note("WRONG: " + text)
        self.faults.append(text)

    def node_ends(self, machine, number):
        """A killed node is away at once, an ending one serves to its end."""
        when = time.monotonic()
        if number == signal.SIGKILL:
            self.down.setdefault(machine, []).append([when, None])
        else:
            self.ending.setdefault(machine, []).append([when, None])
        self.versions.pop(machine, None)

    def node_starts(self, machine):
        for table in (self.down, self.ending):
            for row in table.get(machine, []):
                row[1] = row[1] or time.monotonic()
        self.versions.pop(machine, None)

    def node_pauses(self, machine, seconds):
        begun = time.monotonic()
        self.pauses.setdefault(machine, []).append([begun, begun + seconds])

    def version(self, machine, version):
        """Takes the version in force in one run of a node."""
        before = self.versions.get(machine, 0)
        if version < before:
            self.wrong(f"node {machine} went from version {before} to {version}")
        self.versions[machine] = version

    def _met(self, table, out, slack=0.2):
        return any(begun - slack <= out.ended and
                   (end is None or out.begun <= end + slack)
                   for begun, end in table.get(out.node, []))

    def judge(self, arrivals):
        """Checks the promises on all that was recorded."""
        originals = len([out for out in self.outcomes if out.reason != "no connection"])
        late = owed = departed = 0
        lost = {}
        for out in self.outcomes:
            ran = arrivals.get(out.tag, 0)
            if out.unsafe and ran > 1:
                self.wrong(f"{out.tag} is unsafe and ran {ran} times")
            if out.status in NOT_RUN and not out.signature and out.unsafe and ran:
                self.wrong(f"{out.tag} ran, but its caller got {out.status}")
            if out.status == 200:
                if not out.signature.endswith("." + out.tag) or not ran:
                    self.wrong(f"{out.tag} got another's answer: {out.signature}")
            in_touch = not (self._met(self.down, out) or self._met(self.pauses, out)
                            or self._met(self.ending, out))
            if in_touch and out.reason != "left":
                owed += out.ended - out.begun > out.timeout or out.reason == "no answer"
                late += out.ended - out.begun > out.timeout + LATE_S
            if (out.reason.startswith("connection ended") and ran and
                    not self._met(self.down, out)):
                lost.setdefault(out.node, []).append(out.tag)
        if late >= LATE_LEAST and late > LATE_SHARE * owed:
            self.wrong(f"{late} of {owed} requests had no answer "
                       f"{LATE_S} s after their time")
        for node, tags in lost.items():
            if len(tags) > DEPARTED_LEAST:
                self.wrong(f"node {node} passed on {len(tags)} requests and "
                           f"closed their connections: {tags[:4]}")
        total = sum(count for tag, count in arrivals.items())
        if total > originals * (1 + RETRY_RATIO) + RETRY_SLACK:
            self.wrong(f"{total} arrivals for {originals} requests")
        return total

    def summary(self):
        counts = {}
        for out in self.outcomes:
            key = out.reason.split(":")[0] or str(out.status)
            counts[key] = counts.get(key, 0) + 1
        return ", ".join(f"{key}: {counts[key]}" for key in sorted(counts))
