"""A session's read misses the session's own commit after its route has moved away and back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_in_2.group import ids_in  # noqa: E402
from stand_in_2.world import CannotRun, main  # noqa: E402

DATABASE = "fiti832ti23"
MAX_STALENESS_MS = 2500
# `config_storm` of the site: a change each 0.33 s.
CHANGE_GAP_S = 0.33
# `replica_lag` of the site, "deaf": one replica receives nothing for up to 6.5 s.
DEAF_S = 6.0


async def case(world):
    old = await world.add_group("huvo11a", ["i-11", "i-12", "i-13"])
    new = await world.add_group("kafi81c", ["i-21", "i-22", "i-23"])

    def move_to(group):
        world.configure([(DATABASE, "read_your_writes", group.name, MAX_STALENESS_MS)])

    move_to(old)
    await world.add_gateways(3)
    # The node in the zone of the replica i-12, which its reads go to.
    client = await world.gateways[1].session(DATABASE)
    await client.done("WRITE stock 1")
    for _ in range(10):
        await client.done("READ stock")
        await asyncio.sleep(0.05)
    replica = old.servers["i-12"]
    if world.trouble:
        replica.deaf = True
        world.record("i-12 receives nothing for a while")
        asyncio.get_running_loop().call_later(DEAF_S, setattr, replica, "deaf", False)
    await asyncio.sleep(0.2)
    own = await client.done("WRITE stock 2")
    acknowledged_at = time.monotonic()
    if world.trouble:
        move_to(new)
        await asyncio.sleep(CHANGE_GAP_S)
        await client.done("WRITE order 7")
        if not any(run["text"] == "WRITE order 7" for run in new.runs):
            raise CannotRun("the route has not moved")
        move_to(old)
        await asyncio.sleep(CHANGE_GAP_S)
    broken = False
    while time.monotonic() < acknowledged_at + MAX_STALENESS_MS / 1000 - 0.5:
        answer = await client.run("READ stock")
        run = next((run for run in old.runs if run["id"] == answer.id), None)
        if answer.is_done and run is not None and own.id not in ids_in(run):
            world.record(
                f"STALE: {answer.id} ran on the log of {run['server']}, which lacks {own.id} of"
                " the same session"
            )
            broken = True
        await asyncio.sleep(0.1)
    return broken


main(__file__, case)
