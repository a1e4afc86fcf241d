"""Checks the documented guarantees against what callers, backend servers, store and platform recorded.

Each check returns the cases that violate it. The bounds are the documented ones; where those tolerate a few cases,
MAX_TOLERATED_CASES is the limit.
"""
import re

REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.5
RECONNECT_SECONDS = 4.0  # After a disturbance, until an instance counts as reconnected.
CANCEL_SECONDS = 0.5
REPLY_MARGIN_SECONDS = 0.5  # Beyond a route's timeout.
GRACE_SECONDS = 8.0
LEASE_SECONDS = 3.0
RESUME_SECONDS = 0.3
MAX_ATTEMPTS = 2
MAX_TOLERATED_CASES = 3
NOT_RUN = (408, 421, 429, 503)
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+) (\d+)\n\n")
EVENTS = 12


class PromiseChecker:
    def __init__(self, ledger, timeout):
        self.ledger = ledger
        self.timeout = timeout
        self.runs = {}
        for run in ledger.runs:
            self.runs.setdefault(run.attempt, []).append(run)

    def disturbed(self, target, begin, end, kinds=None):
        """Returns whether a disturbance that excuses a failure affected `target` between the two times."""
        return any(d.started_at <= end and d.ended_at + RECONNECT_SECONDS >= begin and d.target in ("", target)
                   and (kinds is None or d.kind in kinds) for d in self.ledger.disturbances)

    def refused_but_ran(self):
        return [c.attempt for c in self.ledger.calls
                if c.status in NOT_RUN and not c.sealed and c.kind != "repeat" and c.attempt in self.runs]

    def ran_twice(self):
        return [c.attempt for c in self.ledger.calls
                if c.kind in ("once", "stream") and len(self.runs.get(c.attempt, [])) > 1]

    def too_many_servers(self):
        cases = [c.attempt for c in self.ledger.calls if len(self.runs.get(c.attempt, [])) > MAX_ATTEMPTS]
        return cases if len(cases) > MAX_TOLERATED_CASES else []

    def mixed_answers(self):
        return [c.attempt for c in self.ledger.calls
                if c.complete and c.status == 200 and c.kind in ("once", "repeat")
                and c.body not in self.ledger.answers.get(c.attempt, [])]

    def broken_streams(self):
        """Returns streams with a missing, duplicate or foreign event, or that end normally before their last event."""
        cases = []
        for call in self.ledger.calls:
            if call.status != 200 or call.kind not in ("stream", "resume"):
                continue
            found = EVENT.findall(call.body)
            numbers = [int(number) for number, _, _ in found]
            good = (all(attempt == call.attempt.encode() and number == again for number, attempt, again in found)
                    and numbers == list(range(1, len(numbers) + 1))
                    and (not call.complete or len(numbers) == EVENTS))
            if not good:
                cases.append(call.attempt)
        return cases

    def ran_after_revocation(self):
        return [c.attempt for c in self.ledger.calls
                if c.key in self.ledger.revoked and c.attempt in self.runs
                and c.sent_at > self.ledger.revoked[c.key] + REVOKE_SECONDS]

    def wrong_workspace(self):
        keys = {c.attempt: c.key for c in self.ledger.calls}
        return [r.attempt for r in self.ledger.runs
                if r.key_seen or (r.attempt in keys and r.workspace != self.ledger.keys.get(keys[r.attempt]))]

    def sent_to_leaving_server(self):
        instances = {c.attempt: (c.instance, c.sent_at) for c in self.ledger.calls}
        cases = []
        for run in self.ledger.runs:
            left_at = self.ledger.left.get(run.server)
            if left_at is None or run.started_at <= left_at + DRAIN_SECONDS or run.attempt not in instances:
                continue
            instance, sent_at = instances[run.attempt]
            in_touch = not self.disturbed(instance, left_at - RECONNECT_SECONDS, run.started_at)
            if in_touch and sent_at > left_at + DRAIN_SECONDS:
                cases.append(f"{run.attempt} at {run.server}")
        return cases

    def usage_changed(self):
        return [str(window) for window, reports in self.ledger.usage.items()
                if any(report != reports[0] for report in reports)]

    def fences_out_of_order(self):
        """Returns calls with a lower fencing number than an earlier call, unless the sender was frozen or cut off."""
        cases, highest = [], 0
        for at, holder, fence in self.ledger.orders:
            excused = any(d.target in ("", holder) and d.started_at <= at <= d.ended_at + RESUME_SECONDS
                          for d in self.ledger.disturbances if d.kind in ("pause", "cut_store", "store", "duties"))
            if fence < highest and not excused:
                cases.append(f"{holder} {fence} after {highest}")
            highest = max(highest, fence)
        return cases

    def holders_by_turns(self):
        """Returns the holders that acted in the order A, B, A within the duration of one lease."""
        cases = []
        for i, (begin, holder, _) in enumerate(self.ledger.orders):
            soon = [row for row in self.ledger.orders[i + 1:] if row[0] - begin < LEASE_SECONDS]
            others = [at for at, name, _ in soon if name != holder]
            back = [at for at, name, _ in soon if name == holder and others and at > others[0]]
            if back and not self.disturbed(holder, begin, back[0], ("pause", "cut_store", "store", "duties")):
                cases.append(f"{holder} at {begin:.2f}")
        return cases

    def lost_around_planned_work(self):
        """Returns calls that reached a server and got no answer although only planned work affected their instance."""
        cases = []
        for call in self.ledger.calls:
            runs = self.runs.get(call.attempt, [])
            planned = self.disturbed(call.instance, call.sent_at, call.sent_at, ("stop", "reload"))
            unplanned = any(d.target in ("", call.instance, *(r.server for r in runs))
                            and d.kind not in ("stop", "reload", "config")
                            and d.started_at <= (call.ended_at or call.sent_at + self.timeout)
                            and d.ended_at + RECONNECT_SECONDS >= call.sent_at for d in self.ledger.disturbances)
            answered = call.status is not None and call.complete
            if planned and not unplanned and runs and not answered and call.left_at is None:
                cases.append(call.attempt)
        return cases if len(cases) > MAX_TOLERATED_CASES else []

    def late_answers(self):
        """Returns the calls answered too late after their timeout, if they are at least 8 and more than half."""
        over = [c for c in self.ledger.calls
                if c.left_at is None and c.ended_at is not None and c.ended_at - c.sent_at >= self.timeout
                and not self.disturbed(c.instance, c.sent_at, c.ended_at, ("pause", "kill", "stop"))]
        late = [c.attempt for c in over if c.ended_at - c.sent_at > self.timeout + REPLY_MARGIN_SECONDS]
        return late if len(late) >= 8 and len(late) > len(over) / 2 else []

    def worked_for_nobody(self):
        """Returns calls that reached a server more than CANCEL_SECONDS after their caller left, if too many."""
        cases = []
        for call in self.ledger.calls:
            if call.left_at is None or self.disturbed(call.instance, call.sent_at, call.left_at):
                continue
            cases += [call.attempt for run in self.runs.get(call.attempt, [])
                      if run.started_at > call.left_at + CANCEL_SECONDS]
        return cases if len(cases) > MAX_TOLERATED_CASES else []

    def ended_by_itself(self):
        return self.ledger.ended_by_itself

    def did_not_end(self):
        return self.ledger.did_not_end

    def broken(self):
        checks = (self.refused_but_ran, self.ran_twice, self.too_many_servers, self.mixed_answers, self.broken_streams,
                  self.ran_after_revocation, self.wrong_workspace, self.sent_to_leaving_server, self.usage_changed,
                  self.fences_out_of_order, self.holders_by_turns, self.lost_around_planned_work, self.late_answers,
                  self.worked_for_nobody, self.ended_by_itself, self.did_not_end)
        return {check.__name__: cases for check in checks if (cases := check())}

    def served_share(self, begin, end):
        """Returns the share of the calls sent in [begin, end) with a valid credential that got a complete answer."""
        requests = [c for c in self.ledger.calls if begin <= c.sent_at < end and c.left_at is None
                    and c.key not in self.ledger.revoked and c.key in self.ledger.keys]
        good = [c for c in requests if c.status == 200 and c.complete]
        return len(good) / len(requests) if requests else 0.0
