"""Measures what the path through entry and upstream process adds to a direct call of an engine.

Run as `.venv/bin/python bench/path.py >> FILE`. Prints one JSON line for each figure: name, value,
unit, load of the machine, the baseline taken in the same run and the ratio to it. The direct call
and the path use the same engine stand-in, and each step of the measurement uses both in turn.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import streams
from endiveworks.client.caller import connect, open_program
from endiveworks_standins.fleet import Fleet, Place, wait_until
from returns.result import Success

_PLACE = Place("east", "east-1")
_TENANT = "signs"
_ENGINES = 2
_MAX_STREAMS = 320
_STEP_S = 0.066
_GROWTH = 1.1
_SINGLE_CALLS = 10
_SINGLE_TOKENS = 12
_WARM_UP_S = 2.0
_WINDOW_S = 4.0
_PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SERVICE = f"""
name = "assistant"
kind = "model"
model = "m"
classes = {{ front = 0 }}
default_class = "front"
tenants = {{ "*" = {{ budget_tokens = 100000000 }} }}
deadline_s = 600
max_tokens = 100000
slots = {_MAX_STREAMS}
"""


class Setup(NamedTuple):
    """The running deployment.

    Attributes:
        fleet: Its processes.
        entry: Address of the entry that owns the programs.
        callers: Address of the entry that callers use.
        processes: Names of the processes on the path.
        engines: Addresses of the engines.
    """

    fleet: Fleet
    entry: str
    callers: str
    processes: tuple[str, ...]
    engines: tuple[str, ...]


class Usage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_s: float
    resident_kb: int


def main() -> None:
    """Measures all figures and prints them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--most_streams", type=int, default=192)
    parser.add_argument("--step", type=int, default=32)
    parser.add_argument(
        "--forwarded", action="store_true", help="Callers use an entry that is not the owner."
    )
    args = parser.parse_args()
    sys.setswitchinterval(0.001)
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        setup = _start(fleet, args.forwarded)
        _measure_single(setup)
        _measure_streams(setup, range(args.step, args.most_streams + 1, args.step))


def _start(fleet: Fleet, forwarded: bool) -> Setup:
    fleet.start_kv()
    services = fleet.folder / "services"
    services.mkdir()
    (services / "assistant.toml").write_text(_SERVICE)
    fleet.publish(services)
    flags = (
        f"--step_s={_STEP_S}",
        "--step_per_sequence_s=0",
        "--step_per_context_token_s=0",
        "--prefill_tokens_per_s=1e9",
        f"--max_sequences={_MAX_STREAMS}",
        f"--threads={_MAX_STREAMS + 8}",
        "--answer_tokens=2000",
    )
    engines = tuple(fleet.start_engine(f"engine-{n}", *flags) for n in range(_ENGINES))
    for number, address in enumerate(engines):
        fleet.start_upstream(f"up-{number}", _PLACE, "assistant", address)
    entry = fleet.start_entry("entry", _PLACE, f"--max_open={_MAX_STREAMS}")
    wait_until(lambda: isinstance(open_program(connect([entry], _TENANT), "assistant"), Success))
    names = ("entry", *(f"up-{number}" for number in range(_ENGINES)))
    if not forwarded:
        return Setup(fleet, entry, entry, names, engines)
    other = fleet.start_entry("entry-2", _PLACE, f"--max_open={_MAX_STREAMS}")
    wait_until(lambda: isinstance(open_program(connect([other], _TENANT), "assistant"), Success))
    return Setup(fleet, entry, other, (*names, "entry-2"), engines)


def _measure_single(setup: Setup) -> None:
    """Measures one stream at a time, the direct call and the path in turn."""
    direct, path = [], []
    for _ in range(_SINGLE_CALLS):
        direct += streams.run(_direct(setup, 1, _SINGLE_TOKENS))
        path += streams.run(_through(setup, 1, _SINGLE_TOKENS))
    for name, pick in (("first_token", streams.first_s), ("chunk_gap", streams.median_gap_s)):
        base = statistics.median(pick(seen) for seen in direct)
        value = statistics.median(pick(seen) for seen in path)
        _print(f"{name}_ms", value * 1000, "ms", base * 1000)
        _print(f"{name}_added_ms", (value - base) * 1000, "ms", base * 1000)


def _measure_streams(setup: Setup, counts: Sequence[int]) -> None:
    """Measures many streams at once, up to the number at which the gap grows by a tenth."""
    idle = {name: _usage(setup, name) for name in setup.processes}
    tokens = int((_WARM_UP_S + _WINDOW_S) / _STEP_S)
    carried = 0
    for count in counts:
        base = _gap_p95_s(streams.run(_direct(setup, count, tokens)))
        before = {name: _usage(setup, name) for name in idle}
        peak: dict[str, Usage] = {}

        def look(peak: dict[str, Usage] = peak, names: Sequence[str] = tuple(idle)) -> None:
            peak.update({name: _usage(setup, name) for name in names})

        seen = streams.run(_through(setup, count, tokens), at_end=look)
        value = _gap_p95_s(seen)
        _print(f"gap_p95_ms_{count}_streams", value * 1000, "ms", base * 1000)
        chunks = sum(len(one.chunks_at) for one in seen)
        for name in idle:
            cpu_us = (peak[name].cpu_s - before[name].cpu_s) / chunks * 1e6
            held_kb = (peak[name].resident_kb - idle[name].resident_kb) / count
            _print(f"{name}_cpu_us_per_chunk_{count}_streams", cpu_us, "us")
            _print(f"{name}_memory_kb_per_stream_{count}_streams", held_kb, "kB")
        if value > _GROWTH * base:
            break
        carried = count
    _print("streams_carried_by_one_entry", carried, "streams")


def _direct(setup: Setup, count: int, tokens: int) -> list[streams.Wanted]:
    body = _body(tokens)
    return [
        streams.Wanted(setup.engines[number % _ENGINES], "/v1/chat/completions", {}, body)
        for number in range(count)
    ]


def _through(setup: Setup, count: int, tokens: int) -> list[streams.Wanted]:
    deployment = connect([setup.entry], _TENANT)
    wanted = []
    for _ in range(count):
        program = open_program(deployment, "assistant").unwrap()
        headers = {
            "Endive-Tenant": _TENANT,
            "Endive-Program": program.id,
            "Endive-Call": "1",
        }
        wanted.append(streams.Wanted(setup.callers, "/v1/chat/completions", headers, _body(tokens)))
    return wanted


def _body(tokens: int) -> bytes:
    message = {"role": "user", "content": "How long does a board of three metres take?"}
    fields = {
        "model": "assistant",
        "messages": [message],
        "stream": True,
        "max_tokens": tokens,
        "stream_options": {"include_usage": True},
    }
    return json.dumps(fields).encode()


def _gap_p95_s(seen: Sequence[streams.Seen]) -> float:
    gaps = [gap for one in seen for gap in streams.gaps_s(one, _WARM_UP_S)]
    return statistics.quantiles(gaps, n=20)[18]


def _usage(setup: Setup, name: str) -> Usage:
    pid = setup.fleet.procs[name].popen.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage((int(fields[11]) + int(fields[12])) / _TICKS_PER_S, pages * _PAGE_KB)


def _print(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    line: dict[str, object] = {"at": int(time.time()), "figure": name}
    # What else the machine does changes the figures, so its load stands beside them.
    line |= {"value": round(value, 3), "unit": unit, "load": round(os.getloadavg()[0], 1)}
    if baseline is not None:
        line |= {"baseline": round(baseline, 3), "ratio": round(value / baseline, 4)}
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
