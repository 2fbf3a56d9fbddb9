"""Measures what the path through entry and upstream process adds to a direct call of an engine.

Run as `.venv/bin/python bench/path.py >> FILE`. Prints one JSON line for each figure: name, value,
unit, load of the machine, the baseline taken in the same run and the ratio to it. The direct call
and the path use the same engine stand-in, and each step of the measurement uses both in turn.

Processor time is told apart by what it is for: a token while all streams flow, and the start of a
call, from its request until all streams flow.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import NamedTuple

import streams
from endiveworks.client.caller import connect, open_program
from endiveworks_standins.fleet import Fleet, HostLocation, wait_until
from returns.result import Success
from usage import Usage, usage_of

_PLACE = HostLocation("east", "east-1")
_TENANT = "signs"
_ENGINES = 2
_MAX_STREAMS = 320
_STEP_S = 0.066
_GROWTH = 1.1
_SINGLE_CALLS = 10
_SINGLE_TOKENS = 12
_WARM_UP_S = 2.0
_SETTLE_S = 10.0
_WINDOW_S = 4.0
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
        callers: Addresses of the entries that callers use.
        processes: Names of the processes on the path.
        engines: Addresses of the engines.
    """

    fleet: Fleet
    entry: str
    callers: tuple[str, ...]
    processes: tuple[str, ...]
    engines: tuple[str, ...]


def main() -> None:
    """Measures all figures and prints them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--most_streams", type=int, default=192)
    parser.add_argument("--step", type=int, default=32)
    parser.add_argument(
        "--forwarded", action="store_true", help="Callers use an entry that is not the owner."
    )
    parser.add_argument("--engines", type=int, default=_ENGINES)
    parser.add_argument(
        "--callers", type=int, default=1, help="Entries that callers use, if not the owner."
    )
    args = parser.parse_args()
    sys.setswitchinterval(0.001)
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        setup = _start(fleet, args.engines, args.callers if args.forwarded else 0)
        _measure_single(setup)
        _measure_streams(setup, range(args.step, args.most_streams + 1, args.step))


def _start(fleet: Fleet, engine_count: int, caller_count: int) -> Setup:
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
    engines = tuple(fleet.start_engine(f"engine-{n}", *flags) for n in range(engine_count))
    for number, address in enumerate(engines):
        fleet.start_upstream(f"up-{number}", _PLACE, "assistant", address)
    entry = fleet.start_entry("entry", _PLACE, f"--max_open={_MAX_STREAMS}")
    _wait_ready(entry)
    names = ["entry", *(f"up-{number}" for number in range(engine_count))]
    callers = []
    for number in range(caller_count):
        names.append(f"entry-{number + 2}")
        callers.append(fleet.start_entry(names[-1], _PLACE, f"--max_open={_MAX_STREAMS}"))
        _wait_ready(callers[-1])
    if callers:
        # Partitions move to entries that join.
        time.sleep(_SETTLE_S)
    return Setup(fleet, entry, tuple(callers) or (entry,), tuple(names), engines)


def _wait_ready(entry: str) -> None:
    deployment = connect([entry], _TENANT)
    wait_until(lambda: isinstance(open_program(deployment, "assistant"), Success))


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
    idle = _usages(setup)
    tokens = int((_WARM_UP_S + _WINDOW_S) / _STEP_S)
    carried = 0
    for count in counts:
        base = _gap_p95_s(streams.run(_direct(setup, count, tokens)))
        wanted = _through(setup, count, tokens)
        looks = [_usages(setup)]
        look = partial(_look, setup, looks)
        seen = streams.run(wanted, at_flow=look, at_end=look)
        value = _gap_p95_s(seen)
        _print(f"gap_p95_ms_{count}_streams", value * 1000, "ms", base * 1000)
        for name in setup.processes:
            asked, flowing, ending = (usages[name] for usages in looks)
            _print_cost(f"{name}_cpu", count, seen, (asked, flowing, ending))
            held_kb = (ending.resident_kb - idle[name].resident_kb) / count
            _print(f"{name}_memory_kb_per_stream_{count}_streams", held_kb, "kB")
        if value > _GROWTH * base:
            break
        carried = count
    _print("streams_carried_by_one_entry", carried, "streams")


def _print_cost(
    name: str, count: int, seen: Sequence[streams.Seen], looks: tuple[Usage, Usage, Usage]
) -> None:
    """Prints what a token and the start of a call cost a process."""
    asked, flowing, ending = looks
    early = sum(streams.events_between(one, asked.at_s, flowing.at_s) for one in seen)
    flowed = sum(streams.events_between(one, flowing.at_s, ending.at_s) for one in seen)
    token_s = (ending.cpu_s - flowing.cpu_s) / flowed
    start_s = (flowing.cpu_s - asked.cpu_s - early * token_s) / count
    _print(f"{name}_us_per_token_{count}_streams", token_s * 1e6, "us")
    _print(f"{name}_ms_per_start_{count}_streams", start_s * 1e3, "ms")


def _direct(setup: Setup, count: int, tokens: int) -> list[streams.Wanted]:
    body = _body(tokens)
    return [
        streams.Wanted(setup.engines[number % len(setup.engines)], "/v1/chat/completions", {}, body)
        for number in range(count)
    ]


def _through(setup: Setup, count: int, tokens: int) -> list[streams.Wanted]:
    deployment = connect([setup.entry], _TENANT)
    wanted = []
    for number in range(count):
        program = open_program(deployment, "assistant").unwrap()
        headers = {
            "Endive-Tenant": _TENANT,
            "Endive-Program": program.id,
            "Endive-Call": "1",
        }
        address = setup.callers[number % len(setup.callers)]
        wanted.append(streams.Wanted(address, "/v1/chat/completions", headers, _body(tokens)))
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


def _look(setup: Setup, looks: list[dict[str, Usage]]) -> None:
    looks.append(_usages(setup))


def _usages(setup: Setup) -> dict[str, Usage]:
    return {name: usage_of(setup.fleet.procs[name].popen.pid) for name in setup.processes}


def _print(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    line: dict[str, object] = {"at": int(time.time()), "figure": name}
    # What else the machine does changes the figures, so its load stands beside them.
    line |= {"value": round(value, 3), "unit": unit, "load": round(os.getloadavg()[0], 1)}
    if baseline is not None:
        line |= {"baseline": round(baseline, 3), "ratio": round(value / baseline, 4)}
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
