"""Faulty backend servers of entry_promises.py, and the series of faults that a seed decides."""
import asyncio
import collections
import signal
import weakref

import fleet as kit
from fleet import X

ATTEMPT = X + "Attempt-Id"
COPY_OF_REFUSAL_SHARE = 0.5  # Of the requests that come again on the connection on which they were refused.
CALM_SHARE = 0.004  # Of the requests, for each kind of fault, outside its spells.
WORK_S = (0.002, 0.04)
LONG_WORK_S = (0.3, 1.6)
STALL_S = (0.2, 3.0)
IDLE_CLOSE_S = (0.001, 0.2)
EVENTS = 12
EVENT_GAP_S = 0.01
SPELL_SHARES = (0.05, 0.2, 0.5, 0.9)
DROP_SHARE = 0.75  # Of the requests whose connection has ended before a silent server goes on.
MAX_HEAD_CUT = 400  # Bytes.
UNLIMITED = 1 << 30
# Each changes what a server does with a request or a connection.
SERVER_FAULTS = ("copy_instead",) * 4 + (
    "copy_idle", "copy_after", "two_ids", "refuse", "close_idle", "cut_request_head", "cut_request_body",
    "end_before_run", "end_in_run", "cut_answer", "work_long", "fail")
STORM_FAULTS = ("refuse", "cut_answer", "end_before_run", "fail")
STORM_SHARE = 0.9
ROW_KINDS = ("spell",) * 12 + ("storm", "storm", "silent", "silent", "full", "kill", "stop", "freeze", "cut_store",
                               "store_outage")
LENGTHS = {"storm": 2, "cut_store": 2, "store_outage": 2, "silent": 0.5, "freeze": 0.5}  # Beside the others.
ROWS_PER_S = 1.6
ROW_S = (0.3, 4.0)


class FaultyWorker(kit.Worker):
    """A server that does something wrong with a share of its requests."""

    def __init__(self, fleet, name, service, random):
        super().__init__(fleet, name, service, slots=100)
        self.random = random
        self.spells = collections.Counter()  # The share of requests by kind of fault.
        self.awake = asyncio.Event()
        self.awake.set()
        self.limit, self.open = UNLIMITED, 0  # Connections.
        self.earlier = collections.deque(maxlen=20)  # Ids of requests that were answered.
        self.refused = weakref.WeakKeyDictionary()  # Ids by connection.
        self.arrivals = []  # (second, id)
        self.played = collections.Counter()
        self.errors = []  # Of this rig.

    def draws(self, kind):
        if self.random.random() >= max(CALM_SHARE, self.spells[kind]):
            return False
        self.played[kind] += 1
        return True

    def note(self, event, attempt, **more):
        self.fleet.record.add(event, id=attempt, worker=self.name, **more)

    async def serve(self, reader, writer):
        if self.open >= self.limit:
            self.played["over_limit"] += 1
            kit.reset(writer)
            return
        self.open += 1
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        except Exception as error:  # pylint: disable=broad-except
            self.errors.append(repr(error))
        finally:
            self.open -= 1
            writer.close()

    def end_connection(self, writer):
        """Ends it by a reset or a close."""
        if self.random.random() < 0.5:
            kit.reset(writer)
        return False

    async def serve_one(self, reader, writer):
        head = await self.read_request_head(reader, writer)
        if head is None:
            return False
        method, target, _ = head[0].split(" ", 2)
        headers = head[1]
        attempt = headers.get(ATTEMPT.lower(), "")
        self.arrivals.append((self.fleet.record.now(), attempt))
        self.note("arrived", attempt, method=method)
        if self.draws("cut_request_body"):
            await reader.readexactly(self.random.randint(0, int(headers.get("content-length", "0"))))
            self.note("cut_request_body", attempt)
            return self.end_connection(writer)
        await kit.read_body(headers, reader)
        if self.draws("copy_instead"):
            writer.write(self.late_copy(attempt))
            await writer.drain()
            await asyncio.sleep(self.random.choice((0, 0, 0.01, 0.1)))
        refused = self.refused.setdefault(writer, set())
        if attempt in refused and self.random.random() < COPY_OF_REFUSAL_SHARE:
            self.played["copy_of_refusal"] += 1
            self.note("copy_of_refusal", attempt)
            writer.write(self.refusal([attempt]))
            await writer.drain()
            return await self.run(attempt, target, headers, writer)
        refusal = self.not_run(headers) or (self.refusal([attempt]) if self.draws("refuse") else None)
        if refusal:
            self.note("refused", attempt)
            self.earlier.append(attempt)
            refused.add(attempt)
            writer.write(refusal)
            return True
        if self.draws("end_before_run"):
            self.note("end_before_run", attempt)
            return self.end_connection(writer)
        await self.awake.wait()
        if (reader.at_eof() or writer.transport.is_closing()) and self.random.random() < DROP_SHARE:
            self.note("dropped", attempt)
            return False
        return await self.run(attempt, target, headers, writer)

    async def read_request_head(self, reader, writer):
        if self.draws("cut_request_head"):
            await reader.readexactly(self.random.randint(1, MAX_HEAD_CUT))
            self.end_connection(writer)
            return None
        if self.draws("copy_idle"):
            await asyncio.sleep(self.random.uniform(*IDLE_CLOSE_S))
            writer.write(self.late_copy(self.fleet.new_id()))
        timeout = self.random.uniform(*IDLE_CLOSE_S) if self.draws("close_idle") else None
        try:
            return await asyncio.wait_for(kit.read_head(reader), timeout)
        except asyncio.TimeoutError:
            return None

    async def run(self, attempt, target, headers, writer):
        answer = self.begin(headers, target)
        if self.draws("end_in_run"):
            self.note("end_in_run", attempt)
            self.end_connection(writer)
            writer.close()
        await asyncio.sleep(self.random.uniform(*(LONG_WORK_S if self.draws("work_long") else WORK_S)))
        await self.awake.wait()
        self.earlier.append(attempt)
        pieces = self.answer(attempt, target, headers, answer)
        if self.draws("cut_answer"):
            whole = b"".join(pieces)
            sent = self.random.randint(0, len(whole) - 1)
            writer.write(whole[:sent])
            await writer.drain()
            self.note("cut_answer", attempt, sent=sent, of=len(whole))
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(*STALL_S))
            return self.end_connection(writer)
        if self.draws("copy_after"):
            pieces.append(self.late_copy(attempt))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            if len(pieces) > 2:
                await asyncio.sleep(EVENT_GAP_S)
        return True

    def answer(self, attempt, target, headers, answer):
        """The parts in which the answer is written."""
        if self.draws("two_ids"):
            answer[self.random.choice((ATTEMPT.lower(), ATTEMPT.upper()))] = self.other_id()
            self.note("two_ids", attempt)
        if self.draws("fail"):
            return [kit.message("HTTP/1.1 500 Internal Server Error", answer, b"failed")]
        if not target.startswith("/stream/"):
            return [kit.message("HTTP/1.1 200 OK", answer, f"{attempt} done".encode() * self.random.randint(1, 500))]
        first = int(headers.get("last-event-id", "0")) + 1
        events = [kit.chunk(kit.event(attempt, number)) for number in range(first, EVENTS + 1)]
        return [kit.stream_head(answer), *events, b"0\r\n\r\n"]

    def other_id(self):
        return self.random.choice(self.earlier) if self.earlier else self.fleet.new_id()

    def refusal(self, ids):
        first_line = self.random.choice(("HTTP/1.1 503 Service Unavailable", "HTTP/1.1 503 Service Unavailable",
                                         "HTTP/1.1 429 Too Many Requests", "HTTP/1.1 421 Misdirected Request"))
        names = (ATTEMPT, ATTEMPT.lower())
        body = self.random.choice((b"", b"full"))
        return kit.message(first_line, {X + "Not-Run": "1", **dict(zip(names, ids))}, body)

    def late_copy(self, attempt):
        """An earlier answer, written at the point where that to `attempt` or the one after it is expected."""
        other = self.other_id()
        ids = self.random.choice(([], [], [other], [attempt, other], [other, attempt]))
        if attempt in ids and other == attempt:
            ids = []
        self.note("late_copy", attempt, ids="+".join(ids) or "none")
        if self.random.random() < 0.7:
            return self.refusal(ids)
        names = (ATTEMPT, ATTEMPT.lower())
        headers = {**dict(zip(names, ids)), X + "Server-Seal": f"{self.name}.0"}
        return kit.message("HTTP/1.1 200 OK", headers, b"earlier")


