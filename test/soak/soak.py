#!/usr/bin/env python3
"""Runs a soak test of the real programs on one machine under injected faults.

    test/soak/soak.py --build=build --seed=1 --seconds=60

Starts a stand-in of the platform's store, backend servers, and four oleanderd processes; sends calls of every kind;
and runs a series of faults and planned operations that the seed determines: signals, cut and slow connections, a store
that refuses calls or loses replies, servers that are added, removed or fail, and configuration changes. Afterwards
promises.py checks what callers and servers recorded against the guarantees. The last line is one JSON object. The
program exits with 0 only if every guarantee held. It ends only the processes that it started.
"""
import argparse
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from callers import TIMEOUT_SECONDS, Caller  # noqa: E402
from promises import PromiseChecker  # noqa: E402
from topology import GRACE_SECONDS, Topology  # noqa: E402

CALLERS = 12
CALM_SECONDS = 4  # Without faults, at the beginning.
RECOVERY_SECONDS = 12  # After the last fault, before the service is measured.
MEASURED_SECONDS = 5
MIN_SERVED_SHARE = 0.25  # Of the calls after the recovery; the documented bound.
MIN_SERVED_SHARE_IN_CALM = 0.95
MIN_SERVERS = 3


class Faults:
    """All kinds of faults and planned operations; each method runs one and returns when it is over."""

    def __init__(self, topology, rng):
        self.topology = topology
        self.ledger = topology.ledger
        self.random = rng
        self.store_lock = threading.Lock()
        self.servers_lock = threading.Lock()

    def instance(self):
        return self.random.choice(self.topology.instances)

    def stop(self, instance, _):
        with instance.lock:
            self.ledger.disturb("stop", instance.name, GRACE_SECONDS + 1)
            instance.end(signal.SIGTERM, GRACE_SECONDS)
            instance.start()

    def stop_twice(self, instance, _):
        with instance.lock:
            self.ledger.disturb("stop", instance.name, GRACE_SECONDS + 1)
            instance.ending = True
            instance.signal(signal.SIGTERM)
            time.sleep(0.3)
            instance.end(signal.SIGTERM, GRACE_SECONDS)
            instance.start()

    def kill(self, instance, _):
        with instance.lock:
            self.ledger.disturb("kill", instance.name, 1)
            instance.end(signal.SIGKILL, 2)
            instance.start()

    def kill_all(self, _, __):
        for instance in self.topology.instances:
            self.kill(instance, 0)

    def pause(self, instance, seconds):
        with instance.lock:
            self.ledger.disturb("pause", instance.name, seconds)
            instance.signal(signal.SIGSTOP)
            time.sleep(seconds)
            instance.signal(signal.SIGCONT)

    def reload(self, instance, seconds):
        with instance.lock:
            self.ledger.disturb("reload", instance.name, 1)
            instance.write_settings("debug" if seconds < 2 else "info")
            instance.signal(signal.SIGHUP)

    def reload_bad_file(self, instance, _):
        with instance.lock:
            self.ledger.disturb("reload", instance.name, 1)
            with open(instance.settings_file, "w", encoding="utf-8") as stream:
                stream.write("{ \"deployment\": ")
            instance.signal(signal.SIGHUP)
            time.sleep(0.5)
            instance.write_settings("info")

    def cut_store(self, instance, seconds):
        link = instance.store_link
        self.ledger.disturb("cut_store", instance.name, seconds)
        link.mode = self.random.choice(("silent", "reset", "one_way"))
        time.sleep(seconds)
        link.mode = "open"

    def store_fails(self, _, seconds):
        store = self.topology.store
        with self.store_lock:
            self.ledger.disturb("store", "", seconds)
            store.mode = self.random.choice(("refuse", "limit", "slow", "lost", "silent"))
            time.sleep(seconds)
            store.mode = "up"

    def store_forgets(self, _, __):
        self.topology.store.compact()

    def store_older_copy(self, _, seconds):
        """The store is unavailable for a moment and returns with its content of some seconds before."""
        topology = self.topology
        with self.store_lock, self.servers_lock:
            snapshot = topology.store.snapshot()
            time.sleep(seconds)
            self.ledger.disturb("store", "", 3)
            topology.store.mode = self.random.choice(("refuse", "silent"))
            time.sleep(0.4)
            topology.store.restore(snapshot)
            topology.store.mode = "up"
            time.sleep(self.random.uniform(0.1, 1))
            topology.rewrite_after_restore()

    def duties_fail(self, _, seconds):
        self.ledger.disturb("duties", "", seconds)
        self.topology.duties.mode = "down"
        time.sleep(seconds)
        self.topology.duties.mode = "up"

    def server_fails(self, _, seconds):
        name = self.random.choice(list(self.topology.servers))
        fault = self.random.choice(("fail", "lost", "cut", "extra", "full", "stall"))
        self.ledger.disturb("server", name, seconds)
        self.topology.servers[name].faults = {fault: self.random.uniform(0.1, 0.9)}
        time.sleep(seconds)
        if name in self.topology.servers:
            self.topology.servers[name].faults = {}

    def server_unreachable(self, _, seconds):
        name = self.random.choice(list(self.topology.links))
        self.ledger.disturb("server", name, seconds)
        link = self.topology.links[name]
        link.delay = self.random.uniform(0.02, 0.2)
        link.mode = self.random.choice(("silent", "reset", "one_way", "delay"))
        time.sleep(seconds)
        link.mode = "open"

    def server_leaves(self, _, __):
        with self.servers_lock:
            name = next(iter(self.topology.servers))
            self.topology.add_server()
            self.topology.drop_server(name, announced=self.random.random() < 0.7)
            time.sleep(4)
            self.ledger.disturb("server", name, 1)
            self.topology.end_server(name)

    def server_crashes(self, _, __):
        with self.servers_lock:
            if len(self.topology.servers) <= MIN_SERVERS:
                return
            name = self.random.choice(list(self.topology.servers))
            self.ledger.disturb("server", name, 10)
            self.topology.links[name].mode = "reset"
            time.sleep(3)
            self.topology.end_server(name)
            self.topology.add_server()

    def key_goes(self, _, __):
        topology = self.topology
        if len(topology.keys) <= 2:
            topology.add_key()
        topology.add_key()
        topology.write_config()
        time.sleep(1)
        key = self.random.choice(topology.keys[:-1])
        # A quarter of the callers continue to use the revoked key (see CurrentAndStaleKeys).
        topology.revoke_key(key)
        with topology.ledger.lock:
            topology.stale_keys.append(key)

    def config_changes(self, _, __):
        topology = self.topology
        for _ in range(self.random.randint(1, 4)):
            topology.routes.append(dict(topology.route("once"), name=f"more-{topology.version}",
                                        path_prefix=f"/more-{topology.version}/"))
            topology.write_config()
            time.sleep(self.random.uniform(0.05, 0.5))


