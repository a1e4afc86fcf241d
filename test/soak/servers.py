"""Backend servers that answer calls as the platform's servers do, with injected faults."""
import random
import select
import time

from ledger import Run
from web import Handler, serve

PREFIX = "X-Oleanderfield-"
EVENTS = 12
EVENT_GAP_SECONDS = 0.05
WORK_SECONDS = 0.015
SLOTS = 32


class BackendServer:
    """One server. `faults` maps the name of a fault to the share of calls that it affects.

    fail: status 500; lost: runs the call, then resets the connection; cut: resets it within the answer; extra: sends
    bytes after the answer; full: refuses the call as not run; stall: answers late (whole answers after 1.5 s, 0.4 s
    between the events of a stream).
    """

    def __init__(self, name, service, address, ledger, seed):
        self.name = name
        self.service = service
        self.ledger = ledger
        self.random = random.Random(seed)
        self.faults = {}
        self.running = 0
        self.server = serve(address, ServerHandler, self)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def draw_fault(self):
        draw = self.random.random()
        for fault, share in self.faults.items():
            if draw < share:
                return fault
            draw -= share
        return None


class ServerHandler(Handler):
    def do_GET(self):
        if self.path == "/healthz":
            self.reply(200, headers={PREFIX + "Instance-Id": self.server.owner.name})
        else:
            self.do_POST()

    def do_POST(self):
        owner = self.server.owner
        self.body()
        attempt = self.headers.get(PREFIX + "Attempt-Id", "")
        head = {PREFIX + "Attempt-Id": attempt, PREFIX + "Server-Load": f"{owner.running},0,{SLOTS}"}
        if self.headers.get(PREFIX + "Expect-Instance", owner.name) != owner.name:
            self.reply(421, headers=dict(head, **{PREFIX + "Not-Run": "1"}))
            return
        fault = owner.draw_fault()
        if fault == "full":
            self.reply(503, headers=dict(head, **{PREFIX + "Not-Run": "1"}))
            return
        resumed = int(self.headers.get("Last-Event-Id") or 0)
        run = owner.ledger.add(owner.ledger.runs, Run(
            attempt, owner.name, time.monotonic(), self.headers.get(PREFIX + "Tenant", ""), resumed,
            "Authorization" in self.headers))
        owner.running += 1
        try:
            head[PREFIX + "Server-Seal"] = f"{owner.name}.{owner.random.getrandbits(32):08x}"
            if self.path.startswith(("/stream/", "/resume/")):
                self.reply_stream(attempt, head, resumed, fault)
            else:
                self.reply_whole(attempt, head, fault)
        except OSError:
            self.close_connection = True  # The caller has disconnected.
        finally:
            owner.running -= 1
            run.ended_at = time.monotonic()

    def reply_whole(self, attempt, head, fault):
        time.sleep(WORK_SECONDS if fault != "stall" else 1.5)
        if fault == "lost":
            self.reset_connection()
            return
        if fault == "fail":
            self.reply(500, headers=head, body=b"failed")
            return
        body = f"{attempt} by {self.server.owner.name}".encode()
        if fault == "cut":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + body[:5])
            self.reset_connection()
            return
        self.server.owner.ledger.note_answer(attempt, body)
        self.reply(200, headers=head, body=body)
        if fault == "extra":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    def reply_stream(self, attempt, head, resumed, fault):
        if fault in ("lost", "fail"):
            self.reset_connection()
            return
        self.send_response_only(200)
        for name, value in dict(head, **{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}).items():
            self.send_header(name, value)
        self.end_headers()
        for number in range(resumed + 1, EVENTS + 1):
            time.sleep(EVENT_GAP_SECONDS if fault != "stall" else 0.4)
            if self.caller_left():
                self.close_connection = True
                return
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            if fault == "cut" and number == EVENTS // 2:
                self.wfile.write(b"%x\r\n" % len(event) + event[:7])
                self.reset_connection()
                return
            self.wfile.write(b"%x\r\n" % len(event) + event + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")

    def caller_left(self):
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable) and not self.connection.recv(1, 2)  # 2: MSG_PEEK.
