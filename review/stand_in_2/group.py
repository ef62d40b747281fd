"""Stand-ins of a service's database servers, which speak the line protocol of the platform."""

import asyncio
import json
import time

from .address import HOST

HEARTBEAT_S = 1.2
SLOT_S = 0.004


class Group:
    """A service: one primary and its replicas, each with a log of its own."""

    def __init__(self, world, name, places, lag_s=0.008, synchronous=0):
        self.world = world
        self.name = name
        self.term = 1
        self.lag_s = lag_s
        self.synchronous = synchronous
        self.servers = {}
        self.runs = []
        # The servers that were promoted, in order.
        self.promotions = []
        for instance, zone in places:
            self.servers[instance] = Server(self, instance, zone)
        self.lead = places[0][0]

    async def start(self):
        for server in self.servers.values():
            await server.start()
        return self

    def promote(self, instance):
        """Lets a server lead the next term with what it has received."""
        if self.lead == instance:
            return
        self.term += 1
        self.lead = instance
        self.promotions.append(instance)
        primary = self.servers[instance]
        primary.paused = False
        primary.applied = len(primary.received)
        for server in self.servers.values():
            server.paused = False
            server.tell()
            if server is not primary:
                self.send(primary, server)

    def commit(self, instance, records):
        """Appends records at the primary and sends them to its replicas; gives the log's length."""
        primary = self.servers[instance]
        primary.received.extend((self.term, *record) for record in records)
        primary.applied = len(primary.received)
        for server in self.servers.values():
            if server is not primary:
                self.send(primary, server)
        return len(primary.received)

    def send(self, primary, server):
        asyncio.get_running_loop().create_task(server.follow(primary))

    async def received_by_replicas(self, instance, count):
        """Waits until so many replicas as the service asks for hold the primary's first entries."""
        primary, term = self.servers[instance], self.term
        while self.lead == instance and self.term == term and not primary.down:
            entries = primary.received[:count]
            holders = [
                server
                for server in self.servers.values()
                if server is not primary and server.received[:count] == entries
            ]
            if len(holders) >= self.synchronous:
                return True
            await asyncio.sleep(0.002)
        return False


