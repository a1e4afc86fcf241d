"""Case 3: an order of a holder that was cut off reaches the platform after the next holder's orders."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
import fleet as kit  # noqa: E402

CUT_S = 12.0  # The site file's `node_cut`: share = 0.35, for_s = 12.0; here 1 machine of 3.
THAW_S = 0.3  # SYSTEM.md: thaw_ms.
CONTACT_S = 4.0  # SYSTEM.md: contact_ms.
BEFORE_ORDER_S = 0.5  # The cut begins this long before the holder orders again.
REORDER_S = 6.0  # So often the system repeats an order that had no effect (src/entry/size_orderer.cc).
SETTLE_S = 14.0
# SYSTEM.md and the site file: `oleander-pool` grows and shrinks by orders.
SCALING = {"min_count": 1, "max_count": 6, "boot_s": 4.0, "spot_price": 0.18,
           "zone_prices": {"stgo-a": 1.0, "conce-a": 0.8, "stgo-b": 1.25}}
ENGINE = {"slots": 96, "kv_capacity": 1074493}


async def case(fleet, trouble):
    fleet.add_service("oleander-pool", scaling=SCALING, engine=ENGINE)
    fleet.add_route("/design/", "streaming", "oleander-pool", resumable=True, timeout_ms=15000, goal_ms=600,
                    max_attempts=2)
    for number in range(6):
        kit.Worker(fleet, f"i-{number:08x}", "oleander-pool", slots=96, reply=kit.answer_stream)
    # PROTOCOL.md, "Singleton duties": "The call returns 409 if none are available there at the moment."
    fleet.duty_answer = lambda target, _: (409, {}) if target == "/scale" else (200, {})
    await fleet.start()
    running, healed = [True], {}

    async def client(machine):
        kept = kit.KeptClient(fleet, machine)
        while running[0]:
            await kept.call("POST", "/design/2f", b"x" * 1200, deadline_ms=15000)
            await asyncio.sleep(0.2)
        kept.close()

    clients = [asyncio.ensure_future(client(machine)) for machine in fleet.machines for _ in range(4)]
    await asyncio.sleep(kit.LEAD_S)
    orders = [duty for duty in fleet.duties if duty[3] == "/scale"]
    while not orders or fleet.record.now() - orders[-1][0] < REORDER_S - BEFORE_ORDER_S:
        await asyncio.sleep(0.02)
        orders = [duty for duty in fleet.duties if duty[3] == "/scale"]
    holder = next(machine for machine in fleet.machines if machine.name == orders[-1][1])
    if trouble:
        holder.store_link.cut()
        holder.cloud_link.cut()
    await asyncio.sleep(CUT_S)
    if trouble:
        holder.store_link.heal()
        holder.cloud_link.heal()
        healed[holder.name] = fleet.record.now()
    await asyncio.sleep(SETTLE_S)
    running[0] = False
    await asyncio.gather(*clients)
    return broken_fences(fleet, healed)


def broken_fences(fleet, healed):
    """RULES.md, ONE: a call with a lower token than was seen for its duty and subject, thaw_ms after a heal or more."""
    highest, broken = {}, []
    for at, machine, fence, target, document in fleet.duties:
        subject = (target, document.get("service"), document.get("zone"))
        excused = machine in healed and healed[machine] <= at < healed[machine] + THAW_S
        if fence < highest.get(subject, 0) and not excused:
            broken.append(f"ONE: {machine} sent token {fence} for {subject} at {at:.3f} s after {highest[subject]}")
        highest[subject] = max(fence, highest.get(subject, 0))
    return broken


kit.run(HERE, case)
