"""A link between a node and a service of the platform, which can hold up the bytes of a
connection.

Bytes that are held up arrive when the link passes them again, also if their sender has closed the
connection meanwhile. They are lost if their sender has reset it.
"""

import asyncio


class Gate:
    """`on_held`, if given, is called with the bytes that are held up."""

    def __init__(self, record, port, on_held=None):
        self.record, self.target, self.on_held = record, port, on_held
        self.hold_s = 0.0  # how long the next bytes of a connection are held up

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, near_reader, near_writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        back = asyncio.create_task(self._pass_back(far_reader, near_writer))
        held = 0.0
        try:
            while True:
                data = await near_reader.read(65536)
                if not data:
                    break
                if self.hold_s and not held:
                    held = self.hold_s
                    self.record.note("link-holds-up", bytes=len(data), seconds=held)
                    if self.on_held:
                        self.on_held(data)
                    if not await self._hold(near_reader, held):
                        far_writer.transport.abort()
                        return
                    self.record.note("link-passes-on", bytes=len(data))
                far_writer.write(data)
                await far_writer.drain()
            far_writer.write_eof()
            await back
        except asyncio.CancelledError:
            # The case has ended.
            pass
        except ConnectionError:
            self.record.note("link-lost-bytes", why="reset by the sender")
            far_writer.transport.abort()
        finally:
            near_writer.close()

    async def _hold(self, near_reader, seconds):
        """Waits; False if the sender resets the connection meanwhile."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            if isinstance(near_reader.exception(), ConnectionError):
                self.record.note("link-lost-bytes", why="reset by the sender")
                return False
            await asyncio.sleep(0.01)
        return True

    async def _pass_back(self, far_reader, near_writer):
        try:
            while data := await far_reader.read(65536):
                near_writer.write(data)
                await near_writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        near_writer.close()
