"""A small deployment: the project's processes, and stand-ins for everything around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from . import caller
from .record import Record
from .replica import Replica
from .store import PlatformStore

ROOT = Path.cwd()  # The scripts change to the folder of the repository.
BYTES_PER_MB = 1024 * 1024  # The larger of the two meanings of a megabyte.
PORTS = {"front": 8149, "readiness": 8141, "peers": 7380, "metrics": 9464}
RESTART_S = 0.3
WATCH_PERIOD_S = 0.02
HEARTBEAT_S = 1.2
READY_S = 30.0
FAULT_ENDS = 3
ZONES = {"east-edin": "scot-east", "west-glas": "scot-west", "east-dund": "scot-east"}
ENTRY_ZONES = ("east-edin",)
DISK_ZONES = tuple(ZONES)
# As on the sheet of tl-signdesk.
ENTRY_LIMITS = {
    "cpus": 1,
    "memory_mb": 150,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
DISK_LIMITS = {
    "cpus": 3,
    "memory_mb": 170,
    "max_fds": 8200,
    "link_mbps": 600.0,
    "disk_mb": 510,
}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4.8,
    "drain_ms": 2500,
    "grace_s": 8,
    "lost_ms": 200,
    "config_ms": 2500,
    "back_ms": 250,
    "outer_ms": 6000,
    "recover_s": 12,
    "pass_ms": 300,
    "retry_after_s": 0,
    "deadline_s": 10,
    "settle_ms": 1000,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "agent",
    "stream",
    "engine",
    "platform",
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRunError(Exception):
    """Raised if the case can't run here."""


class End(NamedTuple):
    """An end of a process that the script did not ask for."""

    at_s: float
    name: str
    reason: str


def config(version: int, slots: int, kv_capacity: int = 483_364) -> dict[str, Any]:
    """Returns a configuration with one route of each kind."""
    common = {"hostname": caller.HOSTNAME, "sticky": False}
    stream = common | {
        "type": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 300,
    }
    stream |= {"backend": "assist-models", "max_attempts": 1, "retention_s": 60.0}
    stream |= {"sticky": True, "gap_aim_ms": 300}
    shop = common | {"backend": "shop-apps", "priority": 2}
    engine = {
        "slots": slots,
        "kv_capacity": kv_capacity,
        "kv_bytes": 163840,
        "chunk_tokens": 23,
    }
    engine |= {"models": [{"name": "m"}]}
    routes = [
        stream
        | {"name": "quote", "path_prefix": "/quote/", "priority": 1}
        | {"retain": True, "resumable": False},
        stream
        | {"name": "layout", "path_prefix": "/layout/", "priority": 0}
        | {"retain": False, "resumable": True},
        shop
        | {"name": "catalogue", "path_prefix": "/catalogue/", "type": "idempotent"}
        | {"timeout_ms": 1000, "target_latency_ms": 150, "max_attempts": 2},
        shop
        | {"name": "order", "path_prefix": "/order/", "type": "non_idempotent"}
        | {"timeout_ms": 1500, "target_latency_ms": 200, "max_attempts": 1},
    ]
    services = [
        {"name": "assist-models", "health_path": "/healthz", "max_connections": 160}
        | {"protocol": "h1", "tls": False, "engine": engine},
        {"name": "shop-apps", "health_path": "/healthz", "max_connections": 96}
        | {"protocol": "h1", "tls": False},
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }


