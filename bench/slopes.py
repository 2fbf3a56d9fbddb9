"""Slopes that the benches measured, from their result files."""

import json
from pathlib import Path
from typing import NamedTuple

RESULTS = Path(__file__).parent / "results"

MEAN_HISTORY_TOKENS = 30_000
LARGEST = "at 150 nodes"
SLOPE = "slope per node"
TOKEN = "cpu_us_per_token"
START = "cpu_ms_per_start"


class Slopes(NamedTuple):
    """Measured slopes; the unit is in the name.

    Attributes:
        caller_us: Processor time of an entry for a token of another entry's program.
        caller_start_ms: The same for the start of such a call.
        owner_us: Processor time of an entry for a token that goes to a caller of another entry.
        owner_start_ms: The same for the start of such a call.
        upstream_us: Processor time of an upstream process for each token.
        upstream_start_ms: The same for the start of a call.
        entry_stream_kb: Memory of an entry for each open stream.
        upstream_stream_kb: Memory of an upstream process for each open stream.
        turn_us: Processor time of an owner for a turn's records and for joining its answer.
        program_bytes: Memory of a program without history.
        token_bytes: Memory of a token of history.
        rebuild_us: Processor time to rebuild a program with the mean history.
        turn_disk_bytes: Bytes that a turn writes on each copy.
        turn_sent_bytes: Bytes that a turn sends to each remote copy.
        appends_per_s: Appends of one host on two copies.
        control_cpu_percent: Share of a core that control takes on a node.
        control_mb: Resident memory of a node without calls.
        control_bytes_per_s: Bytes of control of a node.
        kv_calls_per_node: Calls a second on the key-value service for each node.
        publish_s_per_node: Growth of the longest time to be in force with each node.
    """

    caller_us: float
    caller_start_ms: float
    owner_us: float
    owner_start_ms: float
    upstream_us: float
    upstream_start_ms: float
    entry_stream_kb: float
    upstream_stream_kb: float
    turn_us: float
    program_bytes: float
    token_bytes: float
    rebuild_us: float
    turn_disk_bytes: float
    turn_sent_bytes: float
    appends_per_s: float
    control_cpu_percent: float
    control_mb: float
    control_bytes_per_s: float
    kv_calls_per_node: float
    publish_s_per_node: float


def read_slopes() -> Slopes:
    """Returns the slopes from the result files."""
    path, spread = _figures("path.jsonl"), _figures("path-spread.jsonl")
    owner, journal, fleet = (
        _figures("owner.jsonl"),
        _figures("journal.jsonl"),
        _figures("fleet.jsonl"),
    )
    small, large = (owner[f"program_memory_{tokens}_tokens"] for tokens in (1_000, 40_000))
    per_token = (large - small) / 39_000
    rebuild = owner["program_rebuild_cpu_10000_tokens"], owner["program_rebuild_cpu_40000_tokens"]
    return Slopes(
        caller_us=_sum(spread, "entry-", TOKEN),
        caller_start_ms=_sum(spread, "entry-", START),
        owner_us=_sum(spread, "entry_", TOKEN),
        owner_start_ms=_sum(spread, "entry_", START),
        upstream_us=_sum(spread, "up-", TOKEN),
        upstream_start_ms=_sum(spread, "up-", START),
        entry_stream_kb=_last(path, "entry_memory_kb_per_stream"),
        upstream_stream_kb=_last(path, "up-0_memory_kb_per_stream"),
        turn_us=owner["turn_records_cpu"] + owner["turn_assemble_cpu"],
        program_bytes=small - 1_000 * per_token,
        token_bytes=per_token,
        rebuild_us=rebuild[0] + (rebuild[1] - rebuild[0]) * (MEAN_HISTORY_TOKENS - 1e4) / 3e4,
        turn_disk_bytes=journal["bytes written by a turn on each copy"],
        turn_sent_bytes=journal["bytes sent by a turn to each remote copy"],
        appends_per_s=journal["appends with 16 writers, two copies"],
        control_cpu_percent=fleet[f"{LARGEST}: cpu_percent_per_node"],
        control_mb=fleet[f"{LARGEST}: resident_mb_per_node"],
        control_bytes_per_s=fleet[f"{LARGEST}: sent_bytes_per_s_per_node"]
        + fleet[f"{LARGEST}: received_bytes_per_s_per_node"],
        kv_calls_per_node=fleet[f"{SLOPE}: kv_calls_per_s"],
        publish_s_per_node=fleet[f"{SLOPE}: publish_to_all_longest_s"],
    )


def _figures(name: str) -> dict[str, float]:
    """Returns the figures of a result file by name, the mean of those taken several times."""
    found: dict[str, list[float]] = {}
    for line in (RESULTS / name).read_text().splitlines():
        figure = json.loads(line)
        title = f"{figure['of']}: " if "of" in figure else ""
        value = figure["value"]
        number = value["per_s"] if isinstance(value, dict) else value
        found.setdefault(title + figure["figure"], []).append(number)
    return {name: sum(values) / len(values) for name, values in found.items()}


def _last(figures: dict[str, float], name: str) -> float:
    """Returns a figure at the largest number of streams that was carried."""
    carried = int(figures["streams_carried_by_one_entry"])
    return figures[f"{name}_{carried}_streams"]


def _sum(figures: dict[str, float], processes: str, name: str) -> float:
    """Returns a cost over all processes of a kind; each has carried a part of the streams."""
    found = (value for key, value in figures.items() if key.startswith(processes) and name in key)
    return sum(found)
