"""Works out what each role needs at the planned size, from the slopes that other benches measured.

Run as `python bench/capacity.py`; prints the tables of docs/CAPACITY.md. Reads bench/results/.
"""

from collections.abc import Iterable
from typing import NamedTuple

from slopes import MEAN_HISTORY_TOKENS, Slopes, read_slopes

NODES = 420
REPLICAS = 600
REQUESTS_PER_S = 4_900
TOKENS_PER_S = 1_100_000
TOKEN_GAP_S = 0.066
PROGRAMS = 210_000
PARTITIONS = 4_096
BYTES_PER_TOKEN = 4
TURN_TEXT_BYTES = 2_600
COPIES = 2
LEASE_S = 60
MEASURED_LEASE_S = 10
REPLACED_PER_DAY = 320
DAY_S = 86_400


class Row(NamedTuple):
    """One figure: what it is, how it is worked out, the result and its unit."""

    what: str
    how: str
    value: float
    unit: str


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


def entry_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what the callers' side of an entry needs; nearly every call is forwarded."""
    streams = TOKENS_PER_S * TOKEN_GAP_S / NODES
    tokens = TOKENS_PER_S / NODES
    yield Row("open streams", "tokens/s x gap / nodes", streams, "")
    yield Row("tokens", "tokens/s / nodes", tokens, "/s")
    yield _token_row("processor time, tokens", slopes.caller_us, tokens)
    yield _start_row(slopes.caller_start_ms, NODES)
    memory = streams * slopes.entry_stream_kb / 1024
    yield Row("memory", f"{slopes.entry_stream_kb:.0f} kB for each stream", memory, "MB")


def owner_rows(slopes: Slopes) -> Iterable[Row]:
    """Yields what an entry needs as the owner of programs."""
    turns = REQUESTS_PER_S / NODES
    programs = PROGRAMS / NODES
    tokens = TOKENS_PER_S / NODES
    yield Row("programs", "programs / nodes", programs, "")
    yield Row("partitions", f"{PARTITIONS} / nodes", PARTITIONS / NODES, "")
    yield _token_row("processor time, tokens", slopes.owner_us, tokens)
    yield _start_row(slopes.owner_start_ms, NODES)
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
    yield _token_row("processor time, tokens", slopes.upstream_us, tokens)
    yield _start_row(slopes.upstream_start_ms, REPLICAS)
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


def _token_row(what: str, token_us: float, tokens_per_s: float) -> Row:
    how = f"{token_us:.0f} us for each token"
    return Row(what, how, tokens_per_s * token_us / 1e4, "% of a core")


def _start_row(start_ms: float, processes: int) -> Row:
    how = f"{start_ms:.1f} ms for each start of a call"
    percent = REQUESTS_PER_S / processes * start_ms / 10
    return Row("processor time, starts of calls", how, percent, "% of a core")


if __name__ == "__main__":
    main()
