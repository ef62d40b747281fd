"""A session whose key was taken away writes and commits on, in a transaction that it has open."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_in_2.world import CannotRun, main  # noqa: E402

DATABASE = "lepu270"
# A margin for the clocks of the record beyond the bounds of the rule.
MARGIN_S = 0.5
PAUSE_S = 1.0
WATCH_S = 12.0
# The bounds of the site where tenants are told apart.
SITE_BOUNDS = {"configuration-apply-ms": 6000, "contact-ms": 6000, "drain-ms": 10000}


def tenant(name, *keys):
    return {
        "name": name,
        "api-keys": list(keys),
        "priority": 1,
        "rate-per-s": 1000.0,
        "burst": 1000.0,
    }


async def case(world):
    world.bounds.update(SITE_BOUNDS)
    group = await world.add_group("huvo11a", ["i-11", "i-12", "i-13"])
    routes = [(DATABASE, "primary", group.name, 0)]
    world.configure(routes, [tenant("bakers", "k1", "k2"), tenant("millers", "k3")])
    await world.add_gateways(3)
    # Longer than `contact-ms`, so that all machines are in touch.
    await asyncio.sleep(world.bounds["contact-ms"] / 1000 + 1)
    client = await world.gateways[1].session(DATABASE, "k1")
    await client.done("WRITE stock 1")
    if not (await client.run("BEGIN")).is_done:
        raise CannotRun("no transaction is opened")
    await client.run("WRITE stock 2")
    kept = ["k2"] if world.trouble else ["k1", "k2"]
    acknowledged_at = world.configure(routes, [tenant("bakers", *kept), tenant("millers", "k3")])
    bound_s = world.bounds["configuration-apply-ms"] / 1000
    broken = False
    number = 2
    while time.monotonic() < acknowledged_at + WATCH_S:
        await asyncio.sleep(PAUSE_S)
        number += 1
        last = time.monotonic() >= acknowledged_at + WATCH_S
        text = "COMMIT" if last else f"WRITE stock {number}"
        sent_at = time.monotonic()
        answer = await client.run(text)
        ran = any(run["id"] == answer.id for run in group.runs)
        if world.trouble and ran and sent_at > acknowledged_at + bound_s + MARGIN_S:
            after_ms = (sent_at - acknowledged_at) * 1000
            world.record(
                f"CONFIG: {answer.id} ({text}) ran under the dropped key k1, sent {after_ms:.0f} ms"
                " after the acknowledgement"
            )
            broken = True
    if not world.trouble and not answer.is_done:
        raise CannotRun("the transaction is not committed")
    return broken


main(__file__, case)
