"""Case 2: a worker that spoils one byte in the head of an answer ends the process that reads it."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
import fleet as kit  # noqa: E402
from fleet import X  # noqa: E402

# The site file's `garble`: share = 0.35 of the workers (here 1 of 3) spoil x = 0.02 of their answers for 5.5 s.
SPOILED_SHARE = 0.02
GARBLE_S = 5.5
GARBLES = 5  # BENCH.md: a disruption may come more than once.
CONTACT_S = 4.0  # RULES.md, "In touch": contact_ms.
CLIENTS_PER_MACHINE = 6
PAUSE_S = 0.05
MOST_LOST = 3  # RULES.md, LOST: "more than three times".

# SYSTEM.md: an order-tag reads 2,368 prompt tokens, 157 a millisecond, and has 5 events; 26 ms as in the site file.
kit.FIRST_EVENT_S, kit.EVENTS = 0.041, 5


def spoiled(answer):
    """An answer in whose head one byte is wrong: a line of the head ends in "C\\n" and not in "\\r\\n"."""
    return kit.message("HTTP/1.1 200 OK", answer, b"x" * 20).replace(b"20\r\n", b"20C\n")


async def case(fleet, trouble):
    garbling = [False]

    async def faulty(worker, method, target, headers, reader, writer):
        if not garbling[0] or fleet.random.random() >= SPOILED_SHARE:
            return await kit.answer_stream(worker, method, target, headers, reader, writer)
        await kit.read_body(headers, reader)
        answer = worker.begin(headers, target)
        fleet.record.add("spoiled", id=answer[X + "Attempt-Id"], worker=worker.name)
        writer.write(spoiled(answer))
        await writer.drain()
        return False

    fleet.add_service("oleander-pool")
    fleet.add_route("/tag/", "streaming", "oleander-pool", resumable=True, timeout_ms=3000, goal_ms=500,
                    max_attempts=2)
    sound = set()
    for number, reply in enumerate((faulty, kit.answer_stream, kit.answer_stream)):
        worker = kit.Worker(fleet, f"i-{number:08x}", "oleander-pool", slots=96, reply=reply)
        if number > 0:
            sound.add(worker.name)
    await fleet.start()

    running, lost = [True], []

    async def client(machine):
        kept = kit.KeptClient(fleet, machine)
        while running[0]:
            answer = await kept.call("POST", "/tag/2f", b"x" * 2400, deadline_ms=3000)
            ran_at = [name for _, name in fleet.runs.get(answer.attempt, [])]
            if answer.kept and answer.note.startswith("closed without") and ran_at and set(ran_at) <= sound:
                lost.append(answer.attempt)
            await asyncio.sleep(PAUSE_S)
        kept.close()

    clients = [asyncio.ensure_future(client(machine)) for machine in fleet.machines
               for _ in range(CLIENTS_PER_MACHINE)]
    await asyncio.sleep(CONTACT_S)
    for _ in range(GARBLES):
        garbling[0] = trouble
        await asyncio.sleep(GARBLE_S)
        garbling[0] = False
        await asyncio.sleep(CONTACT_S)
    running[0] = False
    await asyncio.gather(*clients)
    ends = {machine.name: len(machine.ended_by_itself) for machine in fleet.machines}
    print("processes that ended by themselves:", ends)
    print("kept connections closed without an answer while a sound worker ran the request:", len(lost))
    return [f"LOST: {len(lost)} requests"] if len(lost) > MOST_LOST else []


kit.run(HERE, case)
