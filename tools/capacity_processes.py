#!/usr/bin/env python3
"""Measures the resource use of idle oleanderd processes on loopback, for several numbers of instances.

Starts a stand-in platform and N entry instances (no backend servers), waits for a warm-up time in which they find each
other, and prints for each size the mean processor share, resident memory, mesh traffic and store calls per instance.
Ends every process that it started.
"""

import argparse
import collections
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from experiment_run import OPERATOR_TOKEN, call  # noqa: E402
from experiment_topology import OPERATOR_PORT, AddressBlock, Topology  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
SAMPLE = re.compile(r"^(oleander_\w+)(?:\{([^}]*)\})? ([0-9.eE+-]+)$", re.M)


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="utf-8") as stream:
        return int(stream.read().split()[1]) * PAGE


def counters(server):
    """Returns all samples of the server's metrics page, keyed by name and labels."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    _, _, page = call(server.address, OPERATOR_PORT, "GET", "/metrics", headers=headers)
    samples = collections.Counter()
    for name, labels, value in SAMPLE.findall(page if isinstance(page, str) else ""):
        samples[f"{name}{{{labels}}}"] = float(value)
    return samples


def spec_of(instances, domains):
    rows = [{"region": f"region-{i % 3}", "domain": f"domain-{i}", "entries": instances // domains
             + (1 if i < instances % domains else 0)} for i in range(domains)]
    return {"domains": rows, "log_level": "warning"}


def measure(instances, args, folder):
    block = AddressBlock(args.block)
    domains = 9 if instances >= 72 else 2
    topology = Topology(spec_of(instances, domains), block, args.build, folder, args.seed)
    processes = {}
    try:
        for kind in ("platform", "entry"):
            for server in topology.of_kind(kind):
                with open(os.path.join(folder, f"{server.name}.log"), "ab") as log:
                    processes[server.name] = subprocess.Popen(server.argv, stdout=log, stderr=log,
                                                              stdin=subprocess.DEVNULL)
            time.sleep(1)
        time.sleep(args.warm_up)
        entries = topology.of_kind("entry")
        pids = [processes[s.name].pid for s in entries]
        before = [processor_seconds(pid) for pid in pids]
        first = [counters(s) for s in entries]
        time.sleep(args.seconds)
        last = [counters(s) for s in entries]
        used = [processor_seconds(pid) - b for pid, b in zip(pids, before)]
        print(f"{instances} instances, {domains} domains, {args.seconds} s")
        print(f"  processor {100 * statistics.mean(used) / args.seconds:.2f}% of a core, most "
              f"{100 * max(used) / args.seconds:.2f}%")
        print(f"  memory    {statistics.mean(resident_bytes(p) for p in pids) / 2**20:.1f} MB resident")
        totals = collections.Counter()
        for a, b in zip(first, last):
            for key, value in b.items():
                if "mesh" in key or "store_calls" in key:
                    totals[key] += value - a[key]
        for key, value in sorted(totals.items()):
            if value > 0:
                print(f"  {key:<64} {value / args.seconds / instances:9.2f} /s per instance")
        sys.stdout.flush()
    finally:
        for process in processes.values():
            process.send_signal(signal.SIGKILL)
        for process in processes.values():
            process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--block", help="first three numbers of the addresses, such as 127.14.1")
    parser.add_argument("--sizes", default="8,24,72")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--warm_up", type=int, default=15)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    args.build = os.path.abspath(args.build)
    for size in (int(text) for text in args.sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            measure(size, args, folder)


if __name__ == "__main__":
    main()
