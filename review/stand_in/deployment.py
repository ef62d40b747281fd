"""Nodes of the product as processes of their own, started as the deploy file says."""

import asyncio
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from . import template

ROOT = Path(__file__).resolve().parents[2]

# The settings of the site cvhf-spurpier, under the names of the deploy page.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 5000, "acknowledge-ms": 6000,
          "catch-up-s": 4, "drain-ms": 7000, "grace-s": 6, "loss-slack-ms": 200,
          "configuration-apply-ms": 3000, "downgrade-slack-ms": 250, "max-skew-ms": 15000,
          "recovery-s": 12, "fencing-enforced": False, "thaw-ms": 300}
ZONES = {"piedmont-hall-a": "piedmont", "gulf-hall-a": "gulf", "delta-hall-a": "delta"}
# The routes of that site: kind, time-out, target and staleness in milliseconds.
ROUTES = {"orders": ("primary", 800, 400, None),
          "catalogue": ("bounded_staleness", 2000, 800, 1500),
          "deliveries": ("read_your_writes", 800, 800, 2500)}
CONNECTION_LIMIT = 23


class CannotRun(Exception):
    """The case could not be brought about."""


def free_port():
    """A loopback port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Node:
    def __init__(self, deployment, name, zone, store, promotion):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.store, self.promotion = store, promotion
        self.client, self.ready, self.control, self.internal = (free_port() for _ in range(4))
        self.process = None
        self.starts = 0

    def start(self):
        deployment = self.deployment
        fields = {
            "node-name": self.name, "zone": self.zone, "region": deployment.zones[self.zone],
            "ip-address": "127.0.0.1", "internal-ports": [self.internal, self.internal],
            "seed-addresses": [f"127.0.0.1:{node.control}" for node in deployment.nodes[:3]],
            "first-start": self.starts == 0, "zones": deployment.zones,
            "listen-addresses": {"front": f"127.0.0.1:{self.client}",
                                 "ready": f"127.0.0.1:{self.ready}",
                                 "control": f"127.0.0.1:{self.control}"},
            "limits": {"cpu-share": 0.25, "link-mbps": 1000.0},
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": deployment.bounds,
            "platform": {"address": f"127.0.0.1:{self.store}"},
            "cloud": {"address": f"127.0.0.1:{self.promotion}"},
        }
        role = deployment.role
        text = template.fill((ROOT / role["template"]).read_text(), fields)
        settings = deployment.folder / f"{self.name}.toml"
        settings.write_text(text)
        log = open(deployment.folder / f"{self.name}.{self.starts}.log", "wb")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env={**kept, "SPURPIER_BOOT": str(settings)},
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        deployment.record.note("node-started", node=self.name, start=self.starts)

    def kill(self):
        self.deployment.record.note("node-killed", node=self.name)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def freeze(self):
        self.deployment.record.note("node-freezes", node=self.name)
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.deployment.record.note("node-wakes", node=self.name)
        self.process.send_signal(signal.SIGCONT)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Deployment:
    def __init__(self, record, folder):
        self.record, self.folder, self.zones = record, Path(folder), ZONES
        self.bounds = BOUNDS
        self.nodes = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the product is not built: " + deploy["build"])

    def add(self, name, zone, store, promotion):
        node = Node(self, name, zone, store, promotion)
        self.nodes.append(node)
        return node

    async def until_ready(self, limit=20.0):
        end = asyncio.get_running_loop().time() + limit
        for node in self.nodes:
            while not await node.is_ready():
                if asyncio.get_running_loop().time() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.05)

    def end(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()


def databases(service_number):
    """The databases of a service, by the names of the site's routes."""
    suffix = f"-{service_number + 1}" if service_number else ""
    return {name: name + suffix for name in ROUTES}


def configuration(services, synchronous):
    """The operator's configuration: services, and a database of each kind for each."""
    routes = []
    for number, service in enumerate(services):
        for name, host in databases(number).items():
            kind, timeout, target, staleness = ROUTES[name]
            route = {"name": f"r-{host}", "host": host, "path-prefix": "/", "kind": kind,
                     "timeout-ms": timeout, "target-latency-ms": target, "priority": 1,
                     "service": service, "retry-attempts": 2}
            if staleness is not None:
                route["max-staleness-ms"] = staleness
            routes.append(route)
    return {
        "version": 7,
        "routes": routes,
        "services": [{"name": service, "health-check-path": "/health",
                      "connection-limit": CONNECTION_LIMIT, "protocol": "own",
                      "synchronous-replicas": synchronous} for service in services],
        "limits": {"transaction-idle-ms": 3000},
    }
