"""A deployment of stand-ins on loopback addresses, and the project's gateways in front of it."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path

from .address import HOST
from .group import Group
from .store import Promotions, Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"gent-hal": "vlaanderen", "namur-hal": "wallonie", "elsene-hal": "brussel"}
BOUNDS = {
    "contact-ms": 5000,
    "drain-ms": 7000,
    "grace-s": 6,
    "configuration-apply-ms": 4000,
    "downgrade-slack-ms": 250,
}


class CannotRun(Exception):
    """The case could not run."""


def fill(text, fields):
    """Fills a settings template as the platform does."""

    def find(path, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def show(value, as_json):
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return str(value)

    section = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    gap = re.compile(r"\{\{([^{}#^/]+)\}\}")

    def render(text, scopes, key=None):
        def expand(match):
            kind, path, body = match.groups()
            value = find(path, scopes)
            if kind == "^":
                return "" if value else render(body, scopes, key)
            if isinstance(value, dict):
                return "".join(render(body, scopes + [{".": v}], k) for k, v in value.items())
            if isinstance(value, list):
                return "".join(render(body, scopes + [{".": v}], i) for i, v in enumerate(value))
            return render(body, scopes, key) if value not in (None, False) else ""

        def replace(match):
            path, _, form = match.group(1).partition("|")
            if path == "@":
                return str(key)
            if path == ".":
                return show(scopes[-1].get("."), form == "json")
            return show(find(path, scopes), form == "json")

        return gap.sub(replace, section.sub(expand, text))

    return render(text, [fields])


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Gateway:
    """One node: the program of the deploy file as a process of its own."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.first_start = True
        self.process = None
        ports = [free_port() for _ in range(4)]
        self.client, self.ready, self.internal, self.control = ports

    def fields(self):
        world = self.world
        store = world.store_address or world.store.address
        return {
            "node-name": self.name,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "ip-address": HOST,
            "internal-ports": [self.internal, self.internal],
            "seed-addresses": [f"{HOST}:{node.control}" for node in world.gateways[:3]],
            "first-start": self.first_start,
            "zones": ZONES,
            "listen-addresses": {
                "front": f"{HOST}:{self.client}",
                "ready": f"{HOST}:{self.ready}",
                "control": f"{HOST}:{self.control}",
            },
            "limits": {"cpu-share": 0.25, "link-mbps": 1000.0},
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": world.bounds,
            "platform": {"address": "%s:%d" % store},
            "cloud": {"address": "%s:%d" % world.promotions.address},
        }

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        settings = Path(self.world.folder) / f"{self.name}.toml"
        settings.write_text(fill((ROOT / role["template"]).read_text(), self.fields()))
        program, *arguments = role["run"].split(" ")
        if not (ROOT / program).exists():
            raise CannotRun(f"{program} is not built")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(Path(self.world.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program),
            *arguments,
            cwd=ROOT,
            env={**kept, "SPURPIER_BOOT": str(settings)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.first_start = False
        self.world.record(f"{self.name} is started")

    def is_ready(self):
        try:
            url = f"http://{HOST}:{self.ready}/readiness"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await asyncio.to_thread(self.is_ready):
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)
        self.world.record(f"{self.name} is ready")

    async def stop(self, number=signal.SIGTERM):
        if self.process.returncode is None:
            self.world.record(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)
        await self.process.wait()
        self.world.record(f"{self.name} has ended")

    async def session(self, database, who="u1"):
        return await Client(self, f"{self.name}/{who}").open(database, who)


class Answer:
    def __init__(self, id_):
        self.id = id_
        self.rows = []
        self.outcome = ""
        self.ready = ""

    @property
    def is_done(self):
        return self.outcome.startswith("COMPLETE") and bool(self.ready)

    @property
    def error(self):
        word, _, rest = self.outcome.partition(" ")
        return rest.split(" ")[0] if word == "ERROR" else None

    def __str__(self):
        return " / ".join([*(f"DATAROW {row}" for row in self.rows), self.outcome, self.ready])


class Client:
    """A client with one session."""

    ids = 0

    def __init__(self, gateway, name):
        self.gateway = gateway
        self.world = gateway.world
        self.name = name

    async def open(self, database, who):
        opened = asyncio.open_connection(HOST, self.gateway.client, limit=1 << 21)
        self.reader, self.writer = await opened
        self.world.record(f"{self.name} sends STARTUP {database} {who}")
        self.writer.write(f"STARTUP {database} {who}\r\n".encode())
        self.started = await self.line()
        self.world.record(f"{self.name} gets {self.started}")
        return self

    async def line(self, limit_s=15):
        line = await asyncio.wait_for(self.reader.readline(), limit_s)
        return line.decode().rstrip("\r\n")

    def send(self, text):
        Client.ids += 1
        id_ = f"q{Client.ids:06x}"
        self.world.record(f"{self.name} sends {id_} {text[:80]}")
        self.writer.write(f"QUERY {id_} {text}\r\n".encode())
        return id_

    async def answer(self, id_):
        answer = Answer(id_)
        while True:
            line = await self.line()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                answer.rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                answer.outcome = line
            else:
                answer.ready = line
                self.world.record(f"{self.name} gets for {id_}: {answer}")
                return answer

    async def run(self, text):
        return await self.answer(self.send(text))

    async def done(self, text, limit_s=10):
        """Runs a statement again until it succeeds."""
        end = time.monotonic() + limit_s
        while not (answer := await self.run(text)).is_done:
            if time.monotonic() > end:
                raise CannotRun(f"{text} does not succeed: {answer}")
            await asyncio.sleep(0.1)
        return answer

    def close(self):
        self.writer.close()


class World:
    """The platform, its services, the gateways and the record of a run."""

    def __init__(self, case_file, trouble):
        self.trouble = trouble
        self.bounds = dict(BOUNDS)
        self.groups = {}
        self.gateways = []
        self.store_address = None
        self.started = time.monotonic()
        self.log = open(Path(case_file).resolve().parent / "record.txt", "w")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = None
        self.promotions = None
        self.version = 0
        self.connections = 36

    def record(self, text):
        self.log.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.log.flush()

    async def open(self):
        self.store = await Store().start()
        self.promotions = await Promotions(self).start()
        return self

    async def add_group(self, name, instances, **options):
        places = list(zip(instances, ZONES))
        self.groups[name] = await Group(self, name, places, **options).start()
        return self.groups[name]

    def configure(self, routes, tenants=None, idle_ms=3000):
        """Puts the next configuration; `routes` holds database, kind, service and staleness."""
        self.version += 3
        configuration = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{database}",
                    "host": database,
                    "path-prefix": "/",
                    "kind": kind,
                    "timeout-ms": 2000,
                    "target-latency-ms": 1000,
                    "priority": 2,
                    "service": service,
                    "retry-attempts": 2,
                    "max-staleness-ms": staleness,
                }
                for database, kind, service, staleness in routes
            ],
            "services": [
                {
                    "name": group.name,
                    "health-check-path": "/health",
                    "connection-limit": self.connections,
                    "protocol": "h1",
                    "tls-enabled": False,
                    "synchronous-replicas": group.synchronous,
                }
                for group in self.groups.values()
            ],
            "limits": {"transaction-idle-ms": idle_ms},
        }
        if tenants is not None:
            configuration["tenants"] = tenants
        self.store.put("op", "config", configuration)
        self.record(f"the store acknowledges configuration {self.version}")
        return time.monotonic()

    async def add_gateways(self, count, zones=tuple(ZONES)):
        places = [zones[number % len(zones)] for number in range(count)]
        self.gateways = [
            Gateway(self, f"front-{zone}-{number}", zone) for number, zone in enumerate(places, 1)
        ]
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.until_ready()

    async def restart(self, gateway, number=signal.SIGTERM):
        await gateway.stop(number)
        await asyncio.sleep(0.3)
        await gateway.start()
        await gateway.until_ready()

    async def close(self):
        # The stand-ins' tasks are cancelled while they wait for their callers.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.folder).iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()
        self.log.close()


def main(case_file, case):
    """Runs a case: exits with 1 if it finds the rule broken, 0 if not, 2 if it cannot run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(case_file, trouble)
        world.record(f"TROUBLE={int(trouble)}")
        try:
            await world.open()
            broken = await asyncio.wait_for(case(world), 110)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record(f"the case cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            await world.close()
        print("the rule is broken" if broken else "the rule holds")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
