"""Callers that keep connections open, send calls of every kind, and sometimes leave before the answer."""
import http.client
import random
import threading
import time

from ledger import Call

PREFIX = "X-Oleanderfield-"
TIMEOUT_SECONDS = 3.0  # The timeout of every route, and the deadline that callers send.
KINDS = ("once", "repeat", "stream", "resume")
ABANDON_SHARE = 0.04
KEEP_ALIVE_SHARE = 0.9


class Caller(threading.Thread):
    """One caller; it keeps a connection to a random instance and picks another one when the connection ends."""

    def __init__(self, number, topology, ledger, keys, seed):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 1000 + number)
        self.topology = topology
        self.ledger = ledger
        self.keys = keys  # Shared; the credentials that callers use now.
        self.connection = None
        self.instance = None
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.is_set():
            self.call()
            self.stopped.wait(self.random.uniform(0.01, 0.12))
        self.disconnect()

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def connect(self):
        self.instance = self.random.choice(self.topology.instances)
        address, port = self.instance.callers
        self.connection = http.client.HTTPConnection(address, port, timeout=TIMEOUT_SECONDS + 2)
        self.connection.connect()

    def call(self):
        reused = self.connection is not None
        try:
            if not reused:
                self.connect()
        except OSError:
            self.disconnect()
            time.sleep(0.05)
            return
        kind = self.random.choice(KINDS)
        key = self.random.choice(self.keys)
        call = Call(f"{self.random.getrandbits(64):016x}", kind, key, self.instance.name, time.monotonic(), reused=reused)
        abandons = self.random.random() < ABANDON_SHARE
        try:
            self.send(call)
            self.ledger.add(self.ledger.calls, call)
            if abandons:
                time.sleep(self.random.uniform(0.005, 0.2))
                self.connection.sock.close()
                call.left_at = time.monotonic()
                self.disconnect()
                return
            self.receive(call)
        except (OSError, http.client.HTTPException):
            self.disconnect()  # Recorded as a call without a complete answer.
        call.ended_at = time.monotonic()
        if self.connection is not None and self.random.random() > KEEP_ALIVE_SHARE:
            self.disconnect()

    def send(self, call):
        self.connection.request("POST", f"/{call.kind}/{call.attempt}", body=b"ask", headers={
            "Host": self.topology.HOST,
            "Authorization": f"Token {call.key}",
            PREFIX + "Attempt-Id": call.attempt,
            PREFIX + "Deadline-Ms": str(int(TIMEOUT_SECONDS * 1000)),
            # Callers may not set what the system sets.
            PREFIX + "Tenant": "forged"})

    def receive(self, call):
        answer = self.connection.getresponse()
        call.status = answer.status
        call.sealed = answer.getheader(PREFIX + "Server-Seal") is not None
        pieces = []
        while True:
            piece = answer.read1(65536)
            if not piece:
                break
            pieces.append(piece)
            call.body = b"".join(pieces)
        call.body = b"".join(pieces)
        call.complete = True
        answer.close()  # Otherwise the connection can't be reused.
        if answer.will_close:
            self.disconnect()
