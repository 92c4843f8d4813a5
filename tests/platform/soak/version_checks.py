"""Checks from what callers and instances see which configuration version each
request was handled by."""
import dataclasses
import datetime
import re
import time

# Time until an acknowledged version must be in force on nodes in touch, up to
# and above LARGE_SITE machines.
APPLY_S, APPLY_LARGE_S, LARGE_SITE = 2.0, 2.5, 60
# A node is in touch after this time without a disturbance of it or the store.
STABLE_S = 3.0
# Longest addition to the bound while the store refuses calls but is not down,
# slow or losing answers.
STRETCH_S = 5.0
SOFT_STORE_KINDS = {"busy", "limited", "partial", "compact", "reset"}
# Time after its ack from which a version binds all nodes beside a store that
# comes back from an older copy, and for how long after that.
LOST_S, RETURNED_S = 5.0, 12.0
# Time after which the effect of a version must not be undone.
ROLLBACK_S = 0.25
# Share of requests on added routes that must be served, relative to that of the
# first routes, and fewest requests to compare.
ADDED_SHARE, MIN_ADDED = 0.25, 20
# Most connections of a node that may be lost with requests passed on.
MAX_LOST = 3
BUCKETS_S = (0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 1.5, 2.0, 2.5, 4.0, 8.0)


@dataclasses.dataclass
class Version:
    """A value that was written: the services of each route, or None if it is no
    valid configuration. ack is infinite if the store did not execute the write."""
    number: int
    routes: dict
    ack: float = float("inf")


@dataclasses.dataclass
class StorePeriod:
    """A disturbance of the store, of all machines or of some."""
    kind: str
    machines: frozenset
    begin: float
    end: float = float("inf")
    # A node that runs on while the store loses history.
    witness: int = None


@dataclasses.dataclass
class Effect:
    """A request and the versions by which it may have been handled."""
    outcome: object
    what: str
    seen: float
    oldest: int
    newest: int