KINDS = ("stop", "stop_twice", "kill", "kill_all", "pause", "reload", "reload_bad_file", "cut_store", "store_fails",
         "store_forgets", "store_older_copy", "duties_fail", "server_fails", "server_unreachable", "server_leaves", "server_crashes",
         "key_goes", "config_changes")


def timeline(seed, seconds):
    """Returns rows (second, kind, instance number, seconds) that depend only on the seed; they may overlap."""
    rng = random.Random(seed)
    rows, at = [], float(CALM_SECONDS)
    while at < CALM_SECONDS + seconds:
        rows.append((round(at, 2), rng.choice(KINDS), rng.randrange(4), round(rng.uniform(0.3, 5), 2)))
        at += rng.expovariate(1 / 1.5)
    return rows


def run_timeline(topology, rows, rng):
    """Starts each fault at its time and waits until all are over."""
    faults = Faults(topology, rng)
    begin, threads = time.monotonic(), []
    for at, kind, number, length in rows:
        time.sleep(max(0.0, begin + at - time.monotonic()))
        for instance in topology.instances:
            instance.check()
        thread = threading.Thread(target=getattr(faults, kind), args=(topology.instances[number], length), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def soak(arguments, folder):
    topology = Topology(folder, os.path.join(arguments.build, "oleanderd"), arguments.seed)
    topology.stale_keys = []
    rows = timeline(arguments.seed, arguments.seconds)
    begin = time.monotonic()
    try:
        topology.start()
        callers = [Caller(number, topology, topology.ledger,
                          topology.keys if number % 4 else CurrentAndStaleKeys(topology), arguments.seed)
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        calls_begin = time.monotonic()
        run_timeline(topology, rows, random.Random(arguments.seed + 1))
        time.sleep(RECOVERY_SECONDS)
        for instance in topology.instances:
            instance.check()
        measured_from = time.monotonic()
        time.sleep(MEASURED_SECONDS)
        measured_until = time.monotonic()
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.join(TIMEOUT_SECONDS + 3)
    finally:
        topology.stop()
    checker = PromiseChecker(topology.ledger, TIMEOUT_SECONDS)
    broken = checker.broken()
    calm = checker.served_share(calls_begin + 0.5, calls_begin + CALM_SECONDS - 0.5)
    recovered = checker.served_share(measured_from, measured_until)
    if calm < MIN_SERVED_SHARE_IN_CALM:
        broken["served_in_calm"] = [f"{calm:.2f}"]
    if recovered < MIN_SERVED_SHARE:
        broken["served_after_recovery"] = [f"{recovered:.2f}"]
    return {"seed": arguments.seed, "seconds": round(time.monotonic() - begin), "faults": len(rows),
            "calls": len(topology.ledger.calls), "runs": len(topology.ledger.runs),
            "usage_reports": sum(len(reports) for reports in topology.ledger.usage.values()),
            "served_in_calm": round(calm, 3), "served_after_recovery": round(recovered, 3),
            "broken": {name: cases[:5] for name, cases in broken.items()}}


class CurrentAndStaleKeys:
    """The valid and the revoked credentials, for callers that did not receive the revocation."""

    def __init__(self, topology):
        self.topology = topology

    def _all(self):
        return self.topology.keys + self.topology.stale_keys

    def __len__(self):
        return len(self._all())

    def __getitem__(self, index):
        return self._all()[index]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30, help="duration of the faults (30)")
    parser.add_argument("--keep", help="folder for settings and logs (default: a temporary one)")
    parser.add_argument("--timeline", action="store_true", help="print the faults of the seed and run nothing")
    arguments = parser.parse_args()
    if arguments.timeline:
        for row in timeline(arguments.seed, arguments.seconds):
            print(*row)
        return 0
    arguments.build = os.path.abspath(arguments.build)
    if arguments.keep:
        os.makedirs(arguments.keep, exist_ok=True)
        result = soak(arguments, arguments.keep)
    else:
        with tempfile.TemporaryDirectory(prefix="oleander-soak-") as folder:
            result = soak(arguments, folder)
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
