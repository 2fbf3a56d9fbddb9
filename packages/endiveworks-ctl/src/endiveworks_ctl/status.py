"""endivectl status: every process of the deployment, or its histograms."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

from endiveworks.errors import Failure
from endiveworks.telemetry.status import (
    METRICS_PATH,
    STATUS_PATH,
    MetricsBody,
    decode_metrics,
    decode_status,
)
from returns.result import Success

from .deployment import find_members
from .exits import Exit, exit_for
from .fetch import fetch_all
from .output import Column, Invocation, show_failures, show_json, show_rows

T = TypeVar("T")

_PROCESS_COLUMNS = (
    Column("host", "HOST"),
    Column("role", "ROLE"),
    Column("service", "SERVICE"),
    Column("failure_domain", "DOMAIN"),
    Column("draining", "DRAINING"),
    Column("config_version", "CONFIG"),
    Column("partitions", "PARTITIONS"),
    Column("running", "RUNNING"),
    Column("queued", "QUEUED"),
    Column("uptime_s", "UPTIME_S"),
)
_ENGINE_COLUMNS = (
    Column("engine_wanted", "WANTED"),
    Column("engine_present", "PRESENT"),
    Column("engine_waits_for", "WAITS_FOR"),
)
_HISTOGRAM_COLUMNS = (
    Column("host", "HOST"),
    Column("name", "HISTOGRAM"),
    Column("group", "BY"),
    Column("label", "OF"),
    Column("recorded", "RECORDED"),
    Column("p50", "P50"),
    Column("p95", "P95"),
    Column("p99", "P99"),
    Column("highest", "HIGHEST"),
)


def status(invocation: Invocation) -> int:
    """Shows one line for each process; with --histograms one for each histogram."""
    terminal = invocation.terminal
    found = find_members(invocation.values)
    if not isinstance(found, Success):
        show_failures(terminal, [found.failure()])
        return exit_for(found.failure())
    members = found.unwrap()
    timeout_s = invocation.values.number("timeout_s")
    if not invocation.values.flag("histograms"):
        rows, failures = fetch_all(members, STATUS_PATH, timeout_s, decode_status)
        by_host = sorted(rows, key=lambda row: row["host"])
        ordered = any(row.get("engine_wanted") for row in rows)
        columns = (*_PROCESS_COLUMNS, *(_ENGINE_COLUMNS if ordered else ()))
        show_rows(terminal, by_host, columns)
        return finish(invocation, rows, failures)
    bodies, failures = fetch_all(members, METRICS_PATH, timeout_s, decode_metrics)
    _show_histograms(invocation, bodies)
    return finish(invocation, bodies, failures)


def finish(invocation: Invocation, answers: Sequence[T], failures: Sequence[Failure]) -> int:
    """Prints the failures and returns the exit code of a command that asked many processes."""
    show_failures(invocation.terminal, failures)
    if not failures:
        return Exit.OK
    return Exit.PARTIAL if answers else Exit.UNREACHABLE


def _show_histograms(invocation: Invocation, bodies: Sequence[MetricsBody]) -> None:
    if invocation.terminal.as_json:
        show_json(invocation.terminal, bodies)
        return
    rows: list[Mapping[str, object]] = [
        {"host": body["host"], **row} for body in bodies for row in body["histograms"]
    ]
    show_rows(invocation.terminal, rows, _HISTOGRAM_COLUMNS)
