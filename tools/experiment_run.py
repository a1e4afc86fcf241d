"""Starts and ends the processes of one experiment and injects faults into them."""

import collections
import http.client
import json
import os
import random
import signal
import subprocess
import threading
import time

from experiment_topology import OPERATOR_PORT, OPERATOR_TOKEN, merge, read_jsonc

START_SECONDS = 15
STOP_SECONDS = 5
POLL_SECONDS = 0.1
SIGNALS = {"term": signal.SIGTERM, "kill": signal.SIGKILL, "stop": signal.SIGSTOP, "cont": signal.SIGCONT}


def call(address, port, method, path, body=None, headers=None, timeout=3):
    """Makes one HTTP call; returns status, headers and the parsed body."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        text = body if isinstance(body, str) or body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        raw = answer.read().decode("utf-8", "replace")
        try:
            parsed = json.loads(raw)
        except ValueError:
            parsed = raw
        return answer.status, dict(answer.getheaders()), parsed
    finally:
        connection.close()


Change = collections.namedtuple("Change", "at profile base revision")


class Fleet:
    """The running processes of one topology."""

    def __init__(self, topology, folder):
        self.topology = topology
        self.folder = folder
        self.running = {}  # name -> Popen
        self.records = {}  # name -> list of records, one for each run of the process
        self.crashed = []
        self.expected_exit = set()
        self.exits = {}  # name -> list of (seconds since SIGTERM, code)

    def start(self, name):
        server = self.topology.servers[name]
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.running[name] = subprocess.Popen(server.argv, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        # Cleared only now, so that the expected exit of the previous process is not counted as a crash.
        self.expected_exit.discard(name)

    def start_all(self):
        order = ["platform", "link", "engine", "desk", "entry"]
        for kind in order:
            for server in self.topology.of_kind(kind):
                self.start(server.name)
            if kind == "desk":
                self.wait_until_ok([s for s in self.topology.servers.values() if s.kind != "entry"], "/healthz")

    def wait_until_ok(self, servers, path):
        """Waits until each server answers 200 at path; raises RuntimeError if one exits or START_SECONDS pass."""
        end = time.monotonic() + START_SECONDS
        for server in servers:
            while True:
                process = self.running[server.name]
                if process.poll() is not None:
                    raise RuntimeError(f"{server.name} exited with {process.returncode} while starting.")
                try:
                    if call(server.address, server.port, "GET", path, timeout=1)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{server.name} does not answer 200 at {path}.")
                time.sleep(0.02)

    def set_fault(self, name, body):
        server = self.topology.servers[name]
        call(server.address, server.port, "POST", "/fault", body)

    def send_signal(self, name, signal_name):
        process = self.running.get(name)
        if process is None or process.poll() is not None:
            return
        if signal_name in ("term", "kill"):
            self.expected_exit.add(name)
        server = self.topology.servers[name]
        if signal_name == "kill" and server.kind != "entry":
            self._kill_standin(server)
        else:
            process.send_signal(SIGNALS[signal_name])

    def _kill_standin(self, server):
        """Makes a stand-in write its records and exit at once."""
        path = os.path.join(self.folder, f"{server.name}-{time.monotonic_ns()}.records.json")
        try:
            call(server.address, server.port, "GET", f"/records?exit={path}", timeout=5)
        except (OSError, http.client.HTTPException):
            pass
        self.running[server.name].wait(STOP_SECONDS)
        self.records.setdefault(server.name, []).append(read_jsonc(path))

    def check_crashes(self):
        for name, process in self.running.items():
            code = process.poll()
            if code is not None and name not in self.expected_exit and name not in self.crashed:
                self.crashed.append(name)

    def collect_records(self):
        """Reads the records of every stand-in that is still running."""
        for server in self.topology.servers.values():
            process = self.running.get(server.name)
            if server.kind == "entry" or process is None or process.poll() is not None:
                continue
            answer = call(server.address, server.port, "GET", "/records", timeout=10)
            self.records.setdefault(server.name, []).append(answer[2])

    def stop_all(self):
        """Ends every process that this run started."""
        running = [p for p in self.running.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + STOP_SECONDS
        for process in running:
            try:
                process.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class Operator:
    """Edits profiles through the operator API of the entry instances."""

    def __init__(self, fleet, root):
        self.fleet = fleet
        self.root = root
        self.documents = {}  # profile -> the last document written
        self.accepted = []  # list of Change
        self.refused = 0
        self.conflicts = 0
        self.outcome_unknown = 0
        self._lock = threading.Lock()

    def headers(self, extra=None):
        return dict({"Authorization": f"Bearer {OPERATOR_TOKEN}"}, **(extra or {}))

    def load(self, row):
        document = read_jsonc(os.path.join(self.root, row["file"]))
        return merge(document, row.get("set", {}))

    def put(self, entry, document, base=None, reason="experiment", timeout=10):
        """Writes one profile; returns the HTTP status, or 0 if no answer came."""
        name = document["name"]
        extra = {"Content-Type": "application/json", "Oleander-Reason": reason}
        if base is not None:
            extra["If-Match"] = str(base)
        try:
            status, _, body = call(entry.address, OPERATOR_PORT, "PUT", f"/v1/profiles/{name}", document,
                                   self.headers(extra), timeout)
        except (OSError, http.client.HTTPException):
            status, body = 0, None
        with self._lock:
            if status == 200:
                self.documents[name] = document
                self.accepted.append(Change(time.monotonic(), name, base, int(body["revision"])))
            elif status == 409:
                self.conflicts += 1
            elif status == 0 or (isinstance(body, dict) and body.get("error", {}).get("ran") != "no"):
                self.outcome_unknown += 1
            else:
                self.refused += 1
        return status

    def revision(self, entry, name):
        status, headers, _ = call(entry.address, OPERATOR_PORT, "GET", f"/v1/profiles/{name}", None, self.headers())
        lower = {key.lower(): value for key, value in headers.items()}
        return int(lower.get("etag", "0").strip('"')) if status == 200 else None

    def edit(self, entry, name, change, reason="experiment"):
        """Reads the profile's revision on the entry instance and writes the change based on it."""
        try:
            base = self.revision(entry, name)
        except (OSError, http.client.HTTPException):
            base = None
        with self._lock:
            document = merge(self.documents[name], change)
        return self.put(entry, document, base, reason)


