"""Works out what each role needs at the planned size, from the slopes that other benches measured.

Run as `python bench/capacity.py`; prints the tables of docs/CAPACITY.md. Reads bench/results/.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

RESULTS = Path(__file__).parent / "results"

NODES = 420
REPLICAS = 600
REQUESTS_PER_S = 4_900
TOKENS_PER_S = 1_100_000
TOKEN_GAP_S = 0.066
PROGRAMS = 210_000
PARTITIONS = 4_096
MEAN_HISTORY_TOKENS = 30_000
BYTES_PER_TOKEN = 4
TURN_TEXT_BYTES = 2_600
COPIES = 2
LEASE_S = 60
MEASURED_LEASE_S = 10
REPLACED_PER_DAY = 320
DAY_S = 86_400
LARGEST = "at 150 nodes"
SLOPE = "slope per node"


class Row(NamedTuple):
    """One figure: what it is, how it is worked out, the result and its unit."""

    what: str
    how: str
    value: float
    unit: str


class Slopes(NamedTuple):
    """Measured slopes; the unit is in the name.

    Attributes:
        entry_us: Processor time of an entry for each token of its own programs.
        caller_us: The same for a token that another entry's program gets through it.
        owner_us: The same for a token that goes to a caller of another entry.
        upstream_us: Processor time of an upstream process for each token.
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

    entry_us: float
    caller_us: float
    owner_us: float
    upstream_us: float
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


def main() -> None:
    """Prints a table for each role."""
    slopes = read_slopes()
    tables = {
        "Entry, callers' side": entry_rows(slopes),
        "Owner of programs": owner_rows(slopes),
        "Journal host": journal_rows(slopes),
        "Upstream process": upstream_rows(slopes),
        "Control of a node": control_rows(slopes),
        "The platform's key-value service": kv_rows(slopes),
    }
    for title, rows in tables.items():
        print(f"### {title}\n")
        print("| Figure | Worked out as | Result |\n| --- | --- | --- |")
        for row in rows:
            print(f"| {row.what} | {row.how} | {row.value:,.3g} {row.unit} |")
        print()


