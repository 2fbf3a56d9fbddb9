"""Metrics endpoint: a process's counters, gauges and histograms as plain text."""

import asyncio
from collections.abc import Iterator, Mapping

from endiveworks.gateway.routes import Limits
from endiveworks.telemetry.metrics import Metrics, MetricsSnapshot

from .gateway.callers import CallerConnection, RawRequest, RequestHandler, Responder

METRICS_PATH = "/metrics"
_TEXT = [(b"content-type", b"text/plain; charset=utf-8")]


async def serve_metrics(
    address: str, metrics: Metrics, pages: Mapping[str, RequestHandler] | None = None
) -> asyncio.Server:
    """Serves metrics, and further pages by path, at "ip:port".

    Raises:
        OSError: The address can't be bound.
    """

    async def handle(received: RawRequest, responder: Responder) -> None:
        page = (pages or {}).get(received.target.partition("?")[0])
        if page is not None:
            await page(received, responder)
            return
        if received.target != METRICS_PATH:
            await responder.respond(404, [], b"")
            return
        text = "".join(f"{line}\n" for line in format_lines(metrics.snapshot()))
        await responder.respond(200, _TEXT, text.encode())

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await CallerConnection(reader, writer, handle, Limits, lambda: False).run()

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(on_connection, ip, int(port))


def format_lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    """Yields one line per value, with its group and label, e.g. a tenant, in braces."""
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
