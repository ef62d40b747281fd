"""A deployment whose links from nodes to the store, to servers and to each other can be cut."""

import asyncio

from .deployment import Deployment, configuration
from .group import Group
from .network import Link, View
from .promotion import Promotions
from .store import Store


class World:
    """`services`: the (instance, zone) of each server by the service's name, the primary first.
    `between_zones_s`: how long bytes take one way from a node to another zone."""

    def __init__(self, record, folder, services, synchronous=0, between_zones_s=0.0):
        self.between_zones_s = between_zones_s
        self.record, self.services, self.synchronous = record, services, synchronous
        self.store = Store(record)
        self.groups = {name: Group(name, self.store, record, synchronous) for name in services}
        self.promotions = Promotions(self.groups.values(), record)
        self.deployment = Deployment(record, folder)
        self.nodes = {}
        self.links = {}

    async def start(self):
        await self.store.start()
        for name, places in self.services.items():
            await self.groups[name].start(places)
        await self.promotions.start()
        self.store.put("op", "config", configuration(self.services, self.synchronous))
        views = {}
        for number, zone in enumerate(self.deployment.zones):
            name = f"n{number + 1}"
            views[name] = View()
            port = await self.store.start_view(views[name])
            to_store = await self._link(name, "store", port)
            self.nodes[name] = self.deployment.add(
                name, zone, to_store.port, self.promotions.port)
        servers = [server for group in self.groups.values() for server in group.servers.values()]
        for node in self.nodes.values():
            for server in servers:
                link = await self._link(node.name, server.instance, server.port,
                                        self._delay(node.zone, server.zone))
                views[node.name].ports[server.port] = link.port
            for other in self.nodes.values():
                if other is not node:
                    link = await self._link(node.name, other.name, other.internal,
                                            self._delay(node.zone, other.zone), True)
                    views[node.name].ports[other.internal] = link.port
        for node in self.nodes.values():
            node.start()
        await self.deployment.until_ready()

    def _delay(self, zone, other_zone):
        return 0.0 if zone == other_zone else self.between_zones_s

    async def _link(self, near, far, port, delay_s=0.0, with_datagrams=False):
        link = self.links[(near, far)] = Link(port, delay_s)
        await link.start(with_datagrams)
        return link

    def cut(self, what, ways, seconds, refuses=False):
        """Cuts the links from each near end to its far end for some seconds."""
        for way in ways:
            self.links[way].cut(refuses)
        self.record.note("cut", what=what, ways=",".join(f"{near}-{far}" for near, far in ways))
        asyncio.get_running_loop().call_later(seconds, self._heal, what, ways)

    def _heal(self, what, ways):
        for way in ways:
            self.links[way].heal()
        self.record.note("cut-heals", what=what)
