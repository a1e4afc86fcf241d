"""Computes the figures of a run from the stand-ins' records and the load's results, and checks the bounds."""

import collections
import json
import re

TOKENS_PER_BLOCK = 64


def all_records(fleet, kind):
    """Returns the records of all stand-ins of one kind, one set for each run of a process."""
    names = [s.name for s in fleet.topology.of_kind(kind)]
    return [records for name in names for records in fleet.records.get(name, [])]


def runs_by_marker(fleet):
    """Returns how often each deposit ran, keyed by the marker in its body."""
    counts = collections.Counter()
    for records in all_records(fleet, "desk"):
        for run in records["runs"]:
            try:
                counts[json.loads(run["body"]).get("note", run["body"])] += 1
            except ValueError:
                counts[run["body"]] += 1
    return counts


def attempts_by_prompt(fleet):
    attempts = collections.defaultdict(list)
    for records in all_records(fleet, "engine"):
        for attempt in records["attempts"]:
            attempts[attempt["prompt"]].append(attempt)
    return attempts


def recomputed_tokens(fleet, attempts):
    """Returns the number of tokens that were computed more than once, by cause."""
    resumed = sum(a["recomputed"] for group in attempts.values() for a in group)
    blocks = collections.Counter()
    for records in all_records(fleet, "engine"):
        for block, times in records["blocks_prefilled"].items():
            blocks[block] += times
    prefix = TOKENS_PER_BLOCK * sum(times - 1 for times in blocks.values())
    generated = 0
    for group in attempts.values():
        made = sum(a["made"] for a in group)
        distinct = set()
        for a in group:
            distinct.update(range(a["from"], a["from"] + a["made"]))
        generated += made - len(distinct)
    return {"recomputed_resume": resumed, "recomputed_prefix": prefix, "recomputed_generated": generated,
            "recomputed_tokens": resumed + prefix + generated}


def check_deposits(results, runs):
    """Returns the figures that compare the results of deposits with their runs at the desks."""
    refused_as_not_run = [r["marker"] for r in results if r["marker"] and r["outcome"] == "refused"]
    answered = [r["marker"] for r in results if r["marker"] and r["outcome"] == "answered"]
    return {"doubled": sum(max(0, times - 1) for times in runs.values()),
            "not_run_but_ran": sum(1 for marker in refused_as_not_run if runs[marker] > 0),
            "answered_not_run": sum(1 for marker in answered if runs[marker] == 0),
            "deposits_run": sum(runs.values())}


def share(part, whole):
    return len(part) / len(whole) if whole else 1.0


def result_figures(results):
    """Returns the figures that need the result of each call."""
    answered = [r for r in results if r["outcome"] == "answered"]
    refused = [r for r in results if r["outcome"] == "refused"]
    accepted = [r for r in results if r["accepted"]]

    def answered_share(kinds):
        return share([r for r in answered if r["kind"] in kinds], [r for r in results if r["kind"] in kinds])

    return {"answered_chats_share": answered_share(("chat_stream", "chat_whole", "long_review")),
            "answered_plain_share": answered_share(("deposit_without_key",)),
            "answered_share_of_accepted": share([r for r in accepted if r["outcome"] == "answered"], accepted),
            "refused_without_retry_after": sum(1 for r in refused if r["retry_after_ms"] < 0)}


def lost_changes(fleet, operator):
    """Counts accepted profile changes that the store lacks, and those accepted on the same base as another."""
    written = set()
    for records in all_records(fleet, "platform"):
        written.update(tuple(row) for row in records["writes"])
    missing = sum(1 for c in operator.accepted
                  if not any(revision == c.revision and key.endswith("/" + c.profile) for key, revision in written))
    bases = collections.Counter((c.profile, c.base) for c in operator.accepted if c.base is not None)
    return missing + sum(times - 1 for times in bases.values())


def new_work_after_leaving(fleet):
    """Returns the latest arrival of new work at a leaving server, in ms after it began to leave."""
    latest = 0
    for records in all_records(fleet, "engine"):
        since = records["leaving_since_ms"]
        if since >= 0:
            late = [a["arrived_ms"] - since for a in records["attempts"] if a["arrived_ms"] > since]
            latest = max([latest] + late)
    for records in all_records(fleet, "desk"):
        latest = max(latest, records["last_new_work_after_leaving_ms"])
    return latest


def order_figures(fleet):
    orders = [order for records in all_records(fleet, "engine") for order in records["orders"]]
    return {"orders": len(orders), "stale_orders": sum(1 for order in orders if order["stale"])}


def platform_figures(fleet):
    records = all_records(fleet, "platform")[-1]
    return {"cost": round(records["cost"], 3), "kv_over_limit": records["over_limit"],
            "kv_reads_peak_per_s": records["reads_peak_per_s"], "kv_writes_peak_per_s": records["writes_peak_per_s"],
            "kv_lost_answers": records["lost_answers"], "kv_stale_answers": records["stale_answers"],
            "starts": records["starts"], "repeated_starts": records["repeated_starts"],
            "refused_starts": records["refused_starts"], "weights_peak": records["weights_peak"]}


