"""Tests that each check of experiment_judge.py reports the violation that the records contain."""

import copy
import os
import sys
import tempfile
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from experiment_judge import ALWAYS_CHECKED, broken_bounds, figures_of  # noqa: E402
from experiment_run import Change  # noqa: E402
from experiment_topology import merge, parse_jsonc  # noqa: E402

LOGS = tempfile.TemporaryDirectory()
unittest.addModuleCleanup(LOGS.cleanup)


def attempt(prompt, start=0, made=4, recomputed=0, arrived=100):
    return {"attempt": "a", "prompt": prompt, "from": start, "made": made, "recomputed": recomputed,
            "arrived_ms": arrived}


def result(outcome, prompt="", marker="", kind="chat_stream"):
    return {"kind": kind, "outcome": outcome, "accepted": outcome == "answered", "prompt": prompt,
            "marker": marker, "retry_after_ms": 50}


def run(marker):
    return {"body": '{"note":"%s"}' % marker}


class Run:
    """A run without violations; each test changes one part of it."""

    def __init__(self):
        self.log("entry", "level=info event=request.accepted\n")
        self.engine = {"attempts": [attempt("p1"), attempt("p2")], "blocks_prefilled": {"b1": 1}, "orders": [],
                       "leaving_since_ms": -1}
        self.desk = {"runs": [run("d1")], "last_new_work_after_leaving_ms": -1}
        self.platform = {"cost": 1.0, "over_limit": 0, "reads_peak_per_s": 1, "writes_peak_per_s": 1,
                         "lost_answers": 0, "stale_answers": 0, "starts": 0, "repeated_starts": 0,
                         "refused_starts": 0, "weights_peak": 0, "writes": [["/oleander/profiles/designs", 5]]}
        self.load = {"lost": 0, "wrong_answer": 0, "ran_twice_seen": 0, "stale_reads": 0, "refused_by_workspace": {}}
        self.results = [result("answered", "p1"), result("answered", "p2"), result("refused", "p3"),
                        result("answered", marker="d1", kind="deposit_with_key"),
                        result("refused", marker="d2", kind="deposit_with_key")]
        self.samples = [(1.0, {"designs": 4}), (3.0, {"designs": 5})]
        self.unreachable = []
        self.accepted = [Change(2.0, "designs", 4, 5)]
        self.crashed = []

    def log(self, name, text):
        with open(os.path.join(LOGS.name, f"{name}.log"), "w", encoding="utf-8") as stream:
            stream.write(text)

    def figures(self):
        kinds = {"engine": "engine", "desk": "desk", "platform": "platform", "entry": "entry"}
        servers = [types.SimpleNamespace(name=name, kind=kind) for name, kind in kinds.items()]
        topology = types.SimpleNamespace(of_kind=lambda kind: [s for s in servers if s.kind == kind])
        fleet = types.SimpleNamespace(
            topology=topology, folder=LOGS.name, crashed=self.crashed,
            records={"engine": [self.engine], "desk": [self.desk], "platform": [self.platform]})
        monitor = types.SimpleNamespace(samples={"entry": self.samples}, unreachable={"entry": self.unreachable})
        operator = types.SimpleNamespace(accepted=self.accepted, conflicts=0, refused=0, outcome_unknown=0)
        return figures_of(fleet, copy.deepcopy(self.load), self.results, monitor, operator)

    def broken(self, bounds=None):
        return broken_bounds(self.figures(), bounds or {})


