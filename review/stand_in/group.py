"""A service: one primary and its replicas, which speak the wire and keep a replicated log."""

import asyncio
import itertools

HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
WORK_S = 0.006
NETWORK_S = 0.002
APPLY_S = 0.008
# How long a former primary goes on after it can reach the new one, where it is not told to step
# down.
FORMER_GOES_ON_S = 1.0


class Entry:
    def __init__(self, term, number, text, query_id):
        self.term, self.number, self.text, self.query_id = term, number, text, query_id


# The first entry of every log, from before the case.
START = Entry(1, 1, "start", "-")


class Server:
    def __init__(self, group, instance, zone):
        self.group, self.instance, self.zone = group, instance, zone
        self.log = [START]
        self.applied = 1
        self.term = 1
        self.role = "replica"
        self.running = False
        self.deaf = False      # receives nothing
        self.paused = False    # told to receive nothing
        self.state = "ready"
        self.port = 0
        self._listener = None
        self._writers = set()
        self._lapse = None

    # Life and directory entry.

    async def start(self):
        self.running = True
        self.paused = False
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port,
                                                    reuse_address=True)
        self.port = self._listener.sockets[0].getsockname()[1]
        if self._lapse:
            self._lapse.cancel()
            self._lapse = None

    def crash(self):
        """Ends without a word; its entry goes after three heartbeats."""
        self.group.record.note("server-crashes", server=self.instance, role=self.role)
        self.running = False
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._lapse = asyncio.get_running_loop().call_later(LAPSE_S, self.unlist)

    async def come_back(self):
        """Starts again with its log, as a replica if another server was promoted meanwhile."""
        if self.group.leader is not self:
            self.role = "replica"
        await self.start()
        self.group.record.note("server-back", server=self.instance, role=self.role,
                               log=len(self.log))
        self.list()

    def list(self):
        self.group.store.put("servers", self.instance, {
            "service": self.group.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 3, "state": self.state, "cold-remaining-ms": 0,
            "database-role": self.role, "sequence": next(self.group.sequence)})
        self.group.record.note("listed", server=self.instance, role=self.role)

    def unlist(self):
        if self.group.store.remove("servers", self.instance):
            self.group.record.note("unlisted", server=self.instance)

    # Log.

    def position(self):
        last = self.log[-1]
        return f"{last.term}.{last.number}"

    def holds(self, text):
        return any(entry.text == text for entry in self.log)

    def receive_from(self, primary):
        """Takes over the primary's log; what it lacks there is rolled back."""
        common = 0
        for own, other in zip(self.log, primary.log):
            if own is not other:
                break
            common += 1
        dropped = self.log[common:]
        if dropped:
            self.group.record.note("rolled-back", server=self.instance,
                                   texts=[entry.text for entry in dropped])
        self.log = self.log[:common] + primary.log[common:]
        self.applied = min(self.applied, common)
        self.term = max(self.term, primary.term)

    # Wire.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.group = server.group
        self.values, self.prepared = {}, {}
        self.transaction = None  # None, "read" or "plain"
        self.failed = False
        self.opened_in = 0
        self.written = []

    async def _line(self):
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode()

    async def _say(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())
        await self.writer.drain()

    async def run(self):
        server = self.server
        words = (await self._line()).split(" ")
        right = (words[0] == "STARTUP" and words[1] == self.group.name
                 and (len(words) < 4 or words[3] == server.instance))
        if not right:
            await self._say(f"ERROR MISROUTED {server.instance}")
            return
        await self._say(f"READY I {server.position()}")
        while True:
            line = await self._line()
            if line == "TERMINATE":
                return
            _, query_id, text = line.split(" ", 2)
            rows, error = await self._run(query_id, text)
            if not server.running:
                return
            lines = [f"DATAROW {row}" for row in rows]
            if error:
                if self.transaction:
                    self.failed = True
                lines.append(f"ERROR {error} {server.instance}")
            else:
                signature = "-" if query_id == "-" else f"{server.instance}.{query_id}.signed"
                lines.append(f"COMPLETE {signature}")
            state = "E" if self.failed else "T" if self.transaction else "I"
            await self._say(*lines, f"READY {state} {server.position()}")

    async def _run(self, query_id, text):
        server = self.server
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = (int(part) for part in position.split("."))
            if not (1 <= number <= server.applied and server.log[number - 1].term == term):
                return [], "LAGGING"
        words = text.split(" ")
        verb = words[0]
        if verb == "STATUS":
            return self._status(), None
        if verb == "PAUSE":
            server.paused = server.paused or int(words[1]) > server.term
            self.group.record.note("paused", server=server.instance, paused=server.paused)
            return self._status(), None
        if verb == "RESUME":
            server.paused = False
            self.group.record.note("resumed", server=server.instance)
            self.group.changed()
            return self._status(), None
        if verb == "STEPDOWN":
            if server.role == "primary" and int(words[1]) > server.term:
                self.group.step_down(server)
            return self._status(), None
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return [], None
        if verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return [], None
        if verb == "PREPARE":
            self.prepared[words[1]] = (words[2], words[3])
            return [], None
        if verb == "ROLLBACK":
            self._end()
            return [], None
        if verb == "COMMIT":
            return await self._commit(query_id)
        if self.failed:
            return [], "MALFORMED"
        if verb == "BEGIN":
            return self._begin(words[1:] == ["READ"])
        if verb == "EXECUTE":
            if words[1] not in self.prepared:
                return [], "NOSUCHNAME"
            verb = self.prepared[words[1]][0]
        if verb not in ("READ", "WRITE"):
            return [], "MALFORMED"
        await asyncio.sleep(WORK_S)
        if self._lost_lead():
            return [], "READONLY"
        if verb == "READ":
            self.group.record.note("ran", server=server.instance, id=query_id, text=text,
                                   applied=server.applied)
            self.group.reads[query_id] = server.applied
            return [f"log-{server.applied}"], None
        if server.role != "primary" or self.transaction == "read":
            return [], "READONLY"
        if self.transaction:
            self.written.append((query_id, text))
            return [], None
        await self.group.commit(server, query_id, [(query_id, text)])
        return [], None

    def _status(self):
        server = self.server
        return [f"{server.role} {server.term} {server.position()} {server.log[-1].term} 8 0 1"]

    def _begin(self, read_only):
        server = self.server
        if not read_only and server.role != "primary":
            return [], "READONLY"
        self.transaction = "read" if read_only else "plain"
        self.opened_in = server.term
        return [], None

    def _lost_lead(self):
        server = self.server
        return self.transaction == "plain" and (
            server.role != "primary" or server.term != self.opened_in)

    async def _commit(self, query_id):
        written, failed, lost = self.written, self.failed, self._lost_lead()
        self._end()
        if failed:
            return [], "ABORTED"
        if lost and written:
            return [], "READONLY"
        await asyncio.sleep(WORK_S)
        if written:
            await self.group.commit(self.server, query_id, written)
        return [], None

    def _end(self):
        self.transaction, self.failed, self.written = None, False, []


