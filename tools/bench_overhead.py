#!/usr/bin/env python3
"""Measures the overhead of oleanderd in front of a stand-in engine that answers at once.

  tools/bench_overhead.py --build=DIR [--seed=N] [--seconds=S] [--rates=100,400,800] [--streams=1000]

For each rate, the load tool first calls the engine directly and then through
one oleanderd, which replicates each request to a peer. Prints a row per rate,
then one JSON object as its last line: added first-token latency, requests and
tokens per second of processor time of the oleanderd that the callers use, and
its resident memory per 1,000 open streams. No bounds are checked, because the
figures depend on the machine and its load.
"""

import argparse
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from experiment_run import Fleet, Operator
from experiment_topology import AddressBlock, Topology

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
TOKENS = 16
LOAD_MARGIN_SECONDS = 90
PROFILE = {"file": "etc/tortared/profiles/designs.jsonc",
           # High latency targets: the streams of the memory run are slow on purpose and must not be refused for it.
           "set": {"latency": {"first_token_ms": 60000, "between_tokens_ms": 5000, "deadline_ms": 0},
                   "capacity": {"min_servers": 1, "max_servers": 1, "survive_domain_loss": False},
                   "workspaces": {"max_in_flight": 0},
                   "durability": {"max_requests": 0, "max_bytes": 0}}}


def spec_of(token_us):
    return {
        "service": "designs", "desk_service": "order-desk", "log_level": "warning",
        "domains": [{"region": "santiago", "domain": "stgo-a", "entries": 2, "engines": 1, "desks": 0}],
        "engine_flags": {"slots": 20000, "token_us": token_us, "prefill_us": 0},
        "platform_flags": {"list_lag_ms": 0},
    }


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as stream:
        return int(stream.read().split()[1]) * PAGE


class Bench:
    """A fleet of one platform stand-in, two entry instances and one engine."""

    def __init__(self, arguments, token_us, block):
        self.arguments = arguments
        self.folder = tempfile.mkdtemp(prefix="oleander-bench-")
        build = os.path.abspath(arguments.build)
        self.load_program = os.path.join(build, "oleander_load")
        self.topology = Topology(spec_of(token_us), AddressBlock(block), build, self.folder, arguments.seed)
        self.fleet = Fleet(self.topology, self.folder)
        self.entry = self.topology.of_kind("entry")[0]
        self.engine = self.topology.of_kind("engine")[0]
        self.load = None

    def __enter__(self):
        self.fleet.start_all()
        entries = self.topology.of_kind("entry")
        self.fleet.wait_until_ok(entries, "/healthz")
        operator = Operator(self.fleet, ROOT)
        document = operator.load(PROFILE)
        end = time.monotonic() + 10
        status = operator.put(self.entry, document)
        while status != 200 and time.monotonic() < end:
            time.sleep(0.2)
            status = operator.put(self.entry, document)
        if status != 200:
            raise RuntimeError(f"The profile was not accepted: status {status}.")
        self.fleet.wait_until_ok(entries, "/readyz")
        time.sleep(2)
        return self

    def __exit__(self, *_):
        if self.load is not None and self.load.poll() is None:
            self.load.kill()
            self.load.wait()
        self.fleet.stop_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def pid(self):
        return self.fleet.running[self.entry.name].pid

    def start_load(self, target, direct, rate, seconds, tokens):
        workload = {
            "seed": self.arguments.seed, "direct": direct,
            "entries": [{"address": target.address, "port": target.port}],
            "phases": [{"until_ms": int(seconds * 1000), "per_s": rate}],
            "workspaces": [{"name": "bench", "weight": 1}],
            "mix": {"chat_stream": 1},
            "chat": {"service": "designs", "model": "cake-designer",
                     "tokens_min": tokens, "tokens_max": tokens, "prompt_words": 40},
        }
        path = os.path.join(self.folder, "workload.json")
        with open(path, "w", encoding="utf-8") as stream:
            json.dump(workload, stream)
        self.load = subprocess.Popen([self.load_program, f"--workload={path}"], stdout=subprocess.PIPE,
                                     stderr=subprocess.DEVNULL, text=True)

    def end_load(self, seconds):
        out, _ = self.load.communicate(timeout=seconds + LOAD_MARGIN_SECONDS)
        return json.loads(out.splitlines()[-1])

    def measure(self, rate):
        seconds = self.arguments.seconds
        self.start_load(self.engine, True, rate, seconds, TOKENS)
        direct = self.end_load(seconds)
        before = cpu_seconds(self.pid())
        self.start_load(self.entry, False, rate, seconds, TOKENS)
        proxied = self.end_load(seconds)
        used = max(cpu_seconds(self.pid()) - before, 1 / TICKS)
        return {
            "per_s": rate, "answered": proxied["answered"], "refused": proxied["refused"], "lost": proxied["lost"],
            "added_p50_ms": proxied["ttft_p50_ms"] - direct["ttft_p50_ms"],
            "added_p99_ms": proxied["ttft_p99_ms"] - direct["ttft_p99_ms"],
            "core_share": used / seconds,
            "requests_per_core_s": proxied["answered"] / used,
            "tokens_per_core_s": proxied["tokens"] / used,
        }

    def measure_memory(self, streams):
        """Opens `streams` streams within ten seconds and samples the memory while all are open."""
        before = resident_bytes(self.pid())
        self.start_load(self.entry, False, streams / 10, 10, 100)
        time.sleep(13)
        grown = resident_bytes(self.pid()) - before
        figures = self.end_load(60)
        accepted = figures["accepted"]
        return {"streams": streams, "accepted": accepted, "answered": figures["answered"],
                "refused": figures["refused"], "unknown": figures["unknown"], "lost": figures["lost"],
                "mb_per_1000_streams": grown / 1e6 * 1000 / max(accepted, 1), "resident_before_mb": before / 1e6}


def next_block(block):
    """Returns the address block after `block`; the addresses of a fleet that just ended are not free at once."""
    if block is None:
        return None
    first, second, third = block.split(".")
    return f"{first}.{second}.{int(third) + 1}"


def interrupt(*_):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rates", default="100,400,800")
    parser.add_argument("--streams", type=int, default=1000)
    parser.add_argument("--block", help="first three numbers of the addresses, such as 127.11.1")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, interrupt)
    rows = []
    print(f"{'req/s':>8}{'answered':>10}{'refused':>9}{'lost':>6}{'added p50 ms':>14}{'added p99 ms':>14}"
          f"{'core':>7}{'req/core s':>12}{'tok/core s':>12}", flush=True)
    with Bench(arguments, 0, arguments.block) as bench:
        for rate in (float(text) for text in arguments.rates.split(",")):
            row = bench.measure(rate)
            rows.append(row)
            print(f"{rate:>8.0f}{row['answered']:>10}{row['refused']:>9}{row['lost']:>6}"
                  f"{row['added_p50_ms']:>14.2f}{row['added_p99_ms']:>14.2f}{row['core_share']:>7.2f}"
                  f"{row['requests_per_core_s']:>12.0f}{row['tokens_per_core_s']:>12.0f}", flush=True)
    memory = {}
    if arguments.streams > 0:
        with Bench(arguments, 200000, next_block(arguments.block)) as bench:
            memory = bench.measure_memory(arguments.streams)
        print(f"{memory['mb_per_1000_streams']:.1f} MB per 1,000 open streams", flush=True)
    print(json.dumps({"bench": "overhead", "seed": arguments.seed, "rates": rows, "memory": memory}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