class JudgeTest(unittest.TestCase):
    def assert_breaks(self, disturbed, name, bounds=None):
        broken = disturbed.broken(bounds)
        self.assertEqual(1, len(broken), broken)
        self.assertTrue(broken[0].startswith(name + " "), broken)

    def test_a_clean_run_holds(self):
        self.assertEqual([], Run().broken({"in_force_max_ms": 5000, "behind_at_end": 0, "accepted_changes_lost": 0,
                                           "stale_orders": 0, "new_work_after_leaving_ms": 3000}))

    def test_a_deposit_that_ran_twice(self):
        disturbed = Run()
        disturbed.desk["runs"].append(run("d1"))
        self.assert_breaks(disturbed, "doubled")

    def test_two_answers_that_name_different_runs(self):
        disturbed = Run()
        disturbed.load["ran_twice_seen"] = 1
        self.assert_breaks(disturbed, "doubled")

    def test_a_refused_deposit_that_ran(self):
        disturbed = Run()
        disturbed.desk["runs"].append(run("d2"))
        self.assert_breaks(disturbed, "not_run_but_ran")

    def test_a_refused_chat_that_reached_an_engine(self):
        disturbed = Run()
        disturbed.engine["attempts"].append(attempt("p3", made=0))
        self.assert_breaks(disturbed, "not_run_but_ran")

    def test_an_answered_deposit_that_never_ran(self):
        disturbed = Run()
        disturbed.desk["runs"].clear()
        self.assert_breaks(disturbed, "wrong_answer")

    def test_counts_of_the_load_itself(self):
        for name in ("lost", "wrong_answer", "stale_reads"):
            disturbed = Run()
            disturbed.load[name] = 1
            self.assert_breaks(disturbed, name)

    def test_new_work_at_a_leaving_engine(self):
        disturbed = Run()
        disturbed.engine["leaving_since_ms"] = 1000
        disturbed.engine["attempts"].append(attempt("p1", made=0, arrived=4500))
        self.assert_breaks(disturbed, "new_work_after_leaving_ms", {"new_work_after_leaving_ms": 3000})

    def test_an_order_with_an_old_number(self):
        disturbed = Run()
        disturbed.engine["orders"].append({"stale": True})
        self.assert_breaks(disturbed, "stale_orders", {"stale_orders": 0})

    def test_a_failed_invariant_and_a_crash(self):
        disturbed = Run()
        disturbed.log("entry", "level=error event=invariant.failed name=epoch_monotone\n")
        self.assert_breaks(disturbed, "invariant_failures")
        disturbed = Run()
        disturbed.crashed = ["entry"]
        self.assert_breaks(disturbed, "crashed")

    def test_more_calls_than_the_store_takes(self):
        disturbed = Run()
        disturbed.platform["over_limit"] = 1
        self.assert_breaks(disturbed, "kv_over_limit")

    def test_a_revision_that_went_back(self):
        disturbed = Run()
        disturbed.samples += [(4.0, {"designs": 4}), (5.0, {"designs": 5})]
        self.assert_breaks(disturbed, "revisions_back")

    def test_a_change_that_came_late(self):
        disturbed = Run()
        disturbed.samples = [(1.0, {"designs": 4}), (9.0, {"designs": 5})]
        self.assert_breaks(disturbed, "in_force_max_ms", {"in_force_max_ms": 5000})

    def test_time_cut_off_does_not_count_as_late(self):
        disturbed = Run()
        disturbed.samples = [(1.0, {"designs": 4}), (9.0, {"designs": 5})]
        disturbed.unreachable = [[1.5, 8.0]]
        self.assertEqual([], disturbed.broken({"in_force_max_ms": 5000}))

    def test_a_change_that_never_came(self):
        disturbed = Run()
        disturbed.samples = [(1.0, {"designs": 4}), (3.0, {"designs": 4})]
        self.assert_breaks(disturbed, "behind_at_end", {"behind_at_end": 0})

    def test_an_accepted_change_that_the_store_does_not_hold(self):
        disturbed = Run()
        disturbed.platform["writes"] = []
        self.assert_breaks(disturbed, "accepted_changes_lost", {"accepted_changes_lost": 0})

    def test_two_accepted_changes_on_one_base(self):
        disturbed = Run()
        disturbed.accepted.append(Change(2.0, "designs", 4, 5))
        self.assert_breaks(disturbed, "accepted_changes_lost", {"accepted_changes_lost": 0})

    def test_recomputed_tokens_are_counted_by_cause(self):
        disturbed = Run()
        disturbed.engine["attempts"] += [attempt("p1", start=2, made=4, recomputed=12)]
        disturbed.engine["blocks_prefilled"]["b1"] = 3
        figures = disturbed.figures()
        self.assertEqual(12, figures["recomputed_resume"])
        self.assertEqual(2 * 64, figures["recomputed_prefix"])
        self.assertEqual(2, figures["recomputed_generated"])

    def test_a_figure_that_is_missing(self):
        self.assertEqual(["no_such_figure was not measured"], Run().broken({"no_such_figure": 0}))

    def test_the_four_promises_are_always_checked(self):
        self.assertLessEqual({"lost", "wrong_answer", "doubled", "not_run_but_ran"}, set(ALWAYS_CHECKED))


class FilesTest(unittest.TestCase):
    def test_every_experiment_parses(self):
        folder = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "experiments")
        for name in sorted(os.listdir(folder)):
            with open(os.path.join(folder, name), encoding="utf-8") as stream:
                self.assertIn("what", parse_jsonc(stream.read()), name)

    def test_comments_and_merging(self):
        self.assertEqual({"a": "x//y", "b": [1]}, parse_jsonc('{"a": "x//y", // no\n "b": [1,],}'))
        self.assertEqual({"a": {"b": 1, "c": 3}}, merge({"a": {"b": 1, "c": 2}}, {"a": {"c": 3}}))


if __name__ == "__main__":
    unittest.main()
