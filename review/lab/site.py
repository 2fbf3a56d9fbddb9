"""A small deployment: the project's processes, the store and the operator's configuration."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .store import PlatformStore
from .wire import call, request

ROOT = Path(__file__).parents[2]
HOST = "ficu95.example"
ZONE, REGION = "east-edin", "scot-east"
READY_S = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

_SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine}"
serves = ["{machine}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal_ports = [7380,7395]
bootstrap = true
loss_counts = {counts}
{data_dir}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
{zone} = "{region}"
[listen]
{listen}
[limits]
memory_mb = {memory_mb}
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
stable_window_ms = 4000
catch_up_s = 4.8
drain_ms = 2500
grace_s = 8
lost_ms = 200
config_ms = 2500
recover_s = 12
[provider]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Record:
    """The file in which a case writes what was sent, answered and run, and when."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w")

    def line(self, what: str, **fields: Any) -> None:
        """Writes a line."""
        at_s = time.monotonic() - self._started_s
        named = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {named}\n")
        self._file.flush()


class Process:
    """One process of the project, started with the command of the deploy file.

    Attributes:
        name: Name of its machine.
        ip: Address of its machine.
        front: Where clients connect to an entry.
    """

    def __init__(
        self, name: str, role: str, ip: str, folder: Path, store: str, **more: Any
    ) -> None:
        self.name, self.role, self.ip = name, role, ip
        self.front, self.readiness = f"{ip}:8149", f"{ip}:8141"
        self.memory_mb = 150 if role == "entry" else 170
        self._folder = folder
        is_entry = role == "entry"
        lines = [f'front = "{self.front}"', f'readiness = "{self.readiness}"'] if is_entry else []
        data_dir = "" if is_entry else f'data_dir = "{folder / "data" / name}"'
        self._settings = _SETTINGS.format(
            name=name,
            role=role,
            machine="edge" if is_entry else "storage",
            ip=ip,
            zone=more.get("zone", ZONE),
            region=more.get("region", REGION),
            counts="false" if is_entry else "true",
            data_dir=data_dir,
            listen="\n".join(lines),
            memory_mb=self.memory_mb,
            store=store,
        )
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the running process; 0 if there is none."""
        running = self._popen is not None and self._popen.poll() is None
        return self._popen.pid if running and self._popen else 0

    def start(self) -> None:
        """Starts the process."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._settings)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["ENDIVEWORKS_NODE_FILE"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._popen = subprocess.Popen(
                ["python3", "-m", "endiveworks_site", self.role],
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.pid and self._popen is not None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    def memory_mb_used(self) -> float:
        """Returns the resident memory in megabytes; 0 if the process doesn't run."""
        try:
            text = Path(f"/proc/{self.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Asks the process whether it is ready, as the platform does."""
        headers = {"Host": self.readiness}
        found, _ = await call(
            self.readiness, request("GET", "/endiveworks/readyz", headers), timeout_s=1.0
        )
        return found.status == 200

    def log(self) -> str:
        """Returns what the process wrote."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Site:
    """The store and the processes of a deployment.

    Args:
        record: Path of the file for the record.
        entries: Number of entries.
        disks: Number of disks.
    """

    def __init__(self, record: Path, entries: int = 1, disks: int = 3) -> None:
        self.record = Record(record)
        self.store = PlatformStore()
        self.tmp = Path(tempfile.mkdtemp(prefix="endiveworks-review-"))
        self._counts = (entries, disks)
        pid = os.getpid()
        self._net = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}"
        self.entries: list[Process] = []
        self.disks: list[Process] = []

    def _process(self, name: str, role: str, number: int) -> Process:
        return Process(name, role, f"{self._net}.{number}", self.tmp, self.store.address)

    async def start(self, routes: Sequence[dict[str, Any]], services: Sequence[Any]) -> None:
        """Starts everything and waits until all entries are ready."""
        await self.store.start()
        self.configure(1, routes, services)
        entries, disks = self._counts
        self.entries = [self._process(f"edge-{n}", "entry", 10 + n) for n in range(entries)]
        self.disks = [self._process(f"storage-{n}", "disk", 30 + n) for n in range(disks)]
        for process in (*self.disks, *self.entries):
            process.start()
        async with asyncio.timeout(READY_S):
            while not all([await entry.is_ready() for entry in self.entries]):
                await asyncio.sleep(0.1)

    def configure(
        self, version: int, routes: Sequence[dict[str, Any]], services: Sequence[Any]
    ) -> None:
        """Writes a configuration, as the operator does."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        fields = {"version": version, "routes": list(routes), "services": list(services)}
        self.store.put_json("op/config", fields | {"limits": limits})

    def stop(self) -> None:
        """Ends everything that was started."""
        for process in (*self.entries, *self.disks):
            process.kill()
        self.store.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.tmp, ignore_errors=True)


def route(name: str, prefix: str, kind: str, backend: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the configuration, as `fleetbench wire` shows them."""
    fields = {"name": name, "hostname": HOST, "path_prefix": prefix, "type": kind}
    fields |= {"timeout_ms": 4000, "target_latency_ms": 300, "priority": 0, "backend": backend}
    return fields | {"max_attempts": 1} | more


def service(name: str, chunk_tokens: int = 0) -> dict[str, Any]:
    """Returns a service of the configuration; one of model replicas if chunk_tokens is set."""
    fields: dict[str, Any] = {"name": name, "health_path": "/healthz", "max_connections": 160}
    if chunk_tokens:
        fields["engine"] = {"slots": 16, "kv_capacity": 483364, "chunk_tokens": chunk_tokens}
    return fields


def entry_of(backend: str, address: str, state: str = "ready", slots: int = 16) -> dict[str, Any]:
    """Returns what a replica writes of itself into the store."""
    return {
        "backend": backend,
        "address": address,
        "zone": ZONE,
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


def main(case: Any) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    if not (ROOT / "target" / "deps" / "endiveworks_site").exists():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)
    # Ends the processes of a case that is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        verdict = asyncio.run(case())
    except Exception:
        traceback.print_exc()
        print("the case could not run")
        verdict = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)


def dump(fields: Any) -> str:
    """Returns fields as one line."""
    return json.dumps(fields, separators=(",", ":"))
