#!/usr/bin/env python3
"""A planned stop of an instance on the platform, with requests at each moment of its grace.

Requests come on kept and on new connections; some run for longer than the grace. Each request that a server ran gets an
answer, none of them is told that it was not run, and the process ends within the grace. The stand-ins are those of
review/kit.
"""
import argparse
import asyncio
import os
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "kit"))
import fleet as kit  # noqa: E402

GRACE_S = kit.BOUNDS["grace_s"]
SLOW_WORK_S = GRACE_S + 1
SLOW_DEADLINE_MS = 10000
PAUSE_S = 0.05  # Between two requests of a client.
CLIENTS = 4
BEFORE_STOP_S = 1.0


async def answer_slowly(worker, method, target, headers, reader, writer):
    """Answers requests below /slow/ after the grace of a stop that has begun meanwhile."""
    if not target.startswith("/slow/"):
        return await kit.answer_whole(worker, method, target, headers, reader, writer)
    await kit.read_body(headers, reader)
    answer = worker.begin(headers, target)
    await asyncio.sleep(SLOW_WORK_S)
    writer.write(kit.message("HTTP/1.1 200 OK", answer, b"late"))
    await writer.drain()
    return True


class Load:
    """Clients of one machine, until `over` is set. `answers` has what they saw."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine = fleet, machine
        self.answers = []
        self.over = False

    async def send(self, client, target):
        self.answers.append(await client.call("POST", target, b"hi", SLOW_DEADLINE_MS))
        return self.answers[-1]

    async def keep_sending(self, kept):
        client = kit.KeptClient(self.fleet, self.machine)
        while not self.over:
            await self.send(client, "/deposit/a")
            if not kept:
                client.close()
            await asyncio.sleep(PAUSE_S)

    async def send_slow_ones(self):
        """One request on a new connection and one on a kept one, again and again."""
        pending = []
        while not self.over:
            fresh, kept = kit.KeptClient(self.fleet, self.machine), kit.KeptClient(self.fleet, self.machine)
            await self.send(kept, "/deposit/b")
            pending += [asyncio.ensure_future(self.send(client, "/slow/a")) for client in (fresh, kept)]
            await asyncio.sleep(10 * PAUSE_S)
        await asyncio.gather(*pending)


def broken_promises(fleet, answers):
    broken = []
    for answer in answers:
        ran = answer.attempt in fleet.runs
        if ran and answer.status == 0:
            broken.append(f"request {answer.attempt} ran and got no answer: {answer.note}")
        if ran and answer.status in (408, 421, 429, 503):
            broken.append(f"request {answer.attempt} ran and was refused with {answer.status}")
    return broken


async def case(fleet, _):
    fleet.add_service("order-desk")
    fleet.add_route("/deposit/", "mutating", "order-desk")
    fleet.add_route("/slow/", "mutating", "order-desk", timeout_ms=SLOW_DEADLINE_MS)
    for number in range(3):
        kit.Worker(fleet, f"i-{number:08x}", "order-desk", slots=1000, reply=answer_slowly)
    await fleet.start()
    machine = fleet.machines[0]
    load = Load(fleet, machine)
    clients = [load.keep_sending(kept=number % 2 == 0) for number in range(CLIENTS)] + [load.send_slow_ones()]
    running = asyncio.gather(*map(asyncio.ensure_future, clients))
    await asyncio.sleep(BEFORE_STOP_S)
    process = machine.process
    fleet.stopping = True  # The machine isn't started again.
    machine.signal(signal.SIGTERM)
    begin = fleet.record.now()
    await process.wait()
    took = fleet.record.now() - begin
    load.over = True
    await running
    broken = broken_promises(fleet, load.answers)
    if took > GRACE_S:
        broken.append(f"the stop took {took:.2f} s")
    ran = [answer for answer in load.answers if answer.attempt in fleet.runs]
    unknown = [answer for answer in ran if answer.status == 502]
    print(f"stop {took:.2f} s, {len(load.answers)} requests, {len(ran)} ran, {len(unknown)} of them with an unknown end")
    if not unknown:
        broken.append("no request was running at the end of the grace")
    return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    kit.PROGRAM = os.path.join(os.path.abspath(parser.parse_args().build), "oleanderd")
    with tempfile.TemporaryDirectory() as folder:
        kit.run(folder, case, machines=2)


main()
