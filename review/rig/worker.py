"""A backend server as a process of its own: worker.py IP PORT NAME RUNS_FILE.

It answers whole (800 B, in two pieces) or as a stream. An answer may have no length and end with its connection
(RULES.md, MIXED): it does so where the path says `unframed`. Each run is a line in RUNS_FILE.
"""
import asyncio
import json
import sys
import time

import rig

EVENTS = 20
EVENT_GAP_S = 0.1
FIRST_S = 0.015  # SYSTEM.md: work ms of a deposit.
PIECE_GAP_S = 1.0  # Between the two pieces of a whole answer.
BODY_BYTES = 800  # SYSTEM.md: 800 B out.
X = rig.X


def whole_body(attempt):
    """The body of the answer to an attempt."""
    text = f"confirmed {attempt} "
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES].encode()


def event(attempt, number):
    return f"id: {number}\ndata: {attempt} {number} of {EVENTS}\n\n".encode()


class Worker:
    def __init__(self, name, runs):
        self.name, self.runs = name, runs
        self.running = 0

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await rig.read_head(reader)
        if head is None:
            return False
        headers = head[1]
        await rig.read_body(reader, headers)
        path = head[0].split(" ")[1]
        attempt = headers.get((X + "Attempt-Id").lower(), "")
        answer = {X + "Attempt-Id": attempt, X + "Server-Load": f"{self.running},0,96"}
        if path == "/healthz":
            writer.write(rig.message("HTTP/1.1 200 OK", {X + "Instance-Id": self.name}))
            return True
        expected = headers.get((X + "Expect-Instance").lower(), self.name)
        if expected != self.name:
            writer.write(rig.message("HTTP/1.1 421 Other", {**answer, X + "Not-Run": "1"}))
            return True
        self.running += 1
        try:
            self.runs.write(json.dumps({"at": time.time(), "worker": self.name, "attempt": attempt, "path": path}) + "\n")
            self.runs.flush()
            answer[X + "Server-Seal"] = f"{self.name}.{attempt[:6]}"
            unframed = "unframed" in path
            await asyncio.sleep(FIRST_S)
            if path.startswith("/draft/"):
                await self.stream(writer, answer, attempt, int(headers.get("last-event-id", "0")), unframed)
            else:
                await self.whole(writer, answer, attempt, unframed)
            await writer.drain()
            return not unframed
        finally:
            self.running -= 1

    async def whole(self, writer, answer, attempt, unframed):
        body = whole_body(attempt)
        framing = {"Connection": "close"} if unframed else {"Content-Length": len(body)}
        self.head(writer, {**answer, **framing})
        writer.write(body[:len(body) // 2])
        await writer.drain()
        await asyncio.sleep(PIECE_GAP_S)
        writer.write(body[len(body) // 2:])

    async def stream(self, writer, answer, attempt, last, unframed):
        framing = {"Connection": "close"} if unframed else {"Transfer-Encoding": "chunked"}
        self.head(writer, {**answer, **framing, "Content-Type": "text/event-stream"})
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            piece = event(attempt, number)
            writer.write(piece if unframed else b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")

    @staticmethod
    def head(writer, headers):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())


async def run(ip, port, name, runs_file):
    with open(runs_file, "a", encoding="utf-8") as runs:
        worker = Worker(name, runs)
        server = await asyncio.start_server(worker.serve, ip, port, limit=1 << 22)
        async with server:
            await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]))
