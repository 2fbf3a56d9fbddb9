"""Measures what programs cost their owner: processor time of a turn, memory, rebuilding.

Run as `python bench/owner.py`; prints one JSON line for each figure. The log is kept in memory, so
that the journal's own cost, which bench/journal.py measures, is left out.
"""

import json
import multiprocessing
import os
import time
from collections.abc import Iterator

from endiveworks.config.bundle import CostWeights, Service, TenantSettings
from endiveworks.engines.chat_format import assemble
from endiveworks.journal.api import OpenedLog
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.programs.decide import (
    OpenCommand,
    StartCommand,
    claim_attempt,
    end_call,
    open_program,
    start_call,
)
from endiveworks.programs.partition import commit, start_actor
from endiveworks.programs.records import CHAT, CallClaimed, CallEnded, Outcome, decode, encode
from endiveworks.programs.state import Partition, apply, snapshot

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TURNS = 2_000
ANSWER_TOKENS = 224
PROGRAMS = 500
HISTORY_TOKENS = (1_000, 10_000, 40_000)
BYTES_PER_TOKEN = 4
SERVICE = Service(
    name="m",
    kind="model",
    model="m",
    classes={"front": 0},
    default_class="front",
    tenants={"*": TenantSettings(1.0, 10**9)},
    at_most_once=frozenset(),
    checks_fencing=False,
    weights=CostWeights(1.0, 1.0),
    deadline_s=30.0,
    max_tokens=1024,
    slots=8,
)
SERVICES = {"m": SERVICE}


def main() -> None:
    """Runs all measurements."""
    measure_turn()
    # Each size has a process of its own, so that none finds memory that another one has freed.
    for tokens in HISTORY_TOKENS:
        proc = multiprocessing.get_context("spawn").Process(target=measure_memory, args=(tokens,))
        proc.start()
        proc.join()


def measure_turn() -> None:
    """Prints the processor time of a turn's three records and of joining its answer's events."""
    opened: OpenedLog = open_memory_logs()(1, 1).unwrap()
    ref = start_actor(1, 1, opened).unwrap()
    program = "0001-bench"
    commit(ref, lambda state: open_program(state, _open(), program, SERVICES)).unwrap()
    body, events = _body(400), _events()
    answer = assemble(events)
    began = time.process_time()
    for number in range(1, TURNS + 1):
        start = StartCommand(program, number, "t", "m", CHAT, "", body, 600, 256)
        claim = CallClaimed(program, number, number, "u", 1, 0, False)
        ended = _ended(program, number, answer)
        commit(ref, lambda state, req=start: start_call(state, req, SERVICES)).unwrap()
        commit(ref, lambda state, req=claim: claim_attempt(state, req)).unwrap()
        commit(ref, lambda state, req=ended: end_call(state, req)).unwrap()
    records_us = (time.process_time() - began) / TURNS * 1e6
    began = time.process_time()
    for _ in range(200):
        assemble(events)
    assemble_us = (time.process_time() - began) / 200 * 1e6
    ref.stop()
    report("turn_records_cpu", records_us, "us")
    report("turn_assemble_cpu", assemble_us, "us", records_us)


def measure_memory(tokens: int) -> None:
    """Prints the memory and the rebuilding time of a program with a history of some tokens."""
    before = _resident_bytes()
    state = Partition()
    for index in range(PROGRAMS):
        _fill(state, f"0001-{index:08x}", tokens)
    held = (_resident_bytes() - before) / PROGRAMS
    stored = [encode(record) for record in snapshot(state, 0.0)]
    began = time.process_time()
    rebuilt = Partition()
    for data in stored:
        apply(rebuilt, decode(data).unwrap())
    rebuild_us = (time.process_time() - began) / PROGRAMS * 1e6
    size = sum(map(len, stored)) / PROGRAMS
    report(f"program_memory_{tokens}_tokens", held, "bytes", tokens * BYTES_PER_TOKEN)
    report(f"program_snapshot_{tokens}_tokens", size, "bytes", tokens * BYTES_PER_TOKEN)
    report(f"program_rebuild_cpu_{tokens}_tokens", rebuild_us, "us")


def report(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Prints one figure, with its ratio to a baseline if there is one."""
    line = {"figure": name, "value": round(value, 3), "unit": unit}
    if baseline is not None:
        line |= {"baseline": round(baseline, 3), "ratio": round(value / baseline, 4)}
    print(json.dumps(line), flush=True)


def _fill(state: Partition, program: str, tokens: int) -> None:
    for record in open_program(state, _open(), program, SERVICES).unwrap().records:
        apply(state, record)
    turns = 4
    answer = assemble(_events())
    part = tokens // turns - ANSWER_TOKENS
    for number in range(1, turns + 1):
        body = _body(max(1, part) * BYTES_PER_TOKEN)
        start = StartCommand(program, number, "t", "m", CHAT, "", body, 0, 1)
        for record in start_call(state, start, SERVICES).unwrap().records:
            apply(state, record)
        ended = _ended(program, number, answer)
        for record in end_call(state, ended).unwrap().records:
            apply(state, record)


def _open() -> OpenCommand:
    return OpenCommand("t", "m", "", "", 0, "", time.time())


def _body(size: int) -> bytes:
    text = os.urandom(size // 2 + 1).hex()[:size]
    return json.dumps({"model": "m", "messages": [{"role": "user", "content": text}]}).encode()


def _events() -> bytes:
    return b"".join(_event_lines())


def _event_lines() -> Iterator[bytes]:
    for index in range(ANSWER_TOKENS):
        choice = {"index": 0, "delta": {"content": "word "}, "finish_reason": None}
        event = {"id": "c-1", "object": "chat.completion.chunk", "choices": [choice]}
        yield b"id: %d\ndata: %b\n\n" % (index, json.dumps(event).encode())


def _ended(program: str, number: int, answer: bytes) -> CallEnded:
    return CallEnded(
        program=program,
        call=number,
        outcome=Outcome.DONE,
        status=200,
        content_type="text/event-stream",
        answer=answer,
        spent_tokens=500,
        prompt_tokens=300,
        completion_tokens=ANSWER_TOKENS,
        cached_tokens=0,
        upstream="u",
        at_s=time.time(),
    )


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


if __name__ == "__main__":
    main()
