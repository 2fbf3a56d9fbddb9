"""Traces of programs as JSON lines.

The first line is a Header, with the format version under the key "trace". Every other line is a
Call or, if it has the key "lost", an UpstreamLoss. The calls of one program are in order; lines
are not sorted otherwise. A trace holds only lengths and times, never prompt text.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..config.bundle import CostWeights
from .engine import Rates

VERSION = 1
ANY_TENANT = "*"


class ReplicaLocation(NamedTuple):
    """An upstream and its region."""

    host: str
    region: str


class Header(NamedTuple):
    """Deployment that a trace was taken from, and the assumptions behind the trace.

    Attributes:
        deployment: Name of the deployment.
        assumed: Assumptions of the generator; empty for a recorded trace.
        seed: Seed of the generator; 0 for a recorded trace.
        load: Offered load as a fraction of capacity; 0 if unknown.
        replicas: The upstreams.
        rates: Speed and memory of each upstream's engine.
        tenants: Weight of each tenant; "*" matches every tenant not listed.
        classes: Priority of each class; a lower number goes first.
        weights: Cost weights of the service.
        deadline_s: Maximum acceptable wait of a call, in seconds.
        link_bytes_per_s: Bandwidth of the link between regions, in bytes per second.
        link_delay_s: One-way delay between regions, in seconds.
        outcomes: Bounds that the replay checks, by measure name, as [lowest, highest].
    """

    deployment: str
    assumed: str
    seed: int
    load: float
    replicas: tuple[ReplicaLocation, ...]
    rates: Rates
    tenants: dict[str, float]
    classes: dict[str, int]
    weights: CostWeights
    deadline_s: float
    link_bytes_per_s: float
    link_delay_s: float
    outcomes: dict[str, tuple[float, float]]


class Call(NamedTuple):
    """One call of a program.

    Attributes:
        program: Program that the call belongs to.
        call: Index of the call within its program, from 0.
        at_s: Arrival of a first call, in seconds from the start of the trace; 0 for later calls.
        pause_s: Seconds since the end of the previous call; for a sub-agent's first call, since
            the end of its parent's call.
        tool: Tool that ran during the pause; empty if it was a person or nothing.
        new_tokens: Prompt tokens in addition to the history.
        output_tokens: Number of tokens generated.
        tenant: Tenant of the program.
        class_name: Class of the program.
        region: Region of the caller.
        parent: Program that started this one; empty for none.
        parent_call: Call of the parent whose end started this program. The parent's next call
            waits until this program has ended.
    """

    program: str
    call: int
    at_s: float
    pause_s: float
    tool: str
    new_tokens: int
    output_tokens: int
    tenant: str
    class_name: str
    region: str
    parent: str = ""
    parent_call: int = 0


class UpstreamLoss(NamedTuple):
    """The failure of an upstream, at a time in seconds from the start of the trace."""

    lost: str
    at_s: float


class Trace(NamedTuple):
    """A whole trace."""

    header: Header
    calls: tuple[Call, ...]
    losses: tuple[UpstreamLoss, ...]


class TraceError(ValueError):
    """A trace file has an invalid line."""


def write_trace(path: Path, trace: Trace) -> None:
    """Writes a trace to a file."""
    lines = [encode_header(trace.header)]
    lines += [encode_call(call) for call in trace.calls]
    lines += [msgspec.json.encode(loss._asdict()) for loss in trace.losses]
    path.write_bytes(b"\n".join(lines) + b"\n")


def encode_header(header: Header) -> bytes:
    """Encodes the first line of a trace."""
    fields = header._asdict()
    fields["rates"] = header.rates._asdict()
    fields["weights"] = header.weights._asdict()
    fields["replicas"] = [location._asdict() for location in header.replicas]
    return msgspec.json.encode({"trace": VERSION, **fields})


def encode_call(call: Call) -> bytes:
    """Encodes the line of a call, omitting fields that are empty or zero."""
    return msgspec.json.encode({name: value for name, value in call._asdict().items() if value})


def read_trace(path: Path) -> Trace:
    """Reads a trace from a file.

    Raises:
        TraceError: The file is empty or has an invalid line, whose number the error contains.
    """
    lines = path.read_bytes().splitlines()
    if not lines:
        raise TraceError(f"{path}: empty file")
    calls = []
    losses = []
    header = _parse_line(path, 1, lines[0], _parse_header)
    for number, line in enumerate(lines[1:], 2):
        parsed = _parse_line(path, number, line, _parse_call_or_loss)
        if isinstance(parsed, UpstreamLoss):
            losses.append(parsed)
        else:
            calls.append(parsed)
    return Trace(header, tuple(calls), tuple(losses))


def tenant_weight(header: Header, tenant: str) -> float:
    """Returns the weight of a tenant's share relative to other tenants."""
    return header.tenants.get(tenant, header.tenants.get(ANY_TENANT, 1.0))


def group_by_program(calls: Iterable[Call]) -> dict[str, list[Call]]:
    """Groups calls by program, keeping their order."""
    grouped: dict[str, list[Call]] = {}
    for call in calls:
        grouped.setdefault(call.program, []).append(call)
    return grouped


def _parse_line(path: Path, number: int, line: bytes, convert: Any) -> Any:
    try:
        return convert(msgspec.json.decode(line))
    except (msgspec.MsgspecError, TypeError, KeyError, ValueError) as exc:
        raise TraceError(f"{path}:{number}: {exc}") from exc


def _parse_header(fields: dict[str, Any]) -> Header:
    if fields.pop("trace") != VERSION:
        raise ValueError(f"the trace format version must be {VERSION}")
    fields["rates"] = Rates(**fields["rates"])
    fields["weights"] = CostWeights(**fields["weights"])
    fields["replicas"] = tuple(ReplicaLocation(**location) for location in fields["replicas"])
    fields["outcomes"] = {name: tuple(pair) for name, pair in fields["outcomes"].items()}
    return Header(**fields)


def _parse_call_or_loss(fields: dict[str, Any]) -> Call | UpstreamLoss:
    if "lost" in fields:
        return UpstreamLoss(**fields)
    defaults = {"call": 0, "at_s": 0.0, "pause_s": 0.0, "tool": ""}
    return Call(**{**defaults, **fields})
