"""Stand-ins of the platform's store and of its promotion service, over HTTP/1.1 with keep-alive."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .address import HOST

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    503: "Unavailable",
}
PAGE_ROWS = 500
ANSWER_DELAY_S = 0.004


async def read_request(reader):
    """The next request of a connection: method, path, query, headers and body; None at its end."""
    try:
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
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (ValueError, ConnectionError, asyncio.IncompleteReadError):
        return None
    split = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(split.query, True).items()}
    return method, split.path, query, headers, body


def respond(writer, status, body):
    data = json.dumps(body).encode() if body is not None else b""
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)


class HttpService:
    """Accepts connections and passes each request to `handle`."""

    def __init__(self):
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.handle(*request)
                if answer is None:
                    await asyncio.Event().wait()
                respond(writer, *answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Store(HttpService):
    """The platform's store, in the form `table`."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.is_down = False
        self.loses = lambda: None

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def write(self, table, part, key, value):
        """Writes one row, or removes it if `value` is None."""
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def put(self, table, key, value):
        """Writes a row of the platform: its part is empty and its value JSON."""
        return self.write(table, "", key, json.dumps(value).encode())

    def remove(self, table, key):
        self.write(table, "", key, None)

    def told(self, name):
        (table, part, key), (value, version) = name, self.rows[name]
        row = {"table": table, "part": part, "private-key": key, "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def page(self, rows, more):
        return {"rows": rows, "more": more, "ver": self.version, "now_ms": self.now_ms()}

    async def handle(self, method, path, query, _headers, body):
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.is_down:
            return 503, {}
        if (method, path) == ("GET", "/rows-get"):
            return self.rows_get(query)
        if (method, path) == ("GET", "/rows-feed"):
            return await self.rows_feed(query)
        if (method, path) == ("POST", "/rows-tx"):
            delay_s = self.loses()
            if delay_s is not None:
                # It is done now or later, and not answered.
                asyncio.get_running_loop().call_later(delay_s, self.rows_tx, json.loads(body))
                return None
            return self.rows_tx(json.loads(body))
        return 404, None

    def rows_get(self, query):
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        first = query.get("from", "").encode()
        names = sorted(
            (
                name
                for name, (value, _) in self.rows.items()
                if name[0] == query["table"]
                and name[1] == query.get("part", "")
                and name[2].encode() >= first
                and value is not None
            ),
            key=lambda name: name[2].encode(),
        )
        rows = [self.told(name) for name in names[:limit]]
        return 200, self.page(rows, len(names) > limit)

    async def rows_feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            names = [
                name
                for name, (_, version) in self.rows.items()
                if name[0] == query["table"] and version > after
            ]
            left = end - time.monotonic()
            if names or left <= 0:
                names.sort(key=lambda name: self.rows[name][1])
                return 200, self.page([self.told(name) for name in names], False)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def rows_tx(self, body):
        def name(entry):
            return entry["table"], entry["part"], entry["private-key"]

        def version_of(entry):
            value, version = self.rows.get(name(entry), (None, 0))
            return 0 if value is None else version

        conditions = body["expected-revision"]
        if any(version_of(entry) != entry["ver"] for entry in conditions):
            present = [name(entry) for entry in conditions if version_of(entry) != 0]
            return 412, self.page([self.told(each) for each in present], False)
        for entry in body["put"]:
            self.write(*name(entry), base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self.write(*name(entry), None)
        return 200, {"ver": self.version, "now_ms": self.now_ms()}


class Promotions(HttpService):
    """The promotion service; it checks fencing tokens."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.newest = {}
        self.silent = False
        self.late = lambda: None

    async def handle(self, method, path, _query, headers, body):
        if (method, path) != ("POST", "/promotion"):
            return 404, None
        if self.silent:
            return None
        order = json.loads(body)
        service, instance = order["service"], order["instance-id"]
        token = int(headers["spurpier-fencing-token"])
        self.world.record(f"promotion of {service} to {instance} under token {token}")
        delay_s = self.late()
        if delay_s is not None:
            self.world.record(f"it is carried out {delay_s:.1f} s later")
            asyncio.get_running_loop().create_task(
                self.promote_later(delay_s, service, instance, token)
            )
            return None
        return await self.promote(service, instance, token)

    async def promote_later(self, delay_s, service, instance, token):
        await asyncio.sleep(delay_s)
        await self.promote(service, instance, token)

    async def promote(self, service, instance, token):
        if token < self.newest.get(service, 0):
            return 409, {}
        self.newest[service] = token
        group = self.world.groups[service]
        server = group.servers.get(instance)
        if server is None or server.down:
            return 409, {}
        await asyncio.sleep(0.3)
        group.promote(instance)
        return 200, {}