def series(random, seconds):
    """Returns the rows of a seed in order: (second, seconds, kind). What they meet is drawn when they begin."""
    rows = []
    for _ in range(int(ROWS_PER_S * seconds)):
        kind = random.choice(ROW_KINDS)
        lasts = random.uniform(*ROW_S) * LENGTHS.get(kind, 1)
        rows.append((random.uniform(0.5, seconds - 0.5), lasts, kind))
    return sorted(rows)


async def play(fleet, random, rows):
    """Plays the rows, which overlap, and returns when the last one is over."""
    draws = [random.getrandbits(64) for _ in rows]
    await asyncio.gather(*(play_row(fleet, type(random)(draw), row) for draw, row in zip(draws, rows)))


async def play_row(fleet, random, row):
    at, seconds, kind = row
    await asyncio.sleep(at)
    some = random.sample(fleet.workers, random.choice((1, 1, 2, len(fleet.workers))))
    machine = random.choice(fleet.machines)
    shares = {fault: random.choice(SPELL_SHARES) for fault in random.sample(SERVER_FAULTS, random.randint(1, 3))}
    if kind == "storm":
        some, shares = fleet.workers, {random.choice(STORM_FAULTS): STORM_SHARE}
    limit = random.randint(0, 6)
    fleet.record.add("fault", kind=kind, seconds=f"{seconds:.1f}", machine=machine.name,
                     workers="+".join(worker.name for worker in some), shares=shares)

    def apply(begins):
        if kind in ("spell", "storm"):
            for worker in some:
                (worker.spells.update if begins else worker.spells.subtract)(shares)
        elif kind == "silent":
            for worker in some[:2]:
                (worker.awake.clear if begins else worker.awake.set)()
        elif kind == "full":
            for worker in some:
                worker.limit = limit if begins else UNLIMITED
        elif kind in ("cut_store", "store_outage"):
            for each in [machine] if kind == "cut_store" else fleet.machines:
                (each.store_link.cut if begins else each.store_link.heal)()
        elif kind == "freeze":
            machine.signal(signal.SIGSTOP if begins else signal.SIGCONT)
        elif begins and machine.process.returncode is None:
            machine.end(signal.SIGKILL if kind == "kill" else signal.SIGTERM)

    apply(True)
    await asyncio.sleep(seconds)
    apply(False)
