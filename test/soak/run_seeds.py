#!/usr/bin/env python3
"""Runs soaks with consecutive seeds, several in parallel, and prints a line for each.

    test/soak/run_seeds.py --build=build --first=1 --minutes=5
    test/soak/run_seeds.py --build=build --first=1 --seeds=50 --side-by-side=4
    test/soak/run_seeds.py --build=build --regressions

Exits with 0 only if every guarantee held with every seed.
"""
import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).parent
SOAK = HERE / "soak.py"
REGRESSIONS = HERE / "regressions.txt"  # Per line: a seed, its seconds, and the cause of its failure.
SECONDS = 20


def run(build, seed, seconds):
    command = [sys.executable, str(SOAK), f"--build={build}", f"--seed={seed}", f"--seconds={seconds}"]
    done = subprocess.run(command, capture_output=True, text=True)
    lines = done.stdout.strip().splitlines()
    print(lines[-1] if lines else f"seed {seed} gave no result: {done.stderr.strip()[-400:]}", flush=True)
    return done.returncode == 0 and bool(lines) and not json.loads(lines[-1])["broken"]


def regressions():
    """Returns the seeds that failed in the past, each with its seconds."""
    rows = [line.split("#", 1)[0].split() for line in REGRESSIONS.read_text().splitlines()]
    return [(int(row[0]), float(row[1])) for row in rows if row]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, help="number of seeds (default: as many as fit into --minutes)")
    parser.add_argument("--minutes", type=float, default=5)
    parser.add_argument("--seconds", type=float, default=SECONDS, help=f"duration of the faults per soak ({SECONDS})")
    parser.add_argument("--side-by-side", type=int, default=2)
    parser.add_argument("--regressions", action="store_true", help="run the seeds that failed in the past")
    args = parser.parse_args()
    end = time.monotonic() + args.minutes * 60
    rows = regressions() if args.regressions else [
        (seed, args.seconds) for seed in range(args.first, args.first + (args.seeds or 10_000))]

    def one(row):
        if not args.regressions and args.seeds is None and time.monotonic() > end:
            return None
        return run(os.path.abspath(args.build), *row)

    with concurrent.futures.ThreadPoolExecutor(args.side_by_side) as pool:
        outcomes = [outcome for outcome in pool.map(one, rows) if outcome is not None]
    print(f"{len(outcomes)} soaks, {outcomes.count(False)} broke a promise")
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
