"""The platform's promotion service, which doesn't check fencing tokens."""

import asyncio
import json

from . import http

# A server that is named leads that long after the call, which is then answered.
PROMOTE_S = 0.3


class Promotions:
    def __init__(self, groups, record):
        self.groups, self.record = {group.name: group for group in groups}, record
        self.calls = []  # (fence, instance, holder) in the order of their arrival

    async def start(self):
        self._server, self.port = await http.serve(self._handle)

    async def _handle(self, method, path, query, headers, body):
        if (method, path) != ("POST", "/promotion"):
            return 404, {}
        call = json.loads(body)
        group, instance = self.groups[call["service"]], call["instance-id"]
        fence = int(headers["spurpier-fencing-token"])
        holder = headers["spurpier-duty-holder"]
        highest = max((known for known, _, _ in self.calls), default=0)
        self.calls.append((fence, instance, holder))
        self.record.note("promotion-called", server=instance, fence=fence, holder=holder,
                         highest_before=highest)
        server = group.servers.get(instance)
        if server is None or not server.running:
            self.record.note("promotion-refused", server=instance, fence=fence)
            return 409, {}
        await asyncio.sleep(PROMOTE_S)
        group.promote(instance)
        return 200, {}
