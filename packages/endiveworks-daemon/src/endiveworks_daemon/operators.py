"""Starts the operators' HTTP server with the status of this process."""

import os
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import endiveworks
from endiveworks.programs.owner import Owner
from endiveworks.programs.queries import ProgramStatus
from endiveworks.settings.flags import Values
from endiveworks.telemetry.metrics import Metrics
from endiveworks.telemetry.status import ProcessStatus, ProgramRow, ReasonRow, StatusSources

from . import admin
from .deployment import Deployment
from .http_server import HttpServer

_FD_DIR = "/proc/self/fd"


class ProcessLoad(NamedTuple):
    """Current load of a process.

    Attributes:
        running: Calls in progress.
        queued: Calls waiting in the queue.
        partitions: Partitions owned.
    """

    running: int
    queued: int
    partitions: int


class EngineStatus(NamedTuple):
    """State of an engine that receives orders, under the field names of ProcessStatus.

    Attributes:
        engine_wanted: What the engine is to have loaded.
        engine_present: What the engine has loaded.
        engine_waits_for: What the next order waits for.
    """

    engine_wanted: str = ""
    engine_present: str = ""
    engine_waits_for: str = ""


NO_ENGINE = EngineStatus()


def program_rows(owner: Owner, host: str, limit: int) -> list[ProgramRow]:
    """Returns the rows of up to limit open programs that this host owns."""
    return [_row(status, host) for status in owner.list_open_programs(limit)]


def serve_operators(
    cfg: Values,
    deployment: Deployment,
    metrics: Metrics,
    measure_load: Callable[[], ProcessLoad],
    programs: Callable[[int], list[ProgramRow]],
    explain: Callable[[str], list[ReasonRow]],
    engine: Callable[[], EngineStatus] = lambda: NO_ENGINE,
) -> HttpServer:
    """Starts the operators' HTTP server.

    Raises:
        OSError: The address can't be bound.
    """
    started_at_s = time.monotonic()

    def status() -> ProcessStatus:
        load, engine_status = measure_load(), engine()
        metrics.gauge("running_calls", load.running)
        metrics.gauge("queued_calls", load.queued)
        identity = deployment.identity
        return ProcessStatus(
            host=identity.host,
            version=endiveworks.__version__,
            role=cfg.text("role"),
            service=cfg.text("service"),
            region=identity.region,
            failure_domain=identity.failure_domain,
            incarnation=identity.incarnation,
            draining=deployment.draining,
            config_version=identity.config_version(),
            partitions=load.partitions,
            running=load.running,
            queued=load.queued,
            threads=threading.active_count(),
            open_files=len(os.listdir(_FD_DIR)),
            uptime_s=round(time.monotonic() - started_at_s, 1),
            engine_wanted=engine_status.engine_wanted,
            engine_present=engine_status.engine_present,
            engine_waits_for=engine_status.engine_waits_for,
        )

    return admin.serve(
        cfg.text("admin"), StatusSources(status, programs, metrics.snapshot, explain)
    )


def _row(status: ProgramStatus, host: str) -> ProgramRow:
    return ProgramRow(
        program=status["id"],
        tenant=status["tenant"],
        parent=status["parent"],
        state="running" if status["running"] else "paused",
        calls=status["next_call"] - 1,
        used_tokens=status["attained_tokens"],
        left_tokens=status["budget_tokens"],
        owner=host,
    )
