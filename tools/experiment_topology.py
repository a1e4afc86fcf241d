"""Builds the processes, addresses and settings files of an experiment's topology."""

import json
import os
import re
import socket

CALLER_PORT = 8080
OPERATOR_PORT = 8081
MESH_PORT = 8082
ENGINE_PORT = 9000
DESK_PORT = 9100
LINK_PORT = 9200
PLATFORM_PORT = 2379
FIRST_VIEW_PORT = 2400
LOCK_PORT = 1
OPERATOR_TOKEN = "experiment-operator-token"
MAX_SEEDS = 4


def parse_jsonc(text):
    """Parses JSON with // comments and commas before closing brackets."""
    pattern = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*')
    text = pattern.sub(lambda m: m.group(0) if m.group(0)[0] == '"' else "", text)
    return json.loads(re.sub(r",(\s*[}\]])", r"\1", text))


def read_jsonc(path):
    with open(path, encoding="utf-8") as stream:
        return parse_jsonc(stream.read())


def merge(base, change):
    """Returns base with the fields of change replaced; nested objects are merged."""
    result = dict(base)
    for key, value in change.items():
        both = isinstance(value, dict) and isinstance(result.get(key), dict)
        result[key] = merge(result[key], value) if both else value
    return result


class AddressBlock:
    """The loopback addresses of one run: 127.a.b.1 to 127.a.b.253.

    A socket bound to 127.a.b.254 keeps other runs from using the block.
    """

    def __init__(self, fixed=None):
        self._lock = None
        self._next = 1
        if fixed:
            candidates = [fixed]
        else:
            start = os.getpid()
            candidates = [f"127.{64 + (start + i) % 128}.{(start + i) // 128 % 256}" for i in range(4096)]
        for candidate in candidates:
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((f"{candidate}.254", LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self.base = candidate
            return
        raise RuntimeError(f"The block of addresses {candidates[0]} is in use.")

    def allocate(self):
        if self._next > 253:
            raise RuntimeError("The run needs more than 253 addresses.")
        address = f"{self.base}.{self._next}"
        self._next += 1
        return address


class Server:
    """One process of the run."""

    def __init__(self, name, kind, domain, address, port, listed=None):
        self.name = name
        self.kind = kind  # entry, engine, desk, platform or link
        self.domain = domain
        self.address = address
        self.port = port  # the port of /records and /fault, or of callers
        self.listed = listed  # its row in the platform's instance list, or None
        self.spare = False
        self.argv = []


class Topology:
    """All servers of a run, with their command lines and settings."""

    def __init__(self, spec, block, build, folder, seed):
        self.spec = spec
        self.block = block
        self.build = build
        self.folder = folder
        self.seed = seed
        self.servers = {}
        self.regions = {d["domain"]: d["region"] for d in spec["domains"]}
        self._views = {name: FIRST_VIEW_PORT + i for i, name in enumerate(self.regions)}
        self._relays = {}  # link name -> list of rules
        self._addresses_by_viewer = {name: {} for name in self.regions}  # viewer -> server -> address
        self.platform = self._add("platform", "platform", None, PLATFORM_PORT)
        self._add_domains()
        self._add_spares()
        self._add_links()
        self._write_instances()
        for server in list(self.servers.values()):
            server.argv = self._argv(server)

    def of_kind(self, kind, domain=None):
        return [s for s in self.servers.values() if s.kind == kind and domain in (None, s.domain)]

    def _add(self, name, kind, domain, port, listed=None):
        server = Server(name, kind, domain, self.block.allocate(), port, listed)
        self.servers[name] = server
        return server

    def _listed(self, name, kind, service, domain, index, row):
        reclaimable = index < row.get("reclaimable", 0)
        return {
            "id": name, "kind": kind, "service": service, "region": self.regions[domain], "domain": domain,
            "class": row.get("class", "g1"), "market": "reclaimable" if reclaimable else "on_demand",
        }

    def _add_backends(self, row, domain, service, count, kind):
        port = ENGINE_PORT if kind == "engine" else DESK_PORT
        listed_kind = "engine" if kind == "engine" else "plain"
        first = len(self.of_kind(kind, domain))
        for index in range(count):
            name = f"{domain}-{kind}-{first + index + 1}"
            listed = self._listed(name, listed_kind, service, domain, index, row)
            server = self._add(name, kind, domain, port, listed)
            listed.update(address=server.address, port=port)

    def _add_domains(self):
        for row in self.spec["domains"]:
            domain = row["domain"]
            for index in range(row.get("entries", 0)):
                name = f"{domain}-entry-{index + 1}"
                listed = self._listed(name, "entry", "", domain, row.get("entries", 0), row)
                server = self._add(name, "entry", domain, CALLER_PORT, listed)
                listed.update(address=server.address, port=CALLER_PORT, mesh_port=MESH_PORT)
            self._add_backends(row, domain, self.spec.get("service", "designs"), row.get("engines", 0), "engine")
            self._add_backends(row, domain, self.spec.get("review_service", "reviews"), row.get("reviewers", 0), "engine")
            self._add_backends(row, domain, self.spec.get("desk_service", "order-desk"), row.get("desks", 0), "desk")

    def _add_spares(self):
        for row in self.spec.get("spares", []):
            before = set(self.servers)
            service = row.get("service", self.spec.get("service", "designs"))
            self._add_backends(row, row["domain"], service, row["count"], "engine")
            for name in set(self.servers) - before:
                self.servers[name].spare = True
                self.servers[name].listed["market"] = row.get("market", "on_demand")

    # ---- Links.

    def _ports_of(self, server):
        if server.kind == "entry":
            return [CALLER_PORT, MESH_PORT]
        if server.kind == "platform":
            return list(self._views.values())
        return [server.port]

    def _add_links(self):
        for row in self.spec.get("links", []):
            self._add(row["name"], "link", None, LINK_PORT)
            rules = self._relays.setdefault(row["name"], [])
            sides = row["sides"]
            for here, there in ((sides[0], sides[1]), (sides[1], sides[0])):
                viewers = [name for name in here if name in self.regions]
                targets = [s for s in list(self.servers.values())
                           if s.domain in there or (s.kind == "platform" and "platform" in there)]
                for target in targets if viewers else []:
                    self._relay(target, viewers, rules)
        if self.spec.get("server_link") is not None:
            self._add("server-link", "link", None, LINK_PORT)
            rules = self._relays.setdefault("server-link", [])
            for target in self.of_kind("engine") + self.of_kind("desk"):
                self._relay(target, list(self.regions), rules)

    def _relay(self, target, viewers, rules):
        address = self.block.allocate()
        rules.extend(f"{address}:{port}={target.address}:{port}" for port in self._ports_of(target))
        for viewer in viewers:
            self._addresses_by_viewer[viewer][target.name] = address

    def seen_address(self, viewer, server):
        return self._addresses_by_viewer.get(viewer, {}).get(server.name, server.address)

    # ---- Files and command lines.

    def _write_instances(self):
        def rows(spare):
            result = []
            for server in self.servers.values():
                if server.listed is None or server.spare != spare:
                    continue
                seen = {viewer: {"address": addresses[server.name]}
                        for viewer, addresses in self._addresses_by_viewer.items() if server.name in addresses}
                result.append(dict(server.listed, seen_from=seen))
            return result

        config = {"instances": rows(False), "spares": rows(True), "prices": self.spec.get("prices", [])}
        with open(os.path.join(self.folder, "instances.json"), "w", encoding="utf-8") as stream:
            json.dump(config, stream, indent=1)

    def _flags(self, flags):
        def text(value):
            return str(value).lower() if isinstance(value, bool) else str(value)
        return [f"--{name}={text(value)}" for name, value in flags.items()]

    def _argv(self, server):
        if server.kind == "entry":
            return [os.path.join(self.build, "oleanderd"), f"--settings={self._write_settings(server)}"]
        program = {"platform": "standin_platform", "engine": "standin_engine",
                   "desk": "standin_desk", "link": "standin_link"}[server.kind]
        flags = {"address": server.address, "port": server.port, "id": server.name}
        if server.kind != "link":
            flags["seed"] = self.seed * 1000 + len(server.name) * 7 + sum(server.name.encode())
        if server.kind == "platform":
            flags["instances"] = os.path.join(self.folder, "instances.json")
            flags["views"] = ",".join(f"{port}={view}" for view, port in self._views.items())
            flags.update(self.spec.get("platform_flags", {}))
        elif server.kind == "engine":
            flags.update(self.spec.get("engine_flags", {}))
        elif server.kind == "desk":
            others = [s for s in self.of_kind("desk") if s is not server]
            flags["replicas"] = ",".join(f"{s.address}:{s.port}" for s in others)
            flags.update(self.spec.get("desk_flags", {}))
        elif server.kind == "link":
            flags["relays"] = ",".join(self._relays[server.name])
            row = next((r for r in self.spec.get("links", []) if r["name"] == server.name),
                       self.spec.get("server_link") or {})
            flags.update(row.get("flags", {}))
        flags.update(self.spec.get("flags_of", {}).get(server.name, {}))
        return [os.path.join(self.build, program)] + self._flags(flags)

    def _peer(self, viewer, server):
        return {"instance": server.name, "region": self.regions[server.domain], "domain": server.domain,
                "address": self.seen_address(viewer, server), "http_port": CALLER_PORT, "mesh_port": MESH_PORT}

    def _peers_of(self, server):
        others = [s for s in self.of_kind("entry") if s is not server]
        if self.spec.get("links"):
            return [self._peer(server.domain, s) for s in others]
        near = [s for s in others if s.domain == server.domain]
        far = [s for s in others if s.domain != server.domain]
        return [self._peer(server.domain, s) for s in near[:MAX_SEEDS // 2] + far[:MAX_SEEDS // 2]]

    def _write_settings(self, server):
        token_file = os.path.join(self.folder, "operator.token")
        with open(token_file, "w", encoding="utf-8") as stream:
            stream.write(OPERATOR_TOKEN + "\n")
        settings = {
            "instance": server.name, "region": self.regions[server.domain], "domain": server.domain,
            "log_level": self.spec.get("log_level", "info"),
            "callers": {"address": server.address, "port": CALLER_PORT},
            "operators": {"address": server.address, "port": OPERATOR_PORT, "token_file": token_file},
            "mesh": {"address": server.address, "port": MESH_PORT, "peers": self._peers_of(server)},
            "platform": {"address": self.seen_address(server.domain, self.platform),
                         "port": self._views[server.domain]},
            "limits": {"expected_instances": len(self.of_kind("entry"))},
        }
        settings = merge(settings, self.spec.get("settings", {}))
        path = os.path.join(self.folder, f"{server.name}.jsonc")
        with open(path, "w", encoding="utf-8") as stream:
            json.dump(settings, stream, indent=1)
        return path