class Server:
    """One server."""

    def __init__(self, group, instance, zone):
        self.group = group
        self.world = group.world
        self.instance = instance
        self.zone = zone
        self.state = "ready"
        self.received = []
        self.applied = 0
        # The term whose primary it has last received from.
        self.term = group.term
        self.lag_s = None
        self.down = False
        self.dark = False
        self.deaf = False
        self.paused = False
        self.isolated = False
        self.unlisted = False
        # Told only on deployments where an id may be used again.
        self.born = None
        self.sequence = 0
        self.listener = None
        self.address = None
        self.writers = set()
        self.connections = set()
        self.lose_next = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 21)
        self.address = self.listener.sockets[0].getsockname()[:2]
        self.tell()
        asyncio.get_running_loop().create_task(self.beat())
        asyncio.get_running_loop().create_task(self.catch_up())

    def crash(self):
        """Ends without a word: the port refuses, all connections are reset."""
        self.down = True
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def come_back(self):
        """Starts again with its log at its address."""
        self.down = False
        self.paused = False
        self.listener = await asyncio.start_server(self.serve, *self.address, limit=1 << 21)
        self.tell()
        asyncio.get_running_loop().create_task(self.beat())
        if self.group.lead in self.group.servers:
            self.group.send(self.group.servers[self.group.lead], self)

    async def start_anew(self):
        """Starts again under its id at its address, and holds nothing of before."""
        self.received = []
        self.applied = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.come_back()

    async def beat(self):
        while not self.down:
            await asyncio.sleep(HEARTBEAT_S)
            self.tell()
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.down:
            self.world.store.remove("servers", self.instance)

    def tell(self):
        if self.down or self.dark or self.unlisted:
            return
        self.sequence += 1
        host, port = self.address
        entry = {
            "service": self.group.name,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold-remaining-ms": 0,
            "database-role": "primary" if self.group.lead == self.instance else "replica",
            "sequence": self.sequence,
        }
        if self.born is not None:
            entry["born"] = self.born
        self.world.store.put("servers", self.instance, entry)

    def lag(self):
        return self.group.lag_s if self.lag_s is None else self.lag_s

    def receives_from(self, primary):
        group = self.group
        reached = not (primary.down or primary.dark or primary.isolated)
        takes = not (self.down or self.dark or self.deaf or self.paused or self.isolated)
        return group.lead == primary.instance and reached and takes

    async def follow(self, primary):
        """Receives what the primary holds, and applies it after the lag."""
        await asyncio.sleep(0.001)
        if not self.receives_from(primary):
            return
        log = list(primary.received)
        if self.received != log[: len(self.received)]:
            if self.term == self.group.term:
                # It holds more than its primary shows, and no promotion has told it to drop that.
                return
            # What another primary had not received is rolled back.
            same = 0
            while same < min(len(self.received), len(log)) and self.received[same] == log[same]:
                same += 1
            self.received = self.received[:same]
            self.applied = min(self.applied, same)
        self.term = self.group.term
        if len(self.received) < len(log):
            self.received = log
        await asyncio.sleep(self.lag())
        if self.received[: len(log)] == log:
            self.applied = max(self.applied, len(log))

    async def catch_up(self):
        """Receives what it has missed, again and again."""
        while True:
            await asyncio.sleep(0.1)
            primary = self.group.servers.get(self.group.lead)
            if primary is not None and primary is not self and self.received != primary.received:
                await self.follow(primary)

    def position(self):
        log = self.received[: self.applied]
        return f"{log[-1][0]}.{len(log)}" if log else "-"

    def holds(self, position):
        term, number = (int(part) for part in position.split("."))
        if self.applied < number:
            return False
        return number == 0 or self.received[number - 1][0] == term

    async def until_lit(self):
        while self.dark:
            await asyncio.sleep(0.01)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            self.writers.discard(writer)
            writer.close()