def link_figures(fleet):
    links = all_records(fleet, "link")
    return {"link_bytes": sum(r["bytes"] for r in links), "link_lost_bytes": sum(r["lost_bytes"] for r in links)}


def log_figures(fleet):
    """Counts the failed invariants that the entry instances logged, and the crashed processes."""
    failures = 0
    for server in fleet.topology.of_kind("entry"):
        with open(f"{fleet.folder}/{server.name}.log", encoding="utf-8", errors="replace") as stream:
            failures += sum(1 for line in stream if re.search(r"\binvariant", line))
    return {"invariant_failures": failures, "crashed": len(fleet.crashed)}


def latency_of(change, samples, unreachable):
    """Returns the seconds from a change until the instance uses it, without the time in which it was unreachable.

    None: the instance stayed unreachable. Infinity: it never used the change.
    """
    seen = next((t for t, rows in samples
                 if t >= change.at and rows.get(change.profile, 0) >= change.revision), None)
    start = change.at
    for begin, end in unreachable:
        if end is None and (seen is None or begin < seen):
            return None  # unreachable until the end
        if end is not None and begin < (seen or float("inf")) and end > start:
            start = max(start, end)
    if seen is None:
        return float("inf")
    return max(0.0, seen - start)


def profile_figures(monitor, operator):
    latencies = []
    regressed_samples = 0
    behind_at_end = 0
    newest = {}
    for change in operator.accepted:
        newest[change.profile] = max(newest.get(change.profile, 0), change.revision)
    for name, samples in monitor.samples.items():
        unreachable = monitor.unreachable[name]
        for change in operator.accepted:
            latency = latency_of(change, samples, unreachable)
            if latency is not None:
                latencies.append(latency)
        highest = {}
        for _, rows in samples:
            for profile, revision in rows.items():
                regressed_samples += revision < highest.get(profile, 0)
                highest[profile] = max(revision, highest.get(profile, 0))
        unreachable_at_end = bool(unreachable) and unreachable[-1][1] is None
        if samples and not unreachable_at_end:
            behind_at_end += any(samples[-1][1].get(p, 0) < r for p, r in newest.items())
    latencies.sort()

    def percentile(fraction):
        return round(1000 * latencies[min(len(latencies) - 1, int(fraction * len(latencies)))], 1) if latencies else 0

    return {"changes": len(operator.accepted), "change_conflicts": operator.conflicts,
            "changes_refused": operator.refused, "changes_doubtful": operator.outcome_unknown,
            "in_force_p50_ms": percentile(0.5), "in_force_p99_ms": percentile(0.99), "in_force_max_ms": percentile(1.0),
            "revisions_back": regressed_samples, "behind_at_end": behind_at_end}


def figures_of(fleet, load_figures, results, monitor, operator):
    """Returns all figures of a run, beginning with those that the load reports."""
    attempts = attempts_by_prompt(fleet)
    runs = runs_by_marker(fleet)
    deposits = check_deposits(results, runs)
    refused_as_not_run = [r["prompt"] for r in results if r["prompt"] and r["outcome"] == "refused"]
    figures = dict(load_figures)
    figures.update(deposits)
    figures["not_run_but_ran"] += sum(1 for prompt in refused_as_not_run if attempts.get(prompt))
    figures["wrong_answer"] += figures.pop("answered_not_run")
    figures["doubled"] = max(figures["doubled"], figures.pop("ran_twice_seen"))
    figures["attempts"] = sum(len(group) for group in attempts.values())
    figures["new_work_after_leaving_ms"] = new_work_after_leaving(fleet)
    for workspace, count in figures.pop("refused_by_workspace").items():
        figures[f"refused_{workspace}"] = count
    figures["accepted_changes_lost"] = lost_changes(fleet, operator)
    for part in (result_figures(results), recomputed_tokens(fleet, attempts), order_figures(fleet), platform_figures(fleet),
                 link_figures(fleet), log_figures(fleet), profile_figures(monitor, operator)):
        figures.update(part)
    return figures


ALWAYS_CHECKED = {"lost": 0, "wrong_answer": 0, "doubled": 0, "not_run_but_ran": 0, "stale_reads": 0,
          "invariant_failures": 0, "crashed": 0, "kv_over_limit": 0, "revisions_back": 0}


def broken_bounds(figures, bounds):
    """Returns a sentence for each bound that the figures break."""
    broken = []
    for name, bound in {**ALWAYS_CHECKED, **bounds}.items():
        rule = bound if isinstance(bound, dict) else {"max": bound}
        value = figures.get(name)
        if value is None:
            broken.append(f"{name} was not measured")
            continue
        if "max" in rule and value > rule["max"]:
            broken.append(f"{name} is {value}, at most {rule['max']}")
        if "min" in rule and value < rule["min"]:
            broken.append(f"{name} is {value}, at least {rule['min']}")
    return broken
