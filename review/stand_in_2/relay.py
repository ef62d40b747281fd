"""A TCP relay on a loopback address whose open connections can go silent while new ones work."""

import asyncio

from .address import HOST


class Relay:
    """Passes bytes on to an address."""

    def __init__(self, target):
        self.target = target
        self.address = None
        self.silenced = set()
        self.open = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def silence(self):
        """Lets all connections that are open go silent for good, and resets none."""
        self.silenced |= self.open
        return len(self.open)

    async def serve(self, reader, writer):
        key = object()
        self.open.add(key)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self.copy(key, reader, far_writer), self.copy(key, far_reader, writer)
            )
        except OSError:
            pass
        finally:
            self.open.discard(key)
            writer.close()

    async def copy(self, key, reader, writer):
        try:
            while data := await reader.read(65536):
                if key in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if key in self.silenced:
            return
        writer.close()