class Connection:
    """One connection at a server."""

    numbers = 0

    def __init__(self, server, reader, writer):
        Connection.numbers += 1
        self.number = Connection.numbers
        self.server = server
        self.group = server.group
        self.reader = reader
        self.writer = writer
        self.caller = ""
        self.values = {}
        self.prepared = {}
        self.transaction = None
        self.failed = False
        self.written = []
        self.opened_in = 0
        self.transaction_number = 0
        self.mute = False

    async def line(self):
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode()

    async def run(self):
        word, *fields = (await self.line()).split(" ")
        server = self.server
        await server.until_lit()
        wrong = len(fields) > 2 and fields[2] != server.instance
        if word != "STARTUP" or fields[0] != self.group.name or wrong:
            self.writer.write(f"ERROR MISROUTED {server.instance}\r\n".encode())
            return
        self.caller = fields[1]
        await asyncio.sleep(0.002)
        self.writer.write(f"READY I {server.position()}\r\n".encode())
        while True:
            word, _, rest = (await self.line()).partition(" ")
            await server.until_lit()
            if self.mute:
                await asyncio.Event().wait()
            if word != "QUERY":
                return
            id_, _, text = rest.partition(" ")
            answer = await self.answer(id_, text)
            if id_ != "-" and server.lose_next > 0:
                server.lose_next -= 1
                server.world.record(f"the answer of {server.instance} to {id_} is lost")
                continue
            if answer is not None:
                self.writer.write(answer.encode())
                await self.writer.drain()

    async def answer(self, id_, text):
        try:
            rows = await self.execute(id_, text)
            lines = [f"DATAROW {row}" for row in rows]
            signature = "-" if id_ == "-" else f"sig.{id_}.{self.server.instance}"
            lines.append(f"COMPLETE {signature}")
        except Refusal as refusal:
            if self.transaction is not None:
                self.failed = True
            lines = [f"ERROR {refusal} {self.server.instance}"]
        state = "I" if self.transaction is None else ("E" if self.failed else "T")
        lines.append(f"READY {state} {self.server.position()}")
        return "".join(f"{line}\r\n" for line in lines)

    def leads(self):
        return self.group.lead == self.server.instance

    def lost_lead(self):
        plain = self.transaction == "plain"
        return plain and (not self.leads() or self.opened_in != self.group.term)

    async def execute(self, id_, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            if not self.server.holds(position):
                raise Refusal("LAGGING")
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            return [self.status()]
        if word == "PAUSE":
            self.server.paused = not self.leads() and int(rest) > self.group.term
            return [self.status()]
        if word == "RESUME":
            self.server.paused = False
            return [self.status()]
        if word == "STEPDOWN":
            if self.leads() and int(rest) > self.group.term:
                self.group.term = int(rest)
                self.group.lead = None
                self.server.tell()
            return [self.status()]
        if word == "RESET":
            self.values.clear()
            self.prepared.clear()
            return []
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return []
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return []
        if word == "DEALLOCATE":
            if self.prepared.pop(rest, None) is None:
                raise Refusal("NOSUCHNAME")
            return []
        if word == "BEGIN":
            if rest != "READ" and not self.leads():
                raise Refusal("READONLY")
            self.transaction = "read" if rest == "READ" else "plain"
            self.opened_in = self.group.term
            self.transaction_number += 1
            return []
        if word == "ROLLBACK":
            self.end()
            return []
        if word == "COMMIT":
            return await self.commit(id_, text)
        if self.failed:
            raise Refusal("MALFORMED")
        shape = ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                raise Refusal("NOSUCHNAME")
            shape = self.prepared[name]
            word = shape.split(" ")[0]
        await asyncio.sleep(SLOT_S)
        if word == "READ":
            if self.lost_lead():
                raise Refusal("READONLY")
            self.note(id_, text, shape)
            log = self.server.received[: self.server.applied]
            found = [entry[3] for entry in log if entry[2] == rest.split(" ")[0]]
            return [found[-1] if found else "none"]
        if word == "WRITE":
            if self.lost_lead() or not self.leads() or self.transaction == "read":
                raise Refusal("READONLY")
            self.note(id_, text, shape)
            thing, _, data = rest.partition(" ")
            if self.transaction is not None:
                self.written.append((id_, thing, data))
            else:
                await self.acknowledge([(id_, thing, data)])
            return []
        raise Refusal("MALFORMED")

    async def acknowledge(self, records):
        """Commits records, and returns once enough replicas have received them."""
        count = self.group.commit(self.server.instance, records)
        if not await self.group.received_by_replicas(self.server.instance, count):
            # It is deposed: whether the commit stays is not known.
            raise ConnectionError

    async def commit(self, id_, text):
        written, lost, failed = self.written, self.lost_lead(), self.failed
        self.written = []
        self.end()
        if failed or (lost and written):
            raise Refusal("ABORTED" if failed else "READONLY")
        self.note(id_, text, "")
        if written:
            await self.acknowledge(written)
        return []

    def end(self):
        self.transaction = None
        self.failed = False
        self.written = []

    def status(self):
        role = "primary" if self.leads() else "replica"
        received = self.server.received
        position = f"{received[-1][0]}.{len(received)}" if received else "0.0"
        return f"{role} {self.group.term} {position} {self.group.term} 8 0 1"

    def note(self, id_, text, shape):
        run = {
            "at": time.monotonic(),
            "server": self.server.instance,
            "caller": self.caller,
            "connection": self.number,
            "id": id_,
            "text": text,
            "shape": shape,
            "values": dict(self.values),
            "transaction": self.transaction_number if self.transaction is not None else None,
            "applied": self.server.applied,
            # A log is only appended to in place, and replaced where it is rolled back.
            "log": self.server.received,
            "position": self.server.position(),
        }
        self.group.runs.append(run)
        self.server.world.record(
            f"run at {self.server.instance} for {self.caller}: {id_} {text}"
            f" (its log is at {run['position']})"
        )


def ids_in(run):
    """The ids of the writes in the log on which a statement ran."""
    return {entry[1] for entry in run["log"][: run["applied"]]}


class Refusal(Exception):
    """An error answer."""
