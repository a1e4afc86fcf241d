"""The promises of entry_promises.py, judged from what the clients saw and what the servers recorded."""
import bisect
import collections

PROMISES = (408, 421, 429, 503)  # "The request has not run and never will."

# What a client saw of one attempt. `route` is one of entry_promises.ROUTES; `status` is 0 without an answer.
Request = collections.namedtuple("Request", "attempt route sent status served")


def last_answers(requests):
    """A client that sends an id again takes no promise from the answers before."""
    return {request.attempt: request for request in requests}.values()


def refused(requests, runs):
    return [f"REFUSED: request {request.attempt} got {request.status} and ran: {runs[request.attempt]}"
            for request in last_answers(requests)
            if not request.route.repeats and request.status in PROMISES and runs.get(request.attempt)]


def twice(requests, runs):
    return [f"TWICE: request {request.attempt} ran: {runs[request.attempt]}" for request in requests
            if not request.route.repeats and len(runs.get(request.attempt, [])) > 1]


def too_many_servers(requests, runs):
    """No server of this rig ends, so each one counts."""
    return [f"BUDGET: request {request.attempt} of {request.route.prefix} ran: {runs[request.attempt]}"
            for request in requests
            if len({server for _, server in runs.get(request.attempt, [])}) > request.route.max_attempts]


def repeated_arrivals(requests, arrivals):
    """The seconds, in order, of the arrivals of each id beyond as many as clients sent it."""
    sent, seen, seconds = collections.Counter(each.attempt for each in requests), collections.Counter(), []
    for second, attempt in sorted(arrivals):
        seen[attempt] += 1
        if seen[attempt] > max(1, sent[attempt]):
            seconds.append(second)
    return seconds


def retry_use(requests, arrivals, bounds):
    """Returns (repeats / allowed, its text) of the window in which most of the budget is used."""
    window, repeats = bounds["retry_window_s"], repeated_arrivals(requests, arrivals)
    sent = sorted(each.sent for each in requests)

    def within(seconds, begin):
        return bisect.bisect_right(seconds, begin + window) - bisect.bisect_left(seconds, begin)

    worst = (0.0, "no request was repeated")
    for begin in repeats + [second - window for second in repeats]:
        asked = max(within(sent, begin - earlier) for earlier in (0, window / 2, window))
        allowed = bounds["retry_ratio"] * asked + bounds["retry_slack"]
        count = within(repeats, begin)
        worst = max(worst, (count / allowed, f"{count} repeats, allowed {allowed:.0f}, from {begin:.1f} s on"))
    return worst


def broken_promises(requests, runs, arrivals, bounds):
    use, text = retry_use(requests, arrivals, bounds)
    return refused(requests, runs) + twice(requests, runs) + too_many_servers(requests, runs) + (
        [f"BUDGET: {text}"] if use > 1 else [])
