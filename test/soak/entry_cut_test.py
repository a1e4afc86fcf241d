#!/usr/bin/env python3
"""Instances that are cut off from all backend servers serve their callers through the others (RECOVER).

Two of three instances lose their links to the servers for some seconds, while callers, the store and the third
instance still reach them. Their connections to servers are reset, and new ones are refused, or hang. From the bound
`contact_ms` on, they have to serve their callers' first attempts at least two thirds as often as the third one.
"""
import asyncio
import base64
import collections
import json
import random
import socket

import entry_rig
from entry_rig import kit

SERVICE = "order-desk"
PREFIX = "/deposit/"
WORKERS = 5
CUT_MACHINES = (0, 1)
CLIENTS = 8  # Of each machine.
PAUSE_S = (0.02, 0.1)
CUT_AT_S = 1.0
CUT_S = 8.0
AFTER_S = 2.0  # After the cut, until the links are used again.
END_S = 3.0
DEADLINE_MS = 1000
FILLERS = 4  # Connections that fill the backlog of a listener.


class Worker(kit.Worker):
    """Serves one port for the machines that are never cut off, and the next one for those that are."""

    async def start(self):
        await super().start()
        self.other_writers = set()
        await self.open_other()

    async def open_other(self):
        self.other = await asyncio.start_server(self.serve_other, self.ip, self.port + 1, limit=1 << 20, backlog=1024)

    async def serve_other(self, reader, writer):
        self.other_writers.add(writer)
        await self.serve(reader, writer)
        self.other_writers.discard(writer)

    def cut(self, hangs):
        self.other.close()
        for writer in list(self.other_writers):
            kit.reset(writer)
        self.full = None
        if hangs:  # No further connection is established once the backlog is full.
            self.full = socket.socket()
            self.full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.full.bind((self.ip, self.port + 1))
            self.full.listen(0)
            self.fillers = [socket.socket() for _ in range(FILLERS)]
            for filler in self.fillers:
                filler.setblocking(False)
                filler.connect_ex((self.ip, self.port + 1))

    async def heal(self):
        if self.full:
            for each in [self.full, *self.fillers]:
                each.close()
        await self.open_other()


def with_other_port(item):
    """The store's item as the machines see it that are cut off."""
    if not item["key"].startswith("servers/") or "value" not in item:
        return item
    entry = json.loads(base64.b64decode(item["value"]))
    ip, port = entry["address"].split(":")
    entry["address"] = f"{ip}:{int(port) + 1}"
    return dict(item, value=base64.b64encode(json.dumps(entry).encode()).decode())


async def handle_with_other_port(store, method, target, body):
    status, document = await store.handle(method, target, body)
    for name in ("items", "events"):
        if name in document:
            document = dict(document, **{name: [with_other_port(item) for item in document[name]]})
    return status, with_other_port(document) if "key" in document else document


async def client(fleet, machine, rng, counts, phase):
    while phase["name"] != "over":
        name = phase["name"]
        kept = kit.KeptClient(fleet, machine)
        answer = await kept.call("POST", PREFIX + "2f", b"x" * 300, DEADLINE_MS)
        kept.close()
        counts[(name, machine.number in CUT_MACHINES)][answer.status == 200] += 1
        await asyncio.sleep(rng.uniform(*PAUSE_S))


async def play(options, folder):
    fleet = kit.Fleet(folder, 3)
    rng = random.Random(options.seed)
    fleet.add_service(SERVICE)
    fleet.add_route(PREFIX, "mutating", SERVICE)
    for number in range(WORKERS):
        Worker(fleet, f"i-{number:08x}", SERVICE)
    other_store = await asyncio.start_server(
        lambda reader, writer: fleet.serve_calls(
            reader, writer, lambda *call: handle_with_other_port(fleet.store, *call)),
        f"{fleet.net}.1", fleet.ports + 2, limit=1 << 22)
    for number in CUT_MACHINES:
        fleet.machines[number].store_link.target = (f"{fleet.net}.1", fleet.ports + 2)
    counts = collections.defaultdict(lambda: [0, 0])  # [failed, served] by phase and whether cut off.
    phase = {"name": "before"}
    try:
        await fleet.start()
        working = asyncio.gather(*(client(fleet, machine, random.Random(rng.random()), counts, phase)
                                   for machine in fleet.machines for _ in range(CLIENTS)))
        await asyncio.sleep(CUT_AT_S)
        fleet.record.add("cut", how=options.how)
        phase["name"] = "begins"
        for worker in fleet.workers:
            worker.cut(hangs=options.how == "hang")
        await asyncio.sleep(kit.BOUNDS["contact_ms"] / 1000)
        phase["name"] = "cut"
        await asyncio.sleep(CUT_S - kit.BOUNDS["contact_ms"] / 1000)
        phase["name"] = "heals"
        fleet.record.add("healed")
        for worker in fleet.workers:
            await worker.heal()
        await asyncio.sleep(AFTER_S)
        phase["name"] = "after"
        await asyncio.sleep(END_S)
        phase["name"] = "over"
        await working
    finally:
        await fleet.stop()
        other_store.close()
        entry_rig.keep_files(options, fleet, folder)
    return summary(options, counts, fleet)


def summary(options, counts, fleet):
    shares = {f"{name}, {'cut off' if cut else 'others'}": (served, failed + served)
              for (name, cut), (failed, served) in sorted(counts.items())}
    broken = []
    for name in ("before", "cut", "after"):
        (served, asked), (others, others_asked) = (shares[f"{name}, {who}"] for who in ("cut off", "others"))
        if 3 * served * others_asked < 2 * others * asked or others == 0:
            broken.append(f"RECOVER {name}: {served} of {asked}, the others {others} of {others_asked}")
    twice = [runs for runs in fleet.runs.values() if len(runs) > 1]
    broken += [f"TWICE: {runs}" for runs in twice[:5]]
    broken += [f"{machine.name} ended by itself: {end}" for machine in fleet.machines for end in machine.ended_by_itself]
    return {"how": options.how, "holds": not broken, "broken": broken, "served": shares}


if __name__ == "__main__":
    entry_rig.run(play, how={"choices": ("refuse", "hang"), "default": "refuse"})
