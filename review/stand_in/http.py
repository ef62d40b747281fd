"""A small HTTP/1.1 server: keeps connections open and answers JSON."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 503: "Service Unavailable"}


class Silence(Exception):
    """The call is not answered, and its connection says nothing further."""


async def read_request(reader):
    """The next request of a connection; None at its end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().rstrip("\r\n")
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    split = urlsplit(target)
    return method, split.path, dict(parse_qsl(split.query, keep_blank_values=True)), headers, body


async def serve(handle, port=0):
    """Serves `handle(method, path, query, headers, body) -> (status, JSON)` on a loopback port."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, told = await handle(*request)
                body = json.dumps(told).encode()
                head = (f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
                writer.write(head.encode() + body)
                await writer.drain()
        except Silence:
            # Holds the connection open until the other side gives it up.
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port)
    return server, server.sockets[0].getsockname()[1]