def read_slopes() -> Slopes:
    """Returns the slopes from the result files."""
    path, forwarded = _figures("path.jsonl"), _figures("path-forwarded.jsonl")
    owner, journal, fleet = (
        _figures("owner.jsonl"),
        _figures("journal.jsonl"),
        _figures("fleet.jsonl"),
    )
    small, large = (owner[f"program_memory_{tokens}_tokens"] for tokens in (1_000, 40_000))
    per_token = (large - small) / 39_000
    rebuild = owner["program_rebuild_cpu_10000_tokens"], owner["program_rebuild_cpu_40000_tokens"]
    return Slopes(
        entry_us=_last(path, "entry_cpu_us_per_chunk"),
        caller_us=_last(forwarded, "entry-2_cpu_us_per_chunk"),
        owner_us=_last(forwarded, "entry_cpu_us_per_chunk"),
        upstream_us=_last(path, "up-0_cpu_us_per_chunk"),
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


def entry_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what the callers' side of an entry needs; nearly every call is forwarded."""
    streams = TOKENS_PER_S * TOKEN_GAP_S / NODES
    tokens = TOKENS_PER_S / NODES
    yield Row("open streams", "tokens/s x gap / nodes", streams, "")
    yield Row("tokens", "tokens/s / nodes", tokens, "/s")
    cpu = tokens * slopes.caller_us / 1e4
    yield Row("processor time", f"{slopes.caller_us:.0f} us for each token", cpu, "% of a core")
    memory = streams * slopes.entry_stream_kb / 1024
    yield Row("memory", f"{slopes.entry_stream_kb:.0f} kB for each stream", memory, "MB")


def owner_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what an entry needs as the owner of programs."""
    turns = REQUESTS_PER_S / NODES
    programs = PROGRAMS / NODES
    tokens = TOKENS_PER_S / NODES
    yield Row("programs", "programs / nodes", programs, "")
    yield Row("partitions", f"{PARTITIONS} / nodes", PARTITIONS / NODES, "")
    cpu = tokens * slopes.owner_us / 1e4
    how = f"{slopes.owner_us:.0f} us for each token"
    yield Row("processor time, answers", how, cpu, "% of a core")
    how = f"{slopes.turn_us:.0f} us for each turn"
    yield Row("processor time, records", how, turns * slopes.turn_us / 1e4, "% of a core")
    each = slopes.program_bytes + slopes.token_bytes * MEAN_HISTORY_TOKENS
    how = f"{slopes.program_bytes:.0f} B + {slopes.token_bytes:.2f} B for each token of history"
    yield Row("memory of histories", how, programs * each / 2**20, "MB")
    sent = turns * MEAN_HISTORY_TOKENS * BYTES_PER_TOKEN / 1e6
    yield Row("histories sent to upstream processes", "whole history each turn", sent, "MB/s")
    rebuild = programs * slopes.rebuild_us / 1e6
    yield Row("rebuilding a lost owner's programs", "one core", rebuild, "s")


def journal_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what a journal host needs, with copies on every node."""
    turns = REQUESTS_PER_S / NODES
    appends = 4 * turns
    yield Row("appends as owner", "4 for each turn", appends, "/s")
    yield Row(
        "share of measured appends", "on two copies", 100 * appends / slopes.appends_per_s, "%"
    )
    written = turns * COPIES * slopes.turn_disk_bytes
    yield Row("written", f"{slopes.turn_disk_bytes:.0f} B a turn and copy", written / 1e3, "kB/s")
    yield Row("written in a day", "before old files go", written * DAY_S / 1e9, "GB")
    sent = turns * slopes.turn_sent_bytes
    yield Row(
        "sent to the other copy", f"{slopes.turn_sent_bytes:.0f} B a turn", sent / 1e3, "kB/s"
    )


def upstream_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what the process beside an upstream needs."""
    tokens = TOKENS_PER_S / REPLICAS
    streams = tokens * TOKEN_GAP_S
    yield Row("open streams", "tokens/s x gap / replicas", streams, "")
    yield Row("tokens", "tokens/s / replicas", tokens, "/s")
    how = f"{slopes.upstream_us:.0f} us for each token"
    yield Row("processor time", how, tokens * slopes.upstream_us / 1e4, "% of a core")
    memory = streams * slopes.upstream_stream_kb / 1024
    yield Row("memory", f"{slopes.upstream_stream_kb:.0f} kB for each stream", memory, "MB")


def control_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what control costs a node."""
    yield Row("processor time", "measured at 150 nodes", slopes.control_cpu_percent, "% of a core")
    yield Row("memory", "resident, measured at 150 nodes", slopes.control_mb, "MB")
    yield Row("bytes", "measured at 150 nodes", slopes.control_bytes_per_s / 1e3, "kB/s")
    longest = slopes.publish_s_per_node * (NODES + REPLICAS)
    how = f"{1e3 * slopes.publish_s_per_node:.2f} ms for each of {NODES + REPLICAS} processes"
    yield Row("configuration in force everywhere", how, longest, "s")


def kv_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what the platform's service has to bear."""
    nodes = NODES + REPLICAS
    calls = nodes * slopes.kv_calls_per_node
    yield Row("calls, lease of 10 s", f"{slopes.kv_calls_per_node:.2f} a node", calls, "/s")
    longer = calls * MEASURED_LEASE_S / LEASE_S
    yield Row("calls, lease of 60 s", "nearly all are renewals", longer, "/s")
    yield Row("waiting watches", "members on all, the table on entries", nodes + NODES, "")
    moved = 2 * PARTITIONS / NODES * REPLACED_PER_DAY / DAY_S
    yield Row("writes of the table", f"{REPLACED_PER_DAY} hosts replaced a day", moved, "/s")


def _figures(name: str) -> dict[str, float]:
    """Returns the figures of a result file by name."""
    found: dict[str, float] = {}
    for line in (RESULTS / name).read_text().splitlines():
        figure = json.loads(line)
        title = f"{figure['of']}: " if "of" in figure else ""
        value = figure["value"]
        found[title + figure["figure"]] = value["per_s"] if isinstance(value, dict) else value
    return found


def _last(figures: dict[str, float], name: str) -> float:
    """Returns a figure at the largest number of streams that was carried."""
    carried = int(figures["streams_carried_by_one_entry"])
    return figures[f"{name}_{carried}_streams"]


if __name__ == "__main__":
    main()
