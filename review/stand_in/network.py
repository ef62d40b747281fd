"""Links between nodes, and from nodes to servers, that can be cut.

Each node reads the store at a port of its own, where the addresses of others are told as those of the
links that lead there, as with address translation. A link that is cut holds up bytes, loses
datagrams and says nothing, or it refuses connections and resets those that are open.
"""

import asyncio
import struct


class Link:
    """`delay_s`: how long bytes and datagrams take one way."""

    def __init__(self, target, delay_s=0.0):
        self.target, self.delay_s = target, delay_s  # the target is the port of the far end
        self.is_cut = False
        self.refuses = False
        # Called with each datagram that passes towards the far end, and with each one back.
        self.on_datagram = None
        self.on_answer = None
        self._ways = {}
        self._open = set()

    async def start(self, with_datagrams=False):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        if with_datagrams:
            loop = asyncio.get_running_loop()
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: NearSide(self), local_addr=("127.0.0.1", self.port))

    def cut(self, refuses=False):
        self.is_cut, self.refuses = True, refuses
        if refuses:
            for writer in list(self._open):
                writer.transport.abort()

    def heal(self):
        self.is_cut = self.refuses = False

    async def _serve(self, near_reader, near_writer):
        if self.refuses:
            near_writer.transport.abort()
            return
        self._open.add(near_writer)
        try:
            await self._until_open()
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            await asyncio.gather(self._pass(near_reader, far_writer),
                                 self._pass(far_reader, near_writer))
        except (ConnectionError, asyncio.CancelledError):
            # The far end is gone, or the case has ended.
            pass
        self._open.discard(near_writer)
        near_writer.close()

    async def _until_open(self):
        while self.is_cut:
            await asyncio.sleep(0.01)

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay_s)
                await self._until_open()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    # Datagrams.

    def to_far(self, data, sender):
        if not self.is_cut:
            if self.on_datagram:
                self.on_datagram(data)
            asyncio.ensure_future(self._to_far(data, sender))

    async def _to_far(self, data, sender):
        await asyncio.sleep(self.delay_s)
        if sender not in self._ways:
            loop = asyncio.get_running_loop()
            self._ways[sender], _ = await loop.create_datagram_endpoint(
                lambda: FarSide(self, sender), remote_addr=("127.0.0.1", self.target))
        self._ways[sender].sendto(data)

    def to_near(self, data, sender):
        if not self.is_cut:
            if self.on_answer:
                self.on_answer(data)
            asyncio.get_running_loop().call_later(
                self.delay_s, self._datagrams.sendto, data, sender)


class NearSide(asyncio.DatagramProtocol):
    def __init__(self, link):
        self.link = link

    def datagram_received(self, data, sender):
        self.link.to_far(data, sender)


class FarSide(asyncio.DatagramProtocol):
    """Takes the answers to what one sender has sent."""

    def __init__(self, link, sender):
        self.link, self.sender = link, sender

    def datagram_received(self, data, _):
        self.link.to_near(data, self.sender)


class View:
    """What one node is told of the store: addresses are translated to its links."""

    def __init__(self):
        self.ports = {}  # port -> port of the link

    def translate(self, value):
        for port, link_port in self.ports.items():
            value = value.replace(f'"127.0.0.1:{port}"'.encode(),
                                  f'"127.0.0.1:{link_port}"'.encode())
            value = value.replace(encoded(port), encoded(link_port))
        return value


def encoded(port):
    """A loopback address as nodes encode it in their entries."""
    return b"\x04\x7f\x00\x00\x01" + struct.pack("<H", port)
