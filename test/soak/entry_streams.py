#!/usr/bin/env python3
"""The platform's interface held to one promise (ORDER) while servers of several software versions serve.

Three instances, servers that are released and crash, instances that are killed, stand still or lose the store, and
clients that take up the streams that break off. A stream holds each of its events once, in order, from one version,
and ends as complete only after its last event. The seed decides the series of faults. The last line is one JSON
object. The stand-ins are those of review/kit.
"""
import asyncio
import collections
import json
import random
import signal
import time

import entry_rig
from entry_rig import kit

X = kit.X

SERVICE = "design-pool"
PREFIX = "/design/"
MACHINES = 3
CLIENTS = 24
SERVERS = 4  # Of each version.
EVENTS = 30
FIRST_EVENT_S = 0.02
EVENT_GAP_S = 0.03
DEADLINE_S = 6.0
TIMEOUT_MS = 8000
MAX_TRIES = 5
GAP_S = 2.0  # Clients abandon a stream after it.
DRAIN_S = 2.5  # A server that leaves serves for so long.
UNLIST_S = 1.2  # After a crash.
THAW_AFTER_S = 0.3  # Clients have come again by then.
ROWS_PER_S = 0.8
ROW_S = (0.3, 3.0)
ROW_KINDS = ("release", "crash", "crash", "freeze", "kill", "cut_store", "out_of_step", "out_of_step")
SHOWN = 20  # Broken promises in the output.


class StreamServer(kit.Worker):
    """A server whose events name its software version."""

    def __init__(self, fleet, version, rng):
        super().__init__(fleet, f"i-{len(fleet.workers):08x}", SERVICE, slots=100, reply=None)
        self.version, self.random = version, rng
        self.writers = set()
        self.alive = True

    def publish(self, state="ready"):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": f"v{self.version}", "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": 1,
                 "born": self.born}
        self.fleet.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive and await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await kit.read_head(reader)
        if head is None:
            return False
        await kit.read_body(head[1], reader)
        refusal = self.not_run(head[1])
        if refusal:
            writer.write(refusal)
            return True
        answer = self.begin(head[1], head[0].split(" ")[1])
        await asyncio.sleep(FIRST_EVENT_S)
        chunked = self.random.random() < 0.5
        lines = "".join(f"{name}: {value}\r\n" for name, value in answer.items())
        framing = "Transfer-Encoding: chunked" if chunked else "Connection: close"
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n{framing}\r\n\r\n".encode())
        for number in range(int(head[1].get("last-event-id", "0")) + 1, EVENTS + 1):
            if reader.at_eof() or writer.transport.is_closing():
                return False
            event = f"id: {number}\ndata: v{self.version} {number}\n\n".encode()
            writer.write(kit.chunk(event) if chunked else event)
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        if chunked:
            writer.write(b"0\r\n\r\n")
        return chunked

    async def crash(self, reset):
        """Ends all connections as the end of a process does: by a reset, or by a close where all was read."""
        self.alive = False
        self.server.close()
        self.fleet.record.add("crash", worker=self.name, version=self.version, reset=reset)
        for writer in list(self.writers):
            if reset:
                kit.reset(writer)
            else:
                writer.close()
        await asyncio.sleep(UNLIST_S)
        self.fleet.store.remove(f"servers/{self.name}")

    async def leave(self):
        self.publish("draining")
        await asyncio.sleep(DRAIN_S)
        self.fleet.store.remove(f"servers/{self.name}")
        self.alive = False
        self.server.close()


class Stream:
    """One stream over all tries of its client."""

    def __init__(self):
        self.events = []  # (version, number)
        self.origin = ""  # The attempt that brought the first event.
        self.complete = False
        self.tries = []  # (attempt, machine, status, number of events)

    def broken(self):
        numbers = [number for _, number in self.events]
        versions = sorted({version for version, _ in self.events})
        if numbers != list(range(1, len(numbers) + 1)):
            return f"ORDER numbers: {numbers}"
        if len(versions) > 1:
            return f"ORDER joined: {versions}"
        return f"ORDER ended early: {len(numbers)}" if self.complete and len(numbers) != EVENTS else ""


async def read_stream(reader, stream):
    """Adds the events to the stream as they arrive; returns whether it ended as complete."""
    text = b""
    while True:
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), GAP_S)
        data = (await asyncio.wait_for(reader.readexactly(int(line, 16) + 2), GAP_S))[:-2]
        if not data:
            return True
        text += data
        *whole, text = text.split(b"\n\n")
        for event in whole:
            fields = dict(row.split(": ", 1) for row in event.decode().split("\n"))
            stream.events.append((fields["data"].split(" ")[0], int(fields["id"])))


async def one_try(fleet, machine, stream, end):
    """Returns the status; 0 without an answer. Sets `complete`."""
    attempt = fleet.new_id()
    before = len(stream.events)
    headers = {"Host": kit.HOST, X + "Attempt-Id": attempt, "Authorization": "Token key-one", "Connection": "close",
               X + "Deadline-Ms": str(int((end - time.monotonic()) * 1000))}
    if stream.events:
        headers.update({"Last-Event-Id": str(stream.events[-1][1]), "Resumes": stream.origin})
    status, writer = 0, None
    try:
        reader, writer = await asyncio.open_connection(machine.ip, fleet.ports)
        writer.write(kit.message(f"POST {PREFIX}2f HTTP/1.1", headers, b"hi"))
        head = await asyncio.wait_for(kit.read_head(reader), GAP_S)
        status = int(head[0].split()[1]) if head else 0
        if status == 200:
            stream.complete = await read_stream(reader, stream)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    if stream.events and not stream.origin:
        stream.origin = attempt
    stream.tries.append((attempt, machine.name, status, len(stream.events) - before))
    fleet.record.add("tried", id=attempt, machine=machine.name, status=status, events=len(stream.events) - before,
                     complete=stream.complete)
    return status