class ProfileMonitor:
    """Samples the profile revisions that each entry instance uses."""

    def __init__(self, fleet, operator):
        self.fleet = fleet
        self.operator = operator
        self.samples = {s.name: [] for s in fleet.topology.of_kind("entry")}
        # name -> list of [from, until]; until is None while the instance is unreachable.
        self.unreachable = {name: [] for name in self.samples}
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._watch, args=(s,), daemon=True)
                         for s in fleet.topology.of_kind("entry")]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(5)

    def set_unreachable(self, name, unreachable):
        """Records whether an entry instance is unreachable; that time does not count as its latency."""
        spans = self.unreachable[name]
        if unreachable:
            spans.append([time.monotonic(), None])
        elif spans and spans[-1][1] is None:
            spans[-1][1] = time.monotonic()

    def _watch(self, server):
        failing = False
        while not self._stop.wait(POLL_SECONDS):
            try:
                status, _, body = call(server.address, OPERATOR_PORT, "GET", "/v1/profiles", None,
                                       self.operator.headers(), timeout=1)
                if status != 200:
                    raise OSError("the profile list was not returned")
                rows = {row["profile"]: row["revision"] for row in body["profiles"]}
                self.samples[server.name].append((time.monotonic(), rows))
                if failing:
                    self.set_unreachable(server.name, False)
                failing = False
            except (OSError, http.client.HTTPException, ValueError):
                if not failing:
                    self.set_unreachable(server.name, True)
                failing = True


