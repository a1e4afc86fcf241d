"""Tests that each promise of entry_judge.py is found broken where the records break it, and only there."""

import os
import sys
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import entry_judge  # noqa: E402

BOUNDS = {"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 3}
ONCE = types.SimpleNamespace(prefix="/deposit/", repeats=False, max_attempts=1)
REPEATED = types.SimpleNamespace(prefix="/read/", repeats=True, max_attempts=2)


def request(route, status=200, attempt="a", sent=0.0):
    return entry_judge.Request(attempt, route, sent, status, status == 200)


class EntryJudgeTest(unittest.TestCase):
    def test_a_refused_request_may_not_run(self):
        for status in (408, 421, 429, 503):
            self.assertTrue(entry_judge.refused([request(ONCE, status)], {"a": [(9.0, "i-1")]}))
            self.assertFalse(entry_judge.refused([request(ONCE, status)], {"b": [(9.0, "i-1")]}))
            self.assertFalse(entry_judge.refused([request(REPEATED, status)], {"a": [(9.0, "i-1")]}))
        self.assertFalse(entry_judge.refused([request(ONCE, 502)], {"a": [(9.0, "i-1")]}))

    def test_only_the_last_answer_to_an_id_that_came_again_is_a_promise(self):
        runs = {"a": [(9.0, "i-1")]}
        self.assertFalse(entry_judge.refused([request(ONCE, 503), request(ONCE, 200)], runs))
        self.assertTrue(entry_judge.refused([request(ONCE, 503), request(ONCE, 503)], runs))
        self.assertTrue(entry_judge.twice([request(ONCE, 503), request(ONCE)], {"a": [(1.0, "i-1"), (2.0, "i-2")]}))

    def test_an_arrival_for_each_time_that_an_id_was_sent_is_no_repeat(self):
        arrivals = [(1.0, "a"), (2.0, "a")]
        self.assertEqual(entry_judge.repeated_arrivals([request(ONCE), request(ONCE)], arrivals), [])
        self.assertEqual(entry_judge.repeated_arrivals([request(ONCE)], arrivals), [2.0])

    def test_a_request_that_must_run_once_may_not_run_twice(self):
        for servers in (("i-1", "i-1"), ("i-1", "i-2")):
            runs = {"a": [(1.0, server) for server in servers]}
            self.assertTrue(entry_judge.twice([request(ONCE)], runs))
            self.assertFalse(entry_judge.twice([request(REPEATED)], runs))

    def test_a_request_may_not_run_on_more_servers_than_its_route_allows(self):
        runs = {"a": [(1.0, "i-1"), (1.1, "i-2"), (1.2, "i-2")]}
        self.assertFalse(entry_judge.too_many_servers([request(REPEATED)], runs))
        runs["a"].append((1.3, "i-3"))
        self.assertTrue(entry_judge.too_many_servers([request(REPEATED)], runs))

    def test_arrivals_beyond_the_first_are_bounded_in_each_window(self):
        requests = [request(REPEATED, attempt=str(number), sent=50 + number / 10) for number in range(10)]
        firsts = [(each.sent + 0.01, each.attempt) for each in requests]
        for count, breaks in ((5, False), (6, True)):  # 3 and a fifth of 10 are allowed.
            repeats = [(52 + number, str(number)) for number in range(count)]
            self.assertEqual(entry_judge.retry_use(requests, firsts + repeats, BOUNDS)[0] > 1, breaks)
            self.assertEqual(bool(entry_judge.broken_promises(requests, {}, firsts + repeats, BOUNDS)), breaks)

    def test_requests_count_in_the_window_before_but_not_earlier(self):
        firsts = [(float(number) / 10, str(number)) for number in range(10)]
        requests = [request(REPEATED, attempt=attempt, sent=sent) for sent, attempt in firsts]
        for begin, breaks in ((9.0, False), (25.0, True)):
            repeats = [(begin + number, str(number)) for number in range(5)]
            self.assertEqual(entry_judge.retry_use(requests, firsts + repeats, BOUNDS)[0] > 1, breaks)


unittest.main()
