#!/usr/bin/env python3
"""Runs one experiment with real processes on loopback addresses.

  tools/experiment.py NAME --seed=N --build=DIR [--demo] [--block=127.a.b] [--keep]

Reads experiments/NAME.jsonc, starts the processes, sends load with
oleander_load, runs the fault timeline, ends every process that it started, and
prints one JSON object as its last line. Exits with 0 only if every bound holds.
docs/operators/experiments.md describes the files and the figures.
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

from experiment_judge import broken_bounds, figures_of
from experiment_run import Fleet, Operator, ProfileMonitor, Timeline
from experiment_topology import AddressBlock, Topology, merge, read_jsonc

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LOAD_MARGIN_SECONDS = 120
TABLE_FIRST = ["accepted", "answered", "lost", "wrong_answer", "doubled", "not_run_but_ran", "refused",
               "recomputed_tokens", "cost", "ttft_p50_ms", "ttft_p95_ms", "itl_p95_ms", "goodput"]


def print_line(text):
    print(text, flush=True)


def read_spec(name):
    """Reads an experiment; fields that it lacks come from the file named by its "base" field."""
    spec = read_jsonc(os.path.join(ROOT, "experiments", f"{name}.jsonc"))
    base = spec.pop("base", None)
    return merge(read_spec(base), spec) if base else spec


class Experiment:
    def __init__(self, arguments):
        self.arguments = arguments
        self.spec = read_spec(arguments.name)
        self.folder = tempfile.mkdtemp(prefix=f"oleander-{arguments.name}-")
        build = os.path.abspath(arguments.build)
        self.load_program = os.path.join(build, "oleander_load")
        self.topology = Topology(self.spec["topology"], AddressBlock(arguments.block), build, self.folder, arguments.seed)
        self.fleet = Fleet(self.topology, self.folder)
        self.operator = Operator(self.fleet, ROOT)
        self.monitor = ProfileMonitor(self.fleet, self.operator)
        self.load = None

    def apply_profiles(self):
        entry = self.topology.of_kind("entry")[0]
        for row in self.spec["profiles"]:
            document = self.operator.load(row)
            end = time.monotonic() + 10
            status = self.operator.put(entry, document)
            while status != 200 and time.monotonic() < end:
                time.sleep(0.2)
                status = self.operator.put(entry, document)
            if status != 200:
                raise RuntimeError(f"The profile {document['name']} was not accepted: status {status}.")

    def write_workload(self):
        workload = dict(self.spec["workload"], seed=self.arguments.seed)
        entries = self.topology.of_kind("entry")
        workload["entries"] = [{"address": s.address, "port": s.port} for s in entries]
        path = os.path.join(self.folder, "workload.json")
        with open(path, "w", encoding="utf-8") as stream:
            json.dump(workload, stream, indent=1)
        return path

    def start_load(self):
        argv = [self.load_program, f"--workload={self.write_workload()}",
                f"--results={os.path.join(self.folder, 'results.json')}"]
        if self.arguments.plot:
            argv.append(f"--plot={self.arguments.plot}")
        with open(os.path.join(self.folder, "load.out"), "wb") as out, \
                open(os.path.join(self.folder, "load.log"), "wb") as log:
            self.load = subprocess.Popen(argv, stdout=out, stderr=log)

    def run_load(self):
        timeline = Timeline(self.spec.get("timeline", []), self.fleet, self.operator, self.monitor,
                            self.arguments.seed, print_line)
        self.start_load()
        start = time.monotonic()
        last_progress = 0
        limit = self.spec["workload"]["phases"][-1]["until_ms"] / 1000 + LOAD_MARGIN_SECONDS
        while self.load.poll() is None or timeline.steps:
            now = time.monotonic() - start
            for _, row in timeline.steps:
                row["now"] = now
            wait = timeline.run_due(now)
            self.fleet.check_crashes()
            if now - last_progress >= 5:
                last_progress = now
                print_line(f"{now:6.1f} s  running")
            if now > limit:
                raise RuntimeError("oleander_load did not end in time.")
            time.sleep(max(0.001, min(wait, 0.05)))
        timeline.join()
        time.sleep(self.spec.get("settle_ms", 300) / 1000)
        self.fleet.check_crashes()

    def evaluate(self):
        with open(os.path.join(self.folder, "load.out"), encoding="utf-8") as stream:
            lines = stream.read().splitlines()
        with open(os.path.join(self.folder, "results.json"), encoding="utf-8") as stream:
            results = json.load(stream)
        print_line("\n" + "\n".join(lines[:-1]))
        figures = figures_of(self.fleet, json.loads(lines[-1]), results, self.monitor, self.operator)
        bad = [r for r in results if r["outcome"] in ("lost", "wrong", "open")]
        for row in bad[:10]:
            print_line(f"  {row['outcome']}: {row['kind']} {row['request']} {row['detail']}")
        return figures, broken_bounds(figures, self.spec.get("bounds", {}))

    def run(self):
        print_line(f"{self.arguments.name}: {self.spec['what']}")
        print_line(f"  seed {self.arguments.seed}, addresses {self.topology.block.base}.*, "
            f"{len(self.topology.servers)} processes, files in {self.folder}")
        self.fleet.start_all()
        entries = self.topology.of_kind("entry")
        self.fleet.wait_until_ok(entries, "/healthz")
        self.apply_profiles()
        self.fleet.wait_until_ok(entries, "/readyz")
        time.sleep(self.spec.get("warm_ms", 500) / 1000)
        self.monitor.start()
        self.run_load()
        self.monitor.stop()
        self.fleet.collect_records()
        with open(os.path.join(self.folder, "records.json"), "w", encoding="utf-8") as stream:
            json.dump(self.fleet.records, stream)
        return self.evaluate()

    def end(self, keep):
        if self.load is not None and self.load.poll() is None:
            self.load.kill()
            self.load.wait()
        self.fleet.stop_all()
        if keep:
            print_line(f"  files kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def print_table(figures):
    names = TABLE_FIRST + sorted(set(figures) - set(TABLE_FIRST))
    for name in names:
        value = figures.get(name)
        if isinstance(value, (int, float)):
            print_line(f"  {name:<28} {value:>12.1f}" if isinstance(value, float) else f"  {name:<28} {value:>12}")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--demo", action="store_true", help="name the page that explains the figures")
    parser.add_argument("--block", help="first three numbers of the addresses, such as 127.12.1")
    parser.add_argument("--keep", action="store_true", help="keep logs and settings")
    parser.add_argument("--plot", help="SVG file for latency and figures over time")
    return parser.parse_args()


def interrupt(*_):
    raise KeyboardInterrupt


def main():
    arguments = parse_arguments()
    signal.signal(signal.SIGTERM, interrupt)
    experiment = Experiment(arguments)
    figures, broken = {}, ["the run did not end"]
    try:
        figures, broken = experiment.run()
    except KeyboardInterrupt:
        broken = ["interrupted"]
    except Exception as error:  # The result line must be printed in every case.
        broken = [f"{type(error).__name__}: {error}"]
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        experiment.end(keep=arguments.keep or bool(broken))
    if figures:
        print_table(figures)
    for sentence in broken:
        print_line(f"  BROKEN: {sentence}")
    if arguments.demo:
        print_line("  docs/operators/experiments.md explains the figures.")
    verdict = {"experiment": arguments.name, "seed": arguments.seed, "holds": not broken, "broken": broken}
    print_line(json.dumps({**verdict, **figures}))
    return 0 if not broken else 1


if __name__ == "__main__":
    sys.exit(main())