class Group:
    """`synchronous`: how many replicas must have received a commit before it is answered.
    A replaced primary goes on for a second."""

    def __init__(self, name, store, record, synchronous=0):
        self.name, self.store, self.record = name, store, record
        self.synchronous = synchronous
        self.servers = {}
        self.leader = None
        self.sequence = itertools.count(1)
        # Texts that a former primary committed after another server had been promoted.
        self.committed_late = []
        # How much of the log a read was run on, by its id.
        self.reads = {}
        self._changed = asyncio.Event()
        self._tasks = []

    async def start(self, places):
        """Starts a server for each (instance, zone); the first one leads."""
        for instance, zone in places:
            server = Server(self, instance, zone)
            self.servers[instance] = server
            await server.start()
        self.leader = next(iter(self.servers.values()))
        self.leader.role = "primary"
        for server in self.servers.values():
            server.list()
            self._tasks.append(asyncio.create_task(self._replicate(server)))

    def changed(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _replicate(self, replica):
        """Passes the leader's log on to one replica."""
        while True:
            changed = self._changed
            leader = self.leader
            receives = (leader is not None and leader is not replica and leader.running
                        and leader.role == "primary" and replica.running
                        and replica.role == "replica" and not replica.deaf and not replica.paused)
            if receives and (len(replica.log) != len(leader.log)
                             or replica.log[-1] is not leader.log[-1]):
                await asyncio.sleep(NETWORK_S)
                if leader is self.leader and replica.running and not (replica.deaf or replica.paused):
                    replica.receive_from(leader)
                    self.changed()
                    asyncio.get_running_loop().call_later(
                        APPLY_S, self._apply, replica, len(replica.log))
                continue
            try:
                await asyncio.wait_for(changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass

    def _apply(self, replica, length):
        replica.applied = max(replica.applied, min(length, len(replica.log)))

    async def commit(self, server, query_id, statements):
        """Appends a commit at a server that takes itself for the primary, and waits for the
        replicas that must have received it."""
        for statement_id, text in statements:
            entry = Entry(server.term, len(server.log) + 1, text, statement_id)
            server.log.append(entry)
            if server is not self.leader:
                self.committed_late.append(text)
            self.record.note("committed", server=server.instance, term=server.term,
                             number=entry.number, id=statement_id, text=text)
        server.applied = len(server.log)
        self.changed()
        while self.synchronous and not self._is_received(server, entry):
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), 0.02)
            except asyncio.TimeoutError:
                pass
            if not server.running:
                raise ConnectionError

    def _is_received(self, server, entry):
        others = [other for other in self.servers.values() if other is not server]
        holders = sum(1 for other in others if len(other.log) >= entry.number
                      and other.log[entry.number - 1] is entry)
        return holders >= self.synchronous

    def step_down(self, server):
        self.record.note("steps-down", server=server.instance)
        server.role = "replica"
        if self.leader is server:
            self.leader = None
        if server.running:
            server.list()

    def promote(self, instance):
        """Lets a server lead the next term with what it has received."""
        server = self.servers[instance]
        if not server.running:
            return
        former = self.leader
        if former is server and server.role == "primary":
            return
        server.term = 1 + max(other.term for other in self.servers.values())
        server.role, server.paused = "primary", False
        self.leader = server
        for other in self.servers.values():
            other.paused = False
        self.record.note("promoted", server=instance, term=server.term, log=len(server.log))
        server.list()
        if former is not None and former.running:
            asyncio.get_running_loop().call_later(FORMER_GOES_ON_S, self._end_former, former)
        self.changed()

    def _end_former(self, former):
        if former is not self.leader and former.role == "primary":
            former.role = "replica"
            self.record.note("former-primary-ends", server=former.instance)
            if former.running:
                former.list()
