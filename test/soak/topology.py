"""The programs of one soak: oleanderd processes and all services that they connect to."""
import json
import os
import signal
import subprocess
import threading
import time

from ledger import Ledger
from link import Link
from servers import SLOTS, BackendServer
from store import CONFIG_KEY, SERVERS, Duties, Store

DOMAINS = {"a": "south", "b": "south", "c": "north"}
INSTANCES = 4
SERVERS_AT_START = 4
SERVICE = "model"
GRACE_SECONDS = 8
START_SECONDS = 10
WORKSPACES = ("bakery", "desk")


class Instance:
    """One instance: its settings file, its links to store and platform, and its process while it runs."""

    def __init__(self, number, topology):
        self.name = f"entry-{number}"
        self.topology = topology
        address = f"{topology.net}.1{number}"
        self.callers = (address, 8080)
        self.store_link = Link((address, 8090), topology.store.server.server_address)
        self.duties_link = Link((address, 8091), topology.duties.server.server_address)
        self.settings_file = os.path.join(topology.folder, f"{self.name}.jsonc")
        self.log = open(os.path.join(topology.folder, f"{self.name}.log"), "ab")
        self.domain = list(DOMAINS)[number % len(DOMAINS)]
        self.process = None
        self.ending = False  # The soak is stopping the process, so that its exit is expected.
        self.lock = threading.Lock()  # Allows only one operation on the process at a time.
        self.write_settings("info")

    def write_settings(self, log_level):
        address = self.callers[0]
        settings = {
            "deployment": "platform", "instance": self.name, "region": DOMAINS[self.domain], "domain": self.domain,
            "domains": DOMAINS, "callers": f"{address}:8080", "readiness": f"{address}:8081",
            "store": f"{address}:8090", "duties": f"{address}:8091", "duty_names": ["usage", "scale"],
            "mesh_port": 8082, "metrics_port": 8083, "limits": {"memory_mib": 256, "cores": 0.25},
            "log_level": log_level,
            "bounds": {"strict_revoke": True, "revoke_ms": 5000, "drain_grace_s": GRACE_SECONDS, "retry_share": 0.2,
                       "retry_slack": 56, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 140000,
                       "lease_ms": 3000, "usage_window_s": 5, "usage_late_s": 10}}
        with open(self.settings_file, "w", encoding="utf-8") as stream:
            json.dump(settings, stream)

    def start(self):
        self.ending = False
        self.process = subprocess.Popen([self.topology.program, f"--settings={self.settings_file}"],
                                        stdout=self.log, stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self, number, seconds):
        """Sends a signal and waits for the exit; kills a process that still runs after `seconds`."""
        self.ending = True
        self.signal(number)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            ledger = self.topology.ledger
            ledger.add(ledger.did_not_end, f"{self.name} after {seconds} s")
            self.process.kill()
            self.process.wait()
            print(f"{self.name} was killed {seconds} s after its signal; its log since then:",
                  *self.log_since("event=entry.draining"), sep="\n    ")

    def log_since(self, event):
        """Returns the lines of the log from the last one with `event` on."""
        with open(self.log.name, encoding="utf-8", errors="replace") as stream:
            lines = stream.read().splitlines()
        start = max((number for number, line in enumerate(lines) if event in line), default=len(lines))
        return lines[start:]

    def ready(self):
        import http.client
        connection = http.client.HTTPConnection(self.callers[0], 8081, timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def check(self):
        """Records a process that exited unexpectedly, and starts it again."""
        with self.lock:
            if self.process is not None and not self.ending and self.process.poll() is not None:
                self.topology.ledger.add(self.topology.ledger.ended_by_itself,
                                         f"{self.name} with status {self.process.returncode}")
                self.start()


class Topology:
    HOST = "shop.example"

    def __init__(self, folder, program, seed):
        self.folder = folder
        self.program = program
        self.seed = seed
        # Each seed has a separate network, so that soaks can run in parallel.
        self.net = f"127.{40 + seed // 250 % 80}.{1 + seed % 250}"
        self.ledger = Ledger()
        self.store = Store((f"{self.net}.1", 8000))
        self.duties = Duties((f"{self.net}.1", 8001), self.ledger)
        self.version = 0
        self.routes = [self.route(kind) for kind in ("once", "repeat", "stream", "resume")]
        self.keys = []
        self.next_key = 0
        self.next_server = 0
        self.servers = {}
        self.links = {}
        self.states = {}  # The last state that each server wrote to the store.
        self.instances = [Instance(number, self) for number in range(INSTANCES)]

    @staticmethod
    def route(kind):
        kinds = {"once": "mutating", "repeat": "idempotent"}
        return {"name": kind, "host": Topology.HOST, "path_prefix": f"/{kind}/",
                "route_kind": kinds.get(kind, "streaming"), "timeout_ms": 3000, "goal_ms": 400, "max_attempts": 2,
                "priority": 1, "service": SERVICE, "resumable": kind == "resume", "gap_target_ms": 500}

    def start(self):
        for _ in range(2 * len(WORKSPACES)):
            self.add_key()
        self.write_config()
        for _ in range(SERVERS_AT_START):
            self.add_server()
        for instance in self.instances:
            instance.start()
        end = time.monotonic() + START_SECONDS
        while not all(instance.ready() for instance in self.instances):
            if time.monotonic() > end:
                raise RuntimeError("Not every instance was ready within ten seconds.")
            time.sleep(0.1)

    def stop(self):
        for instance in self.instances:
            with instance.lock:
                instance.signal(signal.SIGCONT)
                instance.end(signal.SIGTERM, GRACE_SECONDS)
                instance.log.close()

    # The operators' side.

    def add_key(self):
        key = f"key-{self.next_key}"
        self.ledger.keys[key] = WORKSPACES[self.next_key % len(WORKSPACES)]
        self.next_key += 1
        self.keys.append(key)

    def write_config(self):
        self.version += 3
        tenants = [{"name": name, "priority": 1, "rate_per_s": 0, "burst_size": 0,
                    "api_keys": [key for key in self.keys if self.ledger.keys[key] == name]} for name in WORKSPACES]
        config = {"version": self.version, "routes": self.routes, "tenants": tenants,
                  "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100}]}
        self.config = json.dumps(config).encode()
        self.store.put(CONFIG_KEY, self.config)
        self.ledger.disturb("config", "", 0)

    def rewrite_after_restore(self):
        """Writes the current configuration and server entries again after the store returned to an older copy."""
        self.store.put(CONFIG_KEY, self.config)
        for name in [key[len(SERVERS):] for key in self.store.snapshot()[0] if key.startswith(SERVERS)]:
            if name not in self.states:
                self.store.remove(SERVERS + name)
        for name, state in self.states.items():
            self.store.put(SERVERS + name, self.entry(name, state))

    def revoke_key(self, key):
        """Revokes a key; callers that still use it must be refused once the revocation bound has passed."""
        self.keys.remove(key)
        self.write_config()
        with self.ledger.lock:
            self.ledger.revoked[key] = time.monotonic()

    # The backend servers' side.

    def entry(self, name, state):
        address, port = self.links[name].address
        return json.dumps({"service": SERVICE, "address": f"{address}:{port}", "zone": list(DOMAINS)[len(name) % 3],
                           "version": 1, "slots": SLOTS, "state": state, "sequence": 1, "born": 1}).encode()

    def add_server(self):
        name = f"server-{self.next_server}"
        number = 20 + self.next_server % 200
        self.next_server += 1
        server = BackendServer(name, SERVICE, (f"{self.net}.2", 9000 + number), self.ledger, self.seed * 100 + number)
        self.servers[name] = server
        self.links[name] = Link((f"{self.net}.3", 9000 + number), server.server.server_address)
        self.states[name] = "ready"
        self.store.put(SERVERS + name, self.entry(name, "ready"))
        return name

    def drop_server(self, name, announced):
        """Removes a server from service; it keeps running until end_server().

        announced: it is marked as draining; otherwise its entry is deleted.
        """
        if announced:
            self.states[name] = "draining"
            self.store.put(SERVERS + name, self.entry(name, "draining"))
        else:
            self.states.pop(name)
            self.store.remove(SERVERS + name)
        with self.ledger.lock:
            self.ledger.left[name] = time.monotonic()

    def end_server(self, name):
        self.states.pop(name, None)
        self.store.remove(SERVERS + name)
        self.links.pop(name).stop()
        self.servers.pop(name).stop()