class Process:
    """One process of the system, which is started again whenever it ends.

    Attributes:
        name: Name of its machine.
        role: Its role in the deploy file.
        ip: Its address.
        peak_mb: The most memory that it has used, in megabytes.
    """

    def __init__(self, site: "Site", role: str, zone: str, number: int, ip: str) -> None:
        kind = "edge" if role == "entry" else "storage"
        self.name, self.role, self.zone, self.ip = (
            f"{kind}-{zone}-{number}",
            role,
            zone,
            ip,
        )
        self.limits = ENTRY_LIMITS if role == "entry" else DISK_LIMITS
        self.front = f"{ip}:{PORTS['front']}"
        self.readiness = f"{ip}:{PORTS['readiness']}"
        self.peers = f"{ip}:{PORTS['peers']}"
        self.advertised = ""
        self.data = site.folder / "data" / self.name if role == "disk" else None
        self.peak_mb = 0.0
        self.held_down = False
        self.asked = False
        self._site = site
        self._has_run = False
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process; 0 if it does not run."""
        return self._popen.pid if self._popen is not None and self._popen.poll() is None else 0

    def launch(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self._site.folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ENDIVEWORKS_NODE_FILE"] = str(path)
        if self.advertised:  # Others reach it through a forwarder.
            env["ENDIVEWORKS_ADVERTISE"] = self.advertised
        self._has_run = True
        command = self._site.commands[self.role].split()
        self.asked = False
        with (self._site.folder / f"{self.name}.log").open("ab") as log:
            self._popen = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.pid:
            self.asked = self.asked or number in (signal.SIGKILL, signal.SIGTERM)
            os.kill(self.pid, number)

    async def wipe(self, down_s: float) -> None:
        """Kills the process and takes its disk away; an empty one is there when it comes back."""
        self.held_down = True
        self.send(signal.SIGKILL)
        while self.pid:
            await asyncio.sleep(WATCH_PERIOD_S)
        assert self.data is not None
        shutil.rmtree(self.data)
        await asyncio.sleep(down_s)
        self.held_down = False

    async def watch(self) -> None:
        """Plays the platform: ends the process over its memory, and starts it again."""
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            if self.pid:
                self._check_memory()
            elif not self.held_down:
                assert self._popen is not None
                if not self.asked:
                    self._site.ended(self.name, f"ended by itself with {self._popen.returncode}")
                await asyncio.sleep(RESTART_S)
                self.launch()

    def _check_memory(self) -> None:
        used_mb = anonymous_bytes(self.pid) / BYTES_PER_MB
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > self.limits["memory_mb"]:
            limit = self.limits["memory_mb"]
            reason = f"used {used_mb:.0f} MB of memory, its machine has {limit} MB: killed"
            self._site.ended(self.name, reason)
            self.send(signal.SIGKILL)

    def end(self) -> None:
        """Ends the process for good."""
        self.held_down = True
        if self._popen is not None:
            if self._popen.poll() is None:
                self._popen.kill()
            self._popen.wait()

    def _settings(self) -> str:
        listen = {"front": self.front, "readiness": self.readiness} if self.role == "entry" else {}
        kind = "edge" if self.role == "entry" else "storage"
        top = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": kind,
            "serves": [kind],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "internal_ports": [PORTS["peers"], PORTS["peers"] + 15],
            "bootstrap": not self._has_run,
            "loss_counts": self.role == "disk",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
        }
        if self.data is not None:
            self.data.mkdir(parents=True, exist_ok=True)
            top["data_dir"] = str(self.data)
        tables = {
            "zones": ZONES,
            "listen": listen,
            "limits": self.limits,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {"address": self._site.store.address, "form": "kv"},
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{json.dumps(k)} = {json.dumps(v)}" for k, v in fields.items()]
        return "\n".join(lines) + "\n"


class Site:
    """The deployment.

    Attributes:
        folder: Temporary folder with settings, logs and data.
        store: The platform's store.
        entries: Processes that serve clients.
        disks: Processes with disks.
        replicas: The replicas.
        also_listed: Replicas that are started elsewhere.
        ends: Ends of processes that the script did not ask for.
    """

    def __init__(self, record: Record, entries: tuple[str, ...] = ENTRY_ZONES) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.net = free_network(len(entries) + len(DISK_ZONES) + 1)
        self.store = PlatformStore()
        self.replicas: list[Replica] = []
        self.also_listed: list[Replica] = []
        self.ends: list[End] = []
        self.paused_beats: set[str] = set()
        self._sequence = 0
        roles = [("entry", zone) for zone in entries] + [("disk", zone) for zone in DISK_ZONES]
        hosts = [
            Process(
                self,
                role,
                zone,
                roles[:at].count((role, zone)) + 1,
                f"{self.net}.{at + 2}",
            )
            for at, (role, zone) in enumerate(roles)
        ]
        self.entries, self.disks = hosts[: len(entries)], hosts[len(entries) :]
        self._tasks: list[asyncio.Task[None]] = []
        self._started_s = time.monotonic()

    async def start(self, fields: dict[str, Any]) -> None:
        """Starts everything and waits until the entries are ready.

        Raises:
            CannotRunError: They are not.
        """
        if not (ROOT / "target" / "deps" / "endiveworks_site").is_dir():
            raise CannotRunError("target/deps lacks the build of the deploy file")
        await self.store.start(f"{self.net}.1")
        self.store.put("op/config", json.dumps(fields).encode())
        for replica in self.replicas:
            await replica.start(f"{self.net}.1")
        self._tasks.append(asyncio.create_task(self._beat_forever()))
        for process in (*self.entries, *self.disks):
            process.launch()
            self._tasks.append(asyncio.create_task(process.watch()))
        if not await caller.until(self.is_ready, READY_S):
            raise CannotRunError("the entries are not ready in time")
        self.record.line("all entries are ready")

    async def stop(self) -> None:
        """Ends everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in (*self.entries, *self.disks):
            process.end()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def is_ready(self) -> bool:
        """Returns whether all entries say that they are ready."""
        replies = await asyncio.gather(*(self.readiness(entry) for entry in self.entries))
        return all(status == 200 for status in replies)

    async def readiness(self, entry: Process) -> int:
        """Returns the status of an entry's readiness; 0 for no answer."""
        path = "/endiveworks/readyz"
        return (await caller.ask(entry.readiness, "GET", path, {}, timeout_s=1.0)).status

    def ended(self, name: str, reason: str) -> None:
        """Records an end that the script did not ask for."""
        self.ends.append(End(time.monotonic() - self._started_s, name, reason))
        self.record.line(f"process {name}: {reason}")

    def faults(self) -> list[str]:
        """Returns what broke the rule on processes that end by themselves.

        That is, three times or more on a tenth of the machines in use, two at least.
        """
        count = Counter(end.name for end in self.ends)
        machines = [name for name, ends in count.items() if ends >= FAULT_ENDS]
        needed = max(2, (len(self.entries) + len(self.disks)) / 10)
        return self.ended_processes() if len(machines) >= needed else []

    def ended_processes(self) -> list[str]:
        """Returns how often each process ended without being asked, and the first reason."""
        first: dict[str, str] = {}
        for end in self.ends:
            first.setdefault(end.name, f"first {end.at_s:.1f} s after the start: {end.reason}")
        count = Counter(end.name for end in self.ends)
        return [f"{name} ended {count[name]} times, {reason}" for name, reason in first.items()]

    async def _beat_forever(self) -> None:
        while True:
            for replica in (*self.also_listed, *self.replicas):
                if replica.name not in self.paused_beats:
                    self.beat(replica)
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self, replica: Replica) -> None:
        """Writes a replica's entry, as it does itself."""
        self._sequence += 1
        listed = (*self.also_listed, *self.replicas)
        zone = list(ZONES)[listed.index(replica) % len(ZONES)]
        entry = entry_of(replica, zone, self._sequence)
        self.store.put(f"servers/{replica.name}", json.dumps(entry).encode())


def entry_of(replica: Replica, zone: str, sequence: int) -> dict[str, Any]:
    """Returns what a replica writes to the store of itself."""
    return {
        "backend": replica.service,
        "address": replica.address,
        "zone": zone,
        "version": "v1",
        "slots": replica.slots,
        "state": replica.state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "born": replica.born_ms,
    }


def anonymous_bytes(pid: int) -> int:
    """Returns the memory of a process without the pages of files; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except (OSError, UnicodeDecodeError):
        return 0
    found = [line.split()[1] for line in lines if line.startswith("RssAnon:")]
    return sum(int(size) for size in found) * 1024


def free_network(addresses: int) -> str:
    """Returns the first three parts of a loopback network whose ports are free.

    Raises:
        CannotRunError: There is none.
    """
    rng = random.Random()
    for _ in range(20):
        net = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
        if all(
            _is_free(f"{net}.{n + 1}", port) for n in range(addresses) for port in PORTS.values()
        ):
            return net
    raise CannotRunError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
