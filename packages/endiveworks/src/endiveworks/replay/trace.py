"""Traces of programs as JSON lines.

The first line is a Header, with the key "trace" for the version of the format. Every further line
is a Call or, with the key "lost", a Loss. The calls of a program stand in their order; lines are
sorted by nothing else. A trace holds lengths and times only, never prompt text.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..config.bundle import CostWeights
from .engine import Rates

VERSION = 1
ANY_TENANT = "*"


class Place(NamedTuple):
    """An upstream and its region."""

    host: str
    region: str


class Header(NamedTuple):
    """What the trace assumes and the deployment it was taken from.

    Attributes:
        deployment: Name of the deployment.
        assumed: What the generator assumed; empty for a recorded trace.
        seed: Seed of the generator; 0 for a recorded trace.
        load: Offered load as a share of capacity; 0 where unknown.
        replicas: The upstreams.
        rates: Speed and memory of each.
        tenants: Weight of each tenant; "*" stands for every tenant not named.
        classes: Priority of each class; a lower number goes first.
        weights: Cost weights of the service.
        deadline_s: Longest wait that a call bears.
        link_bytes_per_s: Rate of the link between regions.
        link_delay_s: One-way delay between regions.
        outcomes: Bounds that the replay checks, by name of the measure, as [lowest, highest].
    """

    deployment: str
    assumed: str
    seed: int
    load: float
    replicas: tuple[Place, ...]
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
        program: Program it belongs to.
        call: Its number, from 0.
        at_s: Arrival of a first call, from the start of the trace; 0 for later calls.
        pause_s: Time since the call before it ended; a sub-agent's first call counts from the
            end of its parent's call.
        tool: Tool that the pause waited for; empty when it was a person or nothing.
        new_tokens: Prompt tokens beyond the history.
        output_tokens: Tokens generated.
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


class Loss(NamedTuple):
    """An upstream that vanishes at a time."""

    lost: str
    at_s: float


class Trace(NamedTuple):
    """A whole trace."""

    header: Header
    calls: tuple[Call, ...]
    losses: tuple[Loss, ...]


class TraceError(ValueError):
    """A line that is not of the format."""


def write(path: Path, trace: Trace) -> None:
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
    fields["replicas"] = [place._asdict() for place in header.replicas]
    return msgspec.json.encode({"trace": VERSION, **fields})


def encode_call(call: Call) -> bytes:
    """Encodes the line of a call, leaving out what is empty or zero."""
    return msgspec.json.encode({name: value for name, value in call._asdict().items() if value})


def read(path: Path) -> Trace:
    """Reads a trace; raises TraceError with the line that is wrong."""
    lines = path.read_bytes().splitlines()
    if not lines:
        raise TraceError(f"{path}: empty file")
    calls = []
    losses = []
    header = _parse(path, 1, lines[0], _header)
    for number, line in enumerate(lines[1:], 2):
        found = _parse(path, number, line, _call_or_loss)
        if isinstance(found, Loss):
            losses.append(found)
        else:
            calls.append(found)
    return Trace(header, tuple(calls), tuple(losses))


def weight_of(header: Header, tenant: str) -> float:
    """Returns the share of a tenant relative to others."""
    return header.tenants.get(tenant, header.tenants.get(ANY_TENANT, 1.0))


def programs(calls: Iterable[Call]) -> dict[str, list[Call]]:
    """Groups calls by program, in their order."""
    grouped: dict[str, list[Call]] = {}
    for call in calls:
        grouped.setdefault(call.program, []).append(call)
    return grouped


def _parse(path: Path, number: int, line: bytes, convert: Any) -> Any:
    try:
        return convert(msgspec.json.decode(line))
    except (msgspec.MsgspecError, TypeError, KeyError, ValueError) as exc:
        raise TraceError(f"{path}:{number}: {exc}") from exc


def _header(fields: dict[str, Any]) -> Header:
    if fields.pop("trace") != VERSION:
        raise ValueError(f"the format's version must be {VERSION}")
    fields["rates"] = Rates(**fields["rates"])
    fields["weights"] = CostWeights(**fields["weights"])
    fields["replicas"] = tuple(Place(**place) for place in fields["replicas"])
    fields["outcomes"] = {name: tuple(pair) for name, pair in fields["outcomes"].items()}
    return Header(**fields)


def _call_or_loss(fields: dict[str, Any]) -> Call | Loss:
    if "lost" in fields:
        return Loss(**fields)
    usual = {"call": 0, "at_s": 0.0, "pause_s": 0.0, "tool": ""}
    return Call(**{**usual, **fields})
