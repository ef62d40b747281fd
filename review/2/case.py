"""A restarted node promotes a replica that lacks an acknowledged commit.

One service with `synchronous-replicas` 1 and three nodes. One replica receives nothing for a while. The
store goes down for some seconds and the servers' entries lapse; meanwhile all nodes lose power and the
primary crashes. As the store is back, the nodes start again, and the entries of the two replicas return
one after the other within two seconds.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_in.case import later, run_case  # noqa: E402
from stand_in.client import Client, write_until_acknowledged  # noqa: E402
from stand_in.deployment import CannotRun, Deployment, configuration  # noqa: E402
from stand_in.group import Group  # noqa: E402
from stand_in.promotion import Promotions  # noqa: E402
from stand_in.store import Store  # noqa: E402

SERVICE = "store-ledger"
PRIMARY, HOLDER, BEHIND = "i-1", "i-2", "i-3"

# The store is down that long, and the nodes from this moment until shortly after it is back.
STORE_DOWN_S = 4.5
NODES_DOWN_AT_S = 2.5
NODES_BACK_S = 0.1
# The entries of servers that live are back that long after the store: "about two seconds".
HOLDER_BACK_S = 1.9
BEHIND_BACK_S = 0.2
# The primary is down that long.
PRIMARY_DOWN_S = 8.0
# How long the service may take to have a primary again.
RECOVERY_S = 40.0

ACKNOWLEDGED = ["WRITE order-1 a", "WRITE order-2 b", "WRITE order-3 c"]


async def play(record, folder, trouble):
    store = Store(record)
    await store.start()
    group = Group(SERVICE, store, record, synchronous=1)
    await group.start([(PRIMARY, "piedmont-hall-a"), (HOLDER, "gulf-hall-a"), (BEHIND, "delta-hall-a")])
    promotions = Promotions([group], record)
    await promotions.start()
    store.put("op", "config", configuration([SERVICE], synchronous=1))
    deployment = Deployment(record, folder)
    for number, zone in enumerate(deployment.zones):
        deployment.add(f"n{number + 1}", zone, store.port, promotions.port)
    try:
        for node in deployment.nodes:
            node.start()
        await deployment.until_ready()
        await asyncio.sleep(2)
        return await act(record, store, group, deployment, trouble)
    finally:
        deployment.end()


async def act(record, store, group, deployment, trouble):
    behind = group.servers[BEHIND]
    entry = deployment.nodes[0]
    if not await write_until_acknowledged(record, entry.client, "orders", "order-0 z"):
        raise CannotRun("no write is acknowledged before the disruption")
    await asyncio.sleep(0.5)
    if trouble:
        record.note("replica-receives-nothing", server=behind.instance)
        behind.deaf = True
        store.set_mode("busy")
    down_at = asyncio.get_running_loop().time()
    acknowledged = await write_orders(record, entry)
    if len(acknowledged) < len(ACKNOWLEDGED):
        raise CannotRun("the orders are not acknowledged")
    await asyncio.sleep(down_at + NODES_DOWN_AT_S - asyncio.get_running_loop().time())
    if trouble:
        await strike(record, store, group, deployment, down_at)
    served = False
    for node in deployment.nodes:
        served = served or await write_until_acknowledged(
            record, node.client, "orders", "order-9 y", RECOVERY_S)
        if served:
            break
    await asyncio.sleep(1)
    return judge(record, group, acknowledged, served)


async def write_orders(record, node):
    """Writes the orders in one session; returns those that were acknowledged."""
    client = await Client.open(record, "shop", node.client, "orders")
    acknowledged = []
    for text in ACKNOWLEDGED:
        if (await client.run(text)).is_done:
            acknowledged.append(text)
    client.close()
    return acknowledged


async def strike(record, store, group, deployment, down_at):
    primary, holder, behind = (group.servers[name] for name in (PRIMARY, HOLDER, BEHIND))
    for node in deployment.nodes:
        node.kill()
    primary.crash()
    later(PRIMARY_DOWN_S, primary.come_back)
    # No server could write for three heartbeats: all entries have gone.
    await asyncio.sleep(down_at + STORE_DOWN_S - asyncio.get_running_loop().time())
    for server in group.servers.values():
        server.unlist()
    store.set_mode("well")
    later(BEHIND_BACK_S, behind.list)
    later(HOLDER_BACK_S, holder.list)
    await asyncio.sleep(NODES_BACK_S)
    for node in deployment.nodes:
        node.start()


def judge(record, group, acknowledged, served):
    leader = group.leader
    record.note("leader-at-the-end", server=leader.instance if leader else "none", served=served)
    if leader is None or not served:
        raise CannotRun("no server leads at the end")
    missing = [text for text in acknowledged if not leader.holds(text)]
    record.note("verdict", rule="LOST", missing=missing)
    return bool(missing)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
