"""A client session on the wire."""

import asyncio
import itertools

_ids = itertools.count(1)


class Reply:
    def __init__(self, query_id, rows, outcome, ready, sent_at, answered_at):
        self.id, self.rows, self.outcome, self.ready = query_id, rows, outcome, ready
        self.sent_at, self.answered_at = sent_at, answered_at

    @property
    def is_done(self):
        return self.outcome.startswith("COMPLETE ")

    def __str__(self):
        return f"{self.outcome or 'no answer'}"


class Client:
    @classmethod
    async def open(cls, record, name, port, database, who="u1"):
        client = cls()
        client.record, client.name = record, name
        client.reader, client.writer = await asyncio.open_connection("127.0.0.1", port)
        client.writer.write(f"STARTUP {database} {who}\r\n".encode())
        line = await asyncio.wait_for(client.reader.readuntil(b"\r\n"), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())
        return client

    async def run(self, text, limit=5.0):
        """Sends a statement and waits for its whole answer."""
        query_id = f"q{next(_ids)}"
        self.record.note("sent", client=self.name, id=query_id, text=text)
        clock = asyncio.get_running_loop().time
        sent_at = clock()
        rows, outcome, ready = [], "", ""
        try:
            self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
            async with asyncio.timeout(limit):
                while not ready:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
                    if line.startswith("DATAROW "):
                        rows.append(line[8:])
                    elif line.startswith("READY "):
                        ready = line
                    else:
                        outcome = line
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            outcome = ""
        reply = Reply(query_id, rows, outcome, ready, sent_at, clock())
        self.record.note("answered", client=self.name, id=query_id, answer=reply, ready=ready)
        return reply

    def close(self):
        self.writer.close()


async def write_until_acknowledged(record, port, database, text, limit=20.0):
    """Writes in new sessions until a write is acknowledged; True if that happened in time."""
    end = asyncio.get_running_loop().time() + limit
    while asyncio.get_running_loop().time() < end:
        try:
            client = await Client.open(record, "writer", port, database)
            reply = await client.run(f"WRITE {text}")
            client.close()
            if reply.is_done:
                return True
        except (ConnectionError, OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    return False
