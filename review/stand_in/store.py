"""The platform's metadata store: rows with versions, transactions under conditions, and a feed."""

import asyncio
import base64
import json
import time

from . import http

ANSWER_S = 0.004
TRANSACTION_S = 0.005


class Row:
    def __init__(self, value, version):
        self.value = value  # base64 text; None if the row is gone
        self.version = version


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.mode = "well"  # or "busy" (503), "silent"
        self._changed = asyncio.Event()
        self._views = []

    async def start(self):
        self._server, self.port = await http.serve(self._handle)

    async def start_view(self, view):
        """A further port, at which values are told as a node's view translates them."""

        async def handle(method, path, query, headers, body):
            status, told = await self._handle(method, path, query, headers, body)
            for row in told.get("rows", []):
                if "value" in row:
                    value = view.translate(base64.b64decode(row["value"]))
                    row["value"] = base64.b64encode(value).decode()
            return status, told

        server, port = await http.serve(handle)
        self._views.append(server)
        return port

    def value(self, table, part, key):
        """The bytes of a row; None if it is not there."""
        row = self._present(table, part, key)
        return base64.b64decode(row.value) if row else None

    def set_mode(self, mode):
        self.record.note("store", mode=mode)
        self.mode = mode
        self._wake()

    def put(self, table, key, value):
        """A row that the operator or a server writes."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(table, "", key, text)

    def remove(self, table, key):
        """Removes a row; False if there was none."""
        if self._present(table, "", key) is None:
            return False
        self._write(table, "", key, None)
        return True

    def _present(self, table, part, key):
        row = self.rows.get((table, part, key))
        return row if row is not None and row.value is not None else None

    def _write(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = Row(value, self.version)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _told(self, **fields):
        return {**fields, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def _check_mode(self):
        if self.mode == "silent":
            raise http.Silence
        return self.mode == "busy"

    async def _handle(self, method, path, query, headers, body):
        if await self._check_mode():
            return 503, {}
        if (method, path) == ("POST", "/rows-tx"):
            return await self._transact(json.loads(body))
        if (method, path) == ("GET", "/rows-get"):
            await asyncio.sleep(ANSWER_S)
            return 200, self._read(query)
        if (method, path) == ("GET", "/rows-feed"):
            return await self._feed(query)
        return 404, {}

    async def _transact(self, body):
        await asyncio.sleep(TRANSACTION_S)
        if await self._check_mode():
            return 503, {}
        conditions = body.get("expected-revision", [])
        current = []
        holds = True
        for condition in conditions:
            row = self._present(condition["table"], condition["part"], condition["private-key"])
            version = row.version if row else 0
            holds = holds and version == condition["ver"]
            if row:
                current.append(self._row_json(
                    (condition["table"], condition["part"], condition["private-key"]), row))
        if not holds:
            return 412, self._told(rows=current)
        self.version += 1
        for put in body.get("put", []):
            key = (put["table"], put["part"], put["private-key"])
            self.rows[key] = Row(put["value"], self.version)
        for gone in body.get("remove", []):
            key = (gone["table"], gone["part"], gone["private-key"])
            if key in self.rows:
                self.rows[key] = Row(None, self.version)
        self._wake()
        return 200, self._told()

    def _row_json(self, key, row):
        told = {"table": key[0], "part": key[1], "private-key": key[2], "ver": row.version}
        if row.value is None:
            told["gone"] = True
        else:
            told["value"] = row.value
        return told

    def _read(self, query):
        start = query.get("from", "")
        limit = min(int(query.get("limit", "500")), 500)
        found = [(key, row) for key, row in self.rows.items()
                 if key[0] == query["table"] and key[1] == query.get("part", "")
                 and row.value is not None and key[2].encode() >= start.encode()]
        found.sort(key=lambda item: item[0][2].encode())
        rows = [self._row_json(key, row) for key, row in found[:limit]]
        return self._told(rows=rows, more=len(found) > limit)

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            changed = self._changed
            found = [(key, row) for key, row in self.rows.items()
                     if key[0] == query["table"] and row.version > after]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if await self._check_mode():
                return 503, {}
        await asyncio.sleep(ANSWER_S)
        if await self._check_mode():
            return 503, {}
        found.sort(key=lambda item: item[1].version)
        return 200, self._told(rows=[self._row_json(key, row) for key, row in found])
