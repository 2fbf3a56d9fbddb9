"""The page on which operators read a process's counters and histograms, as lines of text."""

import asyncio
from collections.abc import Iterator

from endiveworks.gateway.routes import Limits
from endiveworks.telemetry.metrics import Metrics, MetricsSnapshot

from .gateway.callers import CallerConnection, Received, Responder

METRICS_PATH = "/metrics"
_TEXT = [(b"content-type", b"text/plain; charset=utf-8")]


async def serve_metrics(address: str, metrics: Metrics) -> None:
    """Serves the metrics at "ip:port"; raises OSError when the address can't be bound."""

    async def handle(received: Received, responder: Responder) -> None:
        if received.target != METRICS_PATH:
            await responder.answer(404, [], b"")
            return
        text = "".join(f"{line}\n" for line in lines(metrics.snapshot()))
        await responder.answer(200, _TEXT, text.encode())

    async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await CallerConnection(reader, writer, handle, Limits, lambda: False).run()

    ip, _, port = address.rpartition(":")
    await asyncio.start_server(accepted, ip, int(port))


def lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    """Yields a line for each value, with the tenant or class in braces."""
    for counter in snapshot.counters:
        yield f"{counter.name}{_label(counter.group, counter.label)} {counter.value}"
    for gauge in snapshot.gauges:
        yield f"{gauge.name} {gauge.value}"
    for row in snapshot.histograms:
        label = _label(row.group, row.label)
        yield f"{row.name}_count{label} {row.recorded}"
        for name in ("mean", "p50", "p95", "p99", "highest"):
            yield f"{row.name}_{name}{label} {getattr(row, name)}"


def _label(group: str, label: str) -> str:
    return f'{{{group}="{label}"}}' if group else ""
