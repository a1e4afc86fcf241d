"""Stand-ins of the platform's store, in memory and linearizable, and of its duty calls; both can be made to fail."""
import base64
import copy
import json
import threading
import time
import urllib.parse

from web import Handler, serve

CONFIG_KEY = "op/config"
SERVERS = "servers/"


class Store:
    """Key-value items with revisions, watches (long polls) and leases.

    `mode`: up; refuse (503); limit (429); slow; lost (writes take effect, but their replies are lost); silent.
    """

    def __init__(self, address):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 10
        self.compacted = 0
        self.next_lease = 1
        self.mode = "up"
        self.era = 1  # Incremented by restore(); sent with every reply.
        self.server = serve(address, StoreHandler, self)

    def put(self, key, value, lease=0):
        with self.changed:
            return self._put(key, value, lease)

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision, "created": created,
                "lease_id": lease}
        self.items[key] = item
        self.events.append(item)
        self.changed.notify_all()
        return self.revision

    def snapshot(self):
        """Returns a copy of the content for restore()."""
        with self.changed:
            return copy.deepcopy((self.items, self.events, self.leases, self.revision, self.next_lease))

    def restore(self, snapshot):
        """Returns to a snapshot: later writes are lost, and their revisions and lease ids are assigned again."""
        with self.changed:
            self.items, self.events, self.leases, self.revision, self.next_lease = snapshot
            self.era += 1
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})
            self.changed.notify_all()

    def compact(self):
        with self.changed:
            self.compacted = self.revision
            self.events.clear()
            self.changed.notify_all()

    def expire_leases(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, ends) in self.leases.items() if ends <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self._remove(key)

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500, "at_rev": self.revision}

    def watch(self, prefix, after, seconds):
        """Returns the events under `prefix` after a revision once there are some; None if they are compacted."""
        end = time.monotonic() + seconds
        while True:
            self.expire_leases()
            if after < self.compacted:
                return None
            events = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0 or self.mode != "up":
                return {"events": events, "at_rev": self.revision}
            self.changed.wait(min(left, 0.2))

    def transact(self, body):
        """Executes a conditional write; returns the HTTP status and the reply."""
        if any(put.get("lease_id", 0) not in self.leases and put.get("lease_id", 0) for put in body.get("puts", [])):
            return 404, {}
        expected = body.get("expect_rev", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        for put in body.get("puts", []):
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease_id", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"rev": self.revision}

    def lease(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return {"lease_id": self.next_lease, "ttl_ms": ttl_ms}


class StoreHandler(Handler):
    def handle_failure_mode(self):
        """Applies the store's failure mode; returns whether that has ended this call."""
        mode = self.server.owner.mode
        if mode in ("refuse", "limit"):
            self.reply(503 if mode == "refuse" else 429)
            return True
        if mode == "silent":
            time.sleep(3)
            self.reset_connection()
            return True
        if mode == "slow":
            time.sleep(0.3)
        return False

    def reply(self, status, document=None, headers=None, body=None):
        super().reply(status, document, {"Store-Era": str(self.server.owner.era)}, body)

    def reply_unless_lost(self, status, document):
        if self.server.owner.mode == "lost" and self.command != "GET":
            self.reset_connection()
        else:
            self.reply(status, document)

    def do_GET(self):
        store = self.server.owner
        if self.handle_failure_mode():
            return
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        with store.changed:
            store.expire_leases()
            if url.path == "/v1/kv-key":
                item = store.items.get(query["key"])
                status, document = (200, dict(item, at_rev=store.revision)) if item else (404, {})
            elif url.path == "/v1/kv-range":
                status, document = 200, store.range(query["path_prefix"], query.get("after", ""))
            else:
                document = store.watch(query["path_prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
                status = 410 if document is None else 200
        self.reply_unless_lost(status, document)

    def do_POST(self):
        store = self.server.owner
        body = json.loads(self.body() or b"{}")
        if self.handle_failure_mode():
            return
        with store.changed:
            store.expire_leases()
            if self.path == "/v1/kv-txn":
                status, document = store.transact(body)
            elif self.path == "/v1/kv-lease":
                status, document = 200, store.lease(body["ttl_ms"])
            else:
                lease = int(self.path.rsplit("/", 1)[1])
                known = store.leases.get(lease)
                if known:
                    store.leases[lease] = (known[0], time.monotonic() + known[0] / 1000)
                status, document = (200, {"lease_id": lease, "ttl_ms": known[0]}) if known else (404, {})
        self.reply_unless_lost(status, document)

    def do_DELETE(self):
        store = self.server.owner
        if self.handle_failure_mode():
            return
        with store.changed:
            store._end_lease(int(self.path.rsplit("/", 1)[1]))
        self.reply_unless_lost(200, {})


class Duties:
    """Receives usage reports and server orders and records them in the ledger. `mode`: up or down."""

    def __init__(self, address, ledger):
        self.ledger = ledger
        self.mode = "up"
        self.server = serve(address, DutiesHandler, self)


class DutiesHandler(Handler):
    def do_POST(self):
        duties = self.server.owner
        body = json.loads(self.body())
        if duties.mode != "up":
            self.reply(503)
            return
        ledger = duties.ledger
        holder = self.headers["X-Oleanderfield-Duty-Holder"]
        fence = int(self.headers["X-Oleanderfield-Fence-Token"])
        ledger.add(ledger.orders, (time.monotonic(), holder, fence))
        if self.path == "/usage":
            with ledger.lock:
                ledger.usage.setdefault(body["window_id"], []).append(body["counts"])
        self.reply(200, {})