async def work(fleet, rng, streams, is_over):
    while not is_over():
        stream = Stream()
        end = time.monotonic() + DEADLINE_S
        for _ in range(MAX_TRIES):
            if end - time.monotonic() < 0.1:
                break
            await one_try(fleet, rng.choice(fleet.machines), stream, end)
            if stream.complete:
                break
            await asyncio.sleep(rng.uniform(0, 0.3))
        streams.append(stream)
        await asyncio.sleep(rng.uniform(0, 0.2))


class Faults:
    """Plays rows of faults, which overlap."""

    def __init__(self, fleet, rng):
        self.fleet, self.random = fleet, rng
        self.version = 1
        self.played = collections.Counter()

    def serving(self):
        return [server for server in self.fleet.workers if server.alive]

    async def add(self, version):
        server = StreamServer(self.fleet, version, random.Random(self.random.getrandbits(64)))
        await server.start()

    async def release(self, leave=True):
        old = self.serving()
        self.version += 1
        for _ in range(SERVERS):
            await self.add(self.version)
        if leave:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await asyncio.gather(*(server.leave() for server in old if server.alive))

    async def crash(self, version=None):
        some = [server for server in self.serving() if version in (None, server.version)]
        if some:
            server = self.random.choice(some)
            await server.crash(reset=self.random.random() < 0.5)
            await self.add(server.version)

    async def out_of_step(self, machine, seconds):
        """A version joins while one machine stands still, and its servers crash as the machine goes on."""
        machine.signal(signal.SIGSTOP)
        await self.release(leave=False)
        version = self.version
        await asyncio.sleep(seconds)
        crashes = [self.crash(version) for _ in range(2)]
        await asyncio.sleep(0)
        ending = asyncio.gather(*crashes)
        await asyncio.sleep(THAW_AFTER_S)
        machine.signal(signal.SIGCONT)
        await ending

    async def row(self, at, seconds, kind):
        await asyncio.sleep(at)
        machine = self.random.choice(self.fleet.machines)
        self.fleet.record.add("fault", kind=kind, seconds=f"{seconds:.1f}", machine=machine.name)
        self.played[kind] += 1
        if kind == "release":
            await self.release()
        elif kind == "crash":
            await self.crash()
        elif kind == "out_of_step":
            await self.out_of_step(machine, seconds)
        elif kind == "kill":
            if machine.process.returncode is None:
                machine.end(signal.SIGKILL)
        elif kind == "freeze":
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            machine.signal(signal.SIGCONT)
        else:
            machine.store_link.cut()
            await asyncio.sleep(seconds)
            machine.store_link.heal()

    async def play(self, seconds):
        rows = [(self.random.uniform(0.5, seconds - 0.5), self.random.uniform(*ROW_S), self.random.choice(ROW_KINDS))
                for _ in range(int(ROWS_PER_S * seconds))]
        await asyncio.gather(*(self.row(*row) for row in sorted(rows)))


async def play(options, folder):
    fleet = kit.Fleet(folder, MACHINES)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    rng = random.Random(options.seed)
    fleet.add_service(SERVICE)
    fleet.add_route(PREFIX, "streaming", SERVICE, max_attempts=2, resumable=True, gap_target_ms=500,
                    timeout_ms=TIMEOUT_MS)
    for _ in range(SERVERS):
        StreamServer(fleet, 1, random.Random(rng.getrandbits(64)))
    try:
        await fleet.start()
        over, streams, faults = [], [], Faults(fleet, rng)
        working = asyncio.gather(*(work(fleet, random.Random(rng.getrandbits(64)), streams, lambda: over)
                                   for _ in range(CLIENTS)))
        await faults.play(options.seconds)
        over.append(True)
        await working
        return summary(fleet, options.seed, streams, faults)
    finally:
        await fleet.stop()
        entry_rig.keep_files(options, fleet, folder)


def summary(fleet, seed, streams, faults):
    broken = [f"{stream.broken()} {stream.tries}" for stream in streams if stream.broken()]
    broken += [f"{machine.name} ended by itself: {end}" for machine in fleet.machines for end in machine.ended_by_itself]
    taken_up = [stream for stream in streams if sum(events > 0 for *_, events in stream.tries) > 1]
    complete = sum(stream.complete for stream in streams)
    if not complete:
        broken.append("no stream was served")
    return {"seed": seed, "holds": not broken, "broken": broken[:SHOWN], "broken_count": len(broken),
            "rules": collections.Counter(" ".join(line.split()[:2]) for line in broken), "streams": len(streams),
            "complete": round(complete / max(1, len(streams)), 4), "went_on": len(taken_up), "faults": faults.played}


if __name__ == "__main__":
    entry_rig.run(play, seconds={"type": float, "default": 12})