class VersionChecks:
    def __init__(self, report, machines):
        self.report = report
        self.bound = APPLY_LARGE_S if machines >= LARGE_SITE else APPLY_S
        self.store_periods, self.instance_times = [], {}
        self.clock_offset = time.time() - time.monotonic()

    def store_period(self, kind, machines=None):
        self.store_periods.append(StorePeriod(kind, machines, time.monotonic()))
        return self.store_periods[-1]

    def instance_disturbed(self, machine):
        self.instance_times.setdefault(machine, []).append(time.monotonic())

    def _read_acks(self, site, written):
        times = [float(line.split()[3]) for line in
                 (site.folder / "store.log").read_text().splitlines()
                 if line.startswith("written op/config ")]
        for version, when in zip(written, times):
            version.ack = when

    def node_calm(self, node, begin, end):
        """Returns whether nothing was done to a node in a time."""
        return not any(
            start < end and (stop is None or stop > begin)
            for periods in (self.report.down, self.report.ending,
                            self.report.pauses)
            for start, stop in periods.get(node, []))

    def _store_bound(self, ack, sent, node):
        """Returns the bound for a request, or None if there is none."""
        if not any(period.begin < sent and period.end > sent - STABLE_S
                   for period in self.store_periods):
            return self.bound
        if any((period.kind not in SOFT_STORE_KINDS or
                (period.machines is not None and node in period.machines)) and
               period.begin < sent and period.end > ack - STABLE_S
               for period in self.store_periods):
            return None
        return self.bound + STRETCH_S

    def _effects(self, runs):
        """Yields which versions may have handled each request."""
        history = {}
        for index, version in enumerate(self.versions):
            for name in version.routes:
                history.setdefault(name, [None] * len(self.versions))[index] = \
                    version.routes[name]
        nowhere = [None] * len(self.versions)
        for outcome in self.report.outcomes:
            name = outcome.path.split("/")[1]
            states = history.get(name, nowhere)
            seen = [(service, when) for service, when, _ in
                    runs.get(outcome.request_id, [])]
            if not seen and outcome.status == 404 and not outcome.signature:
                seen = [(None, outcome.ended)]
            for service, when in seen:
                fitting = [index for index, state in enumerate(states)
                           if (service is None and state is None) or
                           (state is not None and service in state)]
                what = f"run by {service}" if service else "404"
                if not fitting:
                    self.report.record_violation(
                        f"{what} as no version allows: {outcome.request_id} "
                        f"{outcome.path} at node {outcome.node}, "
                        f"{outcome.sent - self.begun:.3f}")
                    continue
                yield Effect(outcome, what, when, fitting[0], fitting[-1])

    def check(self, operator, site, begun):
        """Checks all requests and prints how long versions took."""
        self.begun = begun
        self._read_acks(site, operator.versions)
        self.versions = [version for version in operator.versions
                         if version.routes is not None]
        runs = site.runs()
        effects = list(self._effects(runs))
        self._check_late(effects)
        self._check_returned(effects, site)
        self._check_regress(effects)
        self._check_added(operator.first)
        self._check_lost(runs, site)
        self._print_unanswered(runs)
        self._print_delays(effects, site)

    def _newest_acked(self, when):
        """Returns the index of the newest version acknowledged by a time."""
        result = -1
        for index, version in enumerate(self.versions):
            if version.ack <= when:
                result = index
        return result

    def _check_late(self, effects):
        late = {}
        for effect in effects:
            outcome, overdue = effect.outcome, effect.newest + 1
            if overdue > self._newest_acked(outcome.sent - self.bound):
                continue
            ack = self.versions[overdue].ack
            bound = self._store_bound(ack, outcome.sent, outcome.node)
            if bound is None or outcome.sent - ack <= bound or not \
                    self.node_calm(outcome.node, outcome.sent - STABLE_S,
                                   effect.seen):
                continue
            late.setdefault(overdue, []).append((outcome.sent - ack, effect))
        for overdue, rows in sorted(late.items()):
            nodes = sorted({effect.outcome.node for _, effect in rows})
            delay, effect = max(rows, key=lambda row: row[0])
            self.report.record_violation(
                f"LATE: version {self.versions[overdue].number}, acknowledged at "
                f"{self.versions[overdue].ack - self.begun:.3f}: {len(rows)} "
                f"requests at nodes {nodes} handled as only older ones allow, up "
                f"to {delay:.2f} s after the ack; {effect.outcome.request_id} "
                f"{effect.outcome.path} {effect.what} sent "
                f"{effect.outcome.sent - self.begun:.3f}")

    def _check_returned(self, effects, site):
        """No node, just started or not, goes back with the store."""
        for period in self.store_periods:
            if period.kind != "back":
                continue
            end = period.end + RETURNED_S
            # A version that no node which ran on had in force is lost for good.
            known = max((number for when, number in
                         self._versions_in_log(site, period.witness)
                         if when <= period.begin), default=0)
            newest = max((index for index, version in enumerate(self.versions)
                          if version.number <= known), default=-1)
            older = [f"{effect.outcome.request_id} {effect.outcome.path} "
                     f"{effect.what} at node {effect.outcome.node} sent "
                     f"{effect.outcome.sent - self.begun:.3f}"
                     for effect in effects
                     if period.begin < effect.outcome.sent < end and
                     effect.newest < min(newest, self._newest_acked(
                         min(effect.outcome.sent, period.end) - LOST_S))]
            for node in range(site.machines):
                older += [f"version {number} in force at node {node}, "
                          f"{when - self.begun:.3f}"
                          for when, number in self._versions_in_log(site, node)
                          if period.begin < when < end and number < min(
                              known, max((
                                  version.number for version in self.versions
                                  if version.ack < min(when, period.end) - LOST_S),
                                  default=0))]
            if older:
                self.report.record_violation(
                    f"RETURNED: {len(older)} times an older version beside the "
                    f"store that came back at {period.begin - self.begun:.3f}: "
                    + "; ".join(older[:4]))

    def _check_regress(self, effects):
        by_node = {}
        for effect in effects:
            by_node.setdefault(effect.outcome.node, []).append(effect)
        for node, rows in by_node.items():
            rows.sort(key=lambda effect: effect.seen)
            found = []
            newer = []
            for effect in sorted(rows, key=lambda row: row.outcome.sent):
                newer = [row for row in rows
                         if row.seen <= effect.outcome.sent - ROLLBACK_S
                         and row.oldest > effect.newest
                         and self.node_calm(node, row.outcome.sent - STABLE_S,
                                            effect.seen)]
                if newer:
                    found.append((effect, newer[0]))
            if found:
                effect, earlier = found[0]
                self.report.record_violation(
                    f"REGRESS: node {node}, {len(found)} requests: "
                    f"{effect.outcome.request_id} {effect.outcome.path} "
                    f"{effect.what} sent {effect.outcome.sent - self.begun:.3f}, "
                    f"after {earlier.outcome.request_id} {earlier.outcome.path} "
                    f"{earlier.what} at {earlier.seen - self.begun:.3f}")

    def _check_added(self, first):
        counts = {True: [0, 0], False: [0, 0]}
        for outcome in self.report.outcomes:
            name = outcome.path.split("/")[1]
            due = self._newest_acked(outcome.sent - self.bound)
            last = self._newest_acked(outcome.ended)
            if due < 0 or not all(name in version.routes for version in
                                  self.versions[due:last + 1]) or not \
                    self.node_calm(outcome.node, outcome.sent - STABLE_S,
                                   outcome.ended) or \
                    self._store_bound(outcome.sent, outcome.sent,
                                      outcome.node) != self.bound:
                continue
            counts[name in first][0] += 1
            counts[name in first][1] += outcome.status == 200
        shares = {key: served / max(1, total)
                  for key, (total, served) in counts.items()}
        print(f"  served of first routes {shares[True]:.3f} of {counts[True][0]}, "
              f"of added routes {shares[False]:.3f} of {counts[False][0]}")
        if counts[False][0] >= MIN_ADDED and \
                shares[False] < ADDED_SHARE * shares[True]:
            self.report.record_violation(
                f"ADDED: routes that were added are served {shares[False]:.2f}, "
                f"first ones {shares[True]:.2f}")

    def _check_lost(self, runs, site):
        lost, planned = {}, {}
        for outcome in self.report.outcomes:
            ran = runs.get(outcome.request_id, [])
            if not ran or not outcome.reason.startswith("connection ended"):
                continue
            machine = int(re.match(r"runs-i-machine-(\d+)", ran[-1][2]).group(1))
            if any(outcome.sent - STABLE_S < when < outcome.ended + 1.0
                   for when in self.instance_times.get(machine, [])):
                continue
            if self.node_calm(outcome.node, outcome.sent - STABLE_S, outcome.ended):
                if outcome.kept:
                    lost.setdefault(outcome.node, []).append(outcome)
            elif any(start <= outcome.ended and (stop is None or
                                                 stop >= outcome.sent)
                     for start, stop in self.report.ending.get(outcome.node, [])):
                planned.setdefault(outcome.node, []).append(outcome)
        for kind, found, most in (("LOST", lost, MAX_LOST),
                                  ("LOST at SIGTERM", planned, 0)):
            for node, outcomes in found.items():
                text = "; ".join(
                    f"{outcome.request_id} {outcome.path} sent "
                    f"{outcome.sent - self.begun:.3f}, ended "
                    f"{outcome.ended - self.begun:.3f} ({outcome.reason}) "
                    f"{self._log_line(site, node, outcome.request_id)}"
                    for outcome in outcomes[:4])
                (self.report.record_violation if len(outcomes) > most
                 else self.report.record_event)(
                     f"{kind}: node {node}, {len(outcomes)} requests: {text}")

    def _print_unanswered(self, runs):
        """Prints how many requests ended with their connection and no answer, by
        what happened to the node and by what is known of the request."""
        counts = {}
        for outcome in self.report.outcomes:
            if outcome.status or outcome.reason == "left":
                continue
            cause = self.report.disturbance(outcome)
            if outcome.request_id in runs:
                state = "run"
            elif not outcome.sent:
                state = "not sent"
            elif "closed after" in outcome.reason:
                state = "behind an answer that closed the connection"
            elif "Reset" in outcome.reason:
                state = "reset before it was read or answered"
            else:
                state = "not run: " + outcome.reason.split("(")[0]
            counts[cause, state] = counts.get((cause, state), 0) + 1
            if outcome.sent and cause in ("undisturbed", "terminated"):
                self.report.record_event(
                    f"unanswered, {cause}, {state}: node {outcome.node} "
                    f"{outcome.request_id} sent {outcome.sent - self.begun:.3f}, "
                    f"ended {outcome.ended - self.begun:.3f} ({outcome.reason})")
        print("  unanswered: " + "; ".join(
            f"{cause}, {state}: {count}"
            for (cause, state), count in sorted(counts.items())))

    def _log_line(self, site, node, request_id):
        for line in (site.folder / f"node-{node}.log").read_text().splitlines():
            if f"id={request_id} " in line:
                return line[:300]
        return "no line in the node's log"

    def _print_delays(self, effects, site):
        """Prints the time from each ack to its first effect on each node, for
        nodes in touch at the ack and beside disturbances."""
        by_node = {}
        for effect in effects:
            by_node.setdefault(effect.outcome.node, []).append(effect)
        undisturbed, others, older = [], [], []
        for node, rows in by_node.items():
            rows.sort(key=lambda effect: effect.seen)
            for index, version in enumerate(self.versions[1:], 1):
                if version.ack == float("inf"):
                    continue
                first = next((row for row in rows if row.oldest >= index), None)
                if first is not None:
                    self._sort_delay(node, version.ack, first.seen, undisturbed,
                                     others)
                self._sort_delay(node, version.ack, max(
                    (row.outcome.sent for row in rows if row.newest < index),
                    default=version.ack), older, [])
        print_histogram("first effect, undisturbed", undisturbed)
        print_histogram("first effect, others", others)
        print_histogram("last request handled as before, undisturbed", older)
        undisturbed, others = [], []
        for node in range(site.machines):
            rows = self._versions_in_log(site, node)
            for version in self.versions[1:]:
                if version.ack == float("inf"):
                    continue
                first = next((when for when, number in rows
                              if number >= version.number), None)
                if first is not None:
                    self._sort_delay(node, version.ack, first, undisturbed, others)
        print_histogram("in force by logs, undisturbed", undisturbed)
        print_histogram("in force by logs, others", others)

    def _sort_delay(self, node, ack, seen, undisturbed, others):
        calm = self.node_calm(node, ack - STABLE_S, seen) and not any(
            period.begin < seen and period.end > ack - STABLE_S
            for period in self.store_periods)
        (undisturbed if calm else others).append((max(0.0, seen - ack), node, ack -
                                                  self.begun))

    def _versions_in_log(self, site, node):
        rows = []
        for line in (site.folder / f"node-{node}.log").read_text(
                errors="replace").splitlines():
            found = re.match(r"time=(\S+)Z .*event=config_in_force.* version=(\d+)",
                             line)
            if found:
                when = datetime.datetime.fromisoformat(
                    found.group(1) + "+00:00").timestamp() - self.clock_offset
                rows.append((when, int(found.group(2))))
        return rows


def print_histogram(title, rows):
    """Prints delays, given as rows of delay, node and time of the ack."""
    if not rows:
        print(f"  {title}: none")
        return
    rows.sort()
    delays = [row[0] for row in rows]
    counts = [sum(low < delay <= high for delay in delays) for low, high in
              zip((-1.0, *BUCKETS_S), (*BUCKETS_S, float("inf")))]
    text = ", ".join(f"<={high:g}: {count}" for high, count in
                     zip((*BUCKETS_S, float("inf")), counts) if count)
    print(f"  {title}: n {len(rows)}, p50 {delays[len(delays) // 2]:.3f}, p99 "
          f"{delays[len(delays) * 99 // 100]:.3f}, largest {delays[-1]:.3f} s "
          f"(node {rows[-1][1]}, ack at {rows[-1][2]:.3f}); {text}")