class Timeline:
    """Runs an experiment's fault timeline."""

    def __init__(self, rows, fleet, operator, monitor, seed, print_line):
        self.fleet = fleet
        self.operator = operator
        self.monitor = monitor
        self.print_line = print_line
        self.random = random.Random(seed)
        self.steps = []
        self.threads = []
        for row in rows:
            for repeat in range(row.get("times", 1)):
                at = row["at_ms"] + repeat * row.get("every_ms", 0)
                at += self.random.uniform(0, row.get("jitter_ms", 0))
                self.steps.append((at / 1000, dict(row, repeat=repeat)))
        self.steps.sort(key=lambda step: step[0])

    def resolve_name(self, name):
        """Resolves 'any:KIND' and 'any:KIND:DOMAIN' to a process that the seed picks."""
        if not name.startswith("any:"):
            return name
        parts = name.split(":")
        names = [s.name for s in self.fleet.topology.of_kind(parts[1], parts[2] if len(parts) > 2 else None)
                 if not s.spare and s.name not in self.fleet.expected_exit]
        return self.random.choice(sorted(names))

    def process_names(self, row, key):
        """Returns the process names in row[key]: a name, a list of names, or 'all:KIND[:DOMAIN]'."""
        value = row[key]
        result = []
        for name in value if isinstance(value, list) else [value]:
            if name.startswith("all:"):
                parts = name.split(":")
                servers = self.fleet.topology.of_kind(parts[1], parts[2] if len(parts) > 2 else None)
                result.extend(s.name for s in servers if not s.spare)
            else:
                result.append(self.resolve_name(name))
        return result

    def run_due(self, now):
        """Runs the steps that are due; returns the seconds until the next one."""
        while self.steps and self.steps[0][0] <= now:
            at, row = self.steps.pop(0)
            getattr(self, f"do_{row['do']}")(row)
            if not row.get("quiet"):
                self.print_line(f"{now:6.1f} s  {row['do']} {row.get('process', row.get('profile', ''))}")
        return self.steps[0][0] - now if self.steps else 1.0

    def schedule(self, now, delay, row):
        self.steps.append((now + delay, row))
        self.steps.sort(key=lambda step: step[0])

    def _run_in_background(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self):
        for thread in self.threads:
            thread.join(20)

    # ---- The actions that a row's "do" field names.

    def do_fault(self, row):
        for name in self.process_names(row, "process"):
            self.fleet.set_fault(name, row.get("fault", {}))

    def do_signal(self, row):
        for name in self.process_names(row, "process"):
            self.fleet.send_signal(name, row["signal"])
            if row["signal"] == "stop" and name in self.monitor.unreachable:
                self.monitor.set_unreachable(name, True)

    def do_restart(self, row):
        """Ends the process with the given signal and starts it again."""
        for name in self.process_names(row, "process"):
            self.fleet.send_signal(name, row.get("signal", "kill"))
            self._run_in_background(self._start_after_exit, name)

    def _start_after_exit(self, name):
        process = self.fleet.running[name]
        try:
            process.wait(60)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.fleet.start(name)

    def do_start(self, row):
        for name in self.process_names(row, "process"):
            self._run_in_background(self._start_after_exit, name)

    def _platform(self, method, path, body):
        platform = self.fleet.topology.platform
        return call(platform.address, platform.port, method, path, body)

    def do_reclaim(self, row):
        """Gives notice, lists the machines as leaving, and kills them when the notice (or kill_ms) ends."""
        notice = row["notice_ms"]
        for name in self.process_names(row, "process"):
            self._platform("POST", "/notices", {"id": name, "deadline_in_ms": notice})
            self._platform("POST", "/instances", {"id": name, "state": "leaving"})
            server = self.fleet.topology.servers[name]
            if server.kind in ("engine", "desk"):
                self.fleet.set_fault(name, {"leaving": True})
            else:
                self.fleet.expected_exit.add(name)
            kill_at = row.get("kill_ms", notice)
            kill_row = {"do": "gone", "process": name, "quiet": True}
            self.schedule(row["now"], kill_at / 1000, kill_row)

    def do_gone(self, row):
        self.fleet.send_signal(row["process"], "kill")
        self._platform("POST", "/instances", {"id": row["process"], "state": "gone"})

    def do_list(self, row):
        """Changes the state of machines only in the platform's list."""
        for name in self.process_names(row, "process"):
            self._platform("POST", "/instances", {"id": name, "state": row["state"]})

    def do_prices(self, row):
        self._platform("POST", "/prices", {"prices": row["prices"]})

    def do_cut(self, row):
        for name in self.process_names(row, "process"):
            self.fleet.set_fault(name, {"cut": True})
        for domain in row.get("away", []):
            for server in self.fleet.topology.of_kind("entry", domain):
                self.monitor.set_unreachable(server.name, True)

    def do_heal(self, row):
        for name in self.process_names(row, "process"):
            self.fleet.set_fault(name, {})
        for domain in row.get("away", []):
            for server in self.fleet.topology.of_kind("entry", domain):
                self.monitor.set_unreachable(server.name, False)

    def do_edit(self, row):
        """Edits a profile through one entry instance, or through several at once."""
        for index, name in enumerate(self.process_names(row, "through")):
            entry = self.fleet.topology.servers[name]
            change = merge(row.get("set", {}), {"latency": {"deadline_ms": 50000 + row["repeat"] * 10 + index}})
            self._run_in_background(self.operator.edit, entry, row["profile"], change)
