"""Case 4: a holder that is stopped, killed and started again takes its duty back at once: A, B, A."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
import fleet as kit  # noqa: E402

LEASE_S = 3.0  # SYSTEM.md: lease_ms.
GAP_S = 1.0  # The site file's `roll_term` with how = "busy": gap_s = 1.0.
KILL_AFTER_S = 0.1
AFTER_REPORT_S = 0.3
CALM_S = 13.0  # Between two rounds; longer than any cooldown.
ROUNDS = 5
MACHINES = 2


async def case(fleet, trouble):
    fleet.add_service("order-desk")
    fleet.add_route("/deposit/", "mutating", "order-desk")
    for number in range(3):
        kit.Worker(fleet, f"i-{number:08x}", "order-desk")
    await fleet.start()
    await asyncio.sleep(kit.LEAD_S)
    for _ in range(ROUNDS):
        reports = len(fleet.duties)
        while len(fleet.duties) == reports:
            await asyncio.sleep(0.01)
        await asyncio.sleep(AFTER_REPORT_S)
        # `roll_term` with how = "leader": the machines are stopped and started in turn, the holder first.
        begin = fleet.record.now()
        first = holder(fleet)
        first.end(signal.SIGTERM)
        if trouble:
            # `node_kill`: a process of the system is killed.
            await asyncio.sleep(KILL_AFTER_S)
            first.end(signal.SIGKILL)
        await asyncio.sleep(begin + GAP_S - fleet.record.now())
        holder(fleet).end(signal.SIGTERM)
        await asyncio.sleep(CALM_S)
        if broken_turns(fleet):
            break
    return broken_turns(fleet)


def holder(fleet):
    return next(machine for machine in fleet.machines if machine.name == fleet.duties[-1][1])


def broken_turns(fleet):
    """RULES.md, ONE: holders act in the order A, B, A inside lease_ms, for one duty and subject."""
    turns, broken = [], []  # (holder, first act, last act) of the duty `usage`; all windows are one subject.
    for at, machine, _, target, _ in fleet.duties:
        if target != "/usage":
            continue
        if turns and turns[-1][0] == machine:
            turns[-1] = (machine, turns[-1][1], at)
        else:
            turns.append((machine, at, at))
    for before, between, after in zip(turns, turns[1:], turns[2:]):
        if before[0] == after[0] and after[1] - before[2] <= LEASE_S:
            broken.append(f"ONE: {before[0]} acted at {before[2]:.3f} s, {between[0]} at {between[1]:.3f} s, "
                          f"{after[0]} at {after[1]:.3f} s")
    return broken


kit.run(HERE, case, machines=MACHINES)
