"""Status, programs and metrics of a process, as its operators' HTTP server returns them."""

from collections.abc import Callable
from typing import NamedTuple, NotRequired, TypedDict, TypeVar

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from .metrics import MetricsSnapshot

METRICS_PATH = "/metrics.json"
STATUS_PATH = "/status"
PROGRAMS_PATH = "/programs"
EXPLAIN_PATH = "/explain"
HEALTH_PATH = "/healthz"
MAX_PROGRAM_ROWS = 1000

_T = TypeVar("_T")


class ProcessStatus(TypedDict):
    """The state of one process.

    Attributes:
        host: Name of the process.
        version: Version of the project it runs.
        role: "entry" or "upstream".
        service: Service of the upstream; empty for an entry.
        region: Region of the failure domain.
        failure_domain: Failure domain.
        incarnation: Random id taken at the start.
        draining: Whether it is draining and accepts no new work.
        config_version: Version of the active configuration bundle.
        partitions: Partitions that it owns.
        running: Calls in progress.
        queued: Waiting calls.
        threads: Threads of the process.
        open_files: Open file descriptors.
        uptime_s: Seconds since the start.
        engine_wanted: Desired model, version, role and adapters; empty if it gets no orders.
        engine_present: Model, version, role and adapters that the engine reports.
        engine_waits_for: Condition that the next order to the engine waits for.
    """

    host: str
    version: str
    role: str
    service: str
    region: str
    failure_domain: str
    incarnation: int
    draining: bool
    config_version: int
    partitions: int
    running: int
    queued: int
    threads: int
    open_files: int
    uptime_s: float
    engine_wanted: NotRequired[str]
    engine_present: NotRequired[str]
    engine_waits_for: NotRequired[str]


class ProgramRow(TypedDict):
    """One active program, without any of its content."""

    program: str
    tenant: str
    parent: str
    state: str
    calls: int
    used_tokens: int
    left_tokens: int
    owner: str


class ReasonRow(TypedDict):
    """One factor in a decision on a call of a program.

    Attributes:
        process: Process that decided.
        decision: "route" or "admit".
        attempt: The attempt at a call; empty if the decision preceded the first attempt.
        at_s: Time of the decision in seconds since the epoch; 0 if not recorded.
        chosen: Selected upstream process; empty for "admit".
        rule: Name of the rule; its suffix is the unit of the value.
        value: The number that entered the decision.
        subject: Host, class, tenant or tool that the rule applies to.
    """

    process: str
    decision: str
    attempt: str
    at_s: float
    chosen: str
    rule: str
    value: float
    subject: str


class CounterBody(TypedDict):
    """A counter as served; group is "tenant", "class" or empty for the whole process."""

    name: str
    group: str
    label: str
    value: int


class GaugeBody(TypedDict):
    """A gauge as served."""

    name: str
    value: float


class HistogramBody(TypedDict):
    """A histogram as served, in the unit that ends its name."""

    name: str
    group: str
    label: str
    recorded: int
    mean: float
    p50: int
    p95: int
    p99: int
    highest: int


class MetricsBody(TypedDict):
    """All metrics of a process as served."""

    host: str
    counters: list[CounterBody]
    gauges: list[GaugeBody]
    histograms: list[HistogramBody]


class StatusSources(NamedTuple):
    """The functions that supply an operators' HTTP server; none of them blocks."""

    status: Callable[[], ProcessStatus]
    programs: Callable[[int], list[ProgramRow]]
    metrics: Callable[[], MetricsSnapshot]
    explain: Callable[[str], list[ReasonRow]] = lambda program: []


def encode_metrics(snapshot: MetricsSnapshot) -> bytes:
    """Returns the JSON form of a snapshot."""
    body = {
        "host": snapshot.host,
        "counters": [row._asdict() for row in snapshot.counters],
        "gauges": [row._asdict() for row in snapshot.gauges],
        "histograms": [row._asdict() for row in snapshot.histograms],
    }
    return msgspec.json.encode(body)


def decode_metrics(data: bytes, peer: str) -> Result[MetricsBody, Failure]:
    """Returns the metrics that a peer served, or a Failure with code CORRUPT."""
    return _decode(data, MetricsBody, peer)


def decode_status(data: bytes, peer: str) -> Result[ProcessStatus, Failure]:
    """Returns the status that a peer served, or a Failure with code CORRUPT."""
    return _decode(data, ProcessStatus, peer)


def decode_programs(data: bytes, peer: str) -> Result[list[ProgramRow], Failure]:
    """Returns the programs that a peer served, or a Failure with code CORRUPT."""
    return _decode(data, list[ProgramRow], peer)


def decode_reasons(data: bytes, peer: str) -> Result[list[ReasonRow], Failure]:
    """Returns the reasons that a peer served, or a Failure with code CORRUPT."""
    return _decode(data, list[ReasonRow], peer)


def _decode(data: bytes, body_type: type[_T], peer: str) -> Result[_T, Failure]:
    try:
        return Success(msgspec.json.decode(data, type=body_type))
    except DECODE_ERRORS as exc:
        return Err(Failure(Code.CORRUPT, "status.decode", peer, str(exc)))
