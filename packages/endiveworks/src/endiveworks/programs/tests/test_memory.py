"""What the programs of a host may take, and what counts for it."""

import random

import pytest
from endiveworks.config.bundle import EMPTY
from endiveworks.errors import Code
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.programs import state as state_module
from endiveworks.programs.decide import Decision, StartCommand, request_digest, start_call
from endiveworks.programs.memory import (
    MAX_PROGRAM_BYTES,
    STATE_SHARE,
    TENANT_SHARE,
    ProgramMemory,
)
from endiveworks.programs.partition import RemoveClosed, commit, query, start_actor
from endiveworks.programs.records import (
    CallClaimed,
    CallEnded,
    CallReleased,
    CallStarted,
    Outcome,
    ProgramClosed,
    ProgramOpened,
    Record,
)
from endiveworks.programs.state import Partition, apply, remove_closed, snapshot
from returns.result import Success

MEMORY_BYTES = 10_000_000
BOUND = MEMORY_BYTES * STATE_SHARE
CHAT = b'{"messages": [{"role": "user", "content": "%b"}]}'
ANSWER = b'{"choices": [{"message": {"role": "assistant", "content": "%b"}}]}'


def opened(program: str, tenant: str = "t") -> ProgramOpened:
    return ProgramOpened(program, tenant, "c", "", 100, "", 1.0)


def started(program: str, call: int, operation: str, body: bytes) -> CallStarted:
    return CallStarted(program, call, "m", operation, "", "", 1, False, body)


def ended(program: str, call: int, response: bytes) -> CallEnded:
    return CallEnded(program, call, Outcome.DONE, 200, "", response, 1, 1, 1, 0, "up", 2.0)


def records_of(rng: random.Random, program: str) -> list[Record]:
    """Returns the records of a program with calls of all outcomes."""
    found: list[Record] = [opened(program, rng.choice("abc"))]
    number = 0
    for _ in range(rng.randrange(6)):
        number += 1
        text = b"x" * rng.randrange(2000)
        operation = rng.choice(["chat", "order"])
        body = CHAT % text if operation == "chat" else text
        found.append(started(program, number, operation, body))
        found.append(CallClaimed(program, number, number, "up", 1, 1, False))
        if rng.random() < 0.3:
            found.append(CallReleased(program, number, 0))
            number -= 1
            continue
        found.append(ended(program, number, ANSWER % text if operation == "chat" else text))
    if rng.random() < 0.4:
        found.append(ProgramClosed(program, "done", 3.0))
    return found


class TestBytes:
    @pytest.mark.parametrize("seed", range(20))
    def test_they_are_what_the_programs_take(self, seed: int) -> None:
        rng = random.Random(seed)
        partition = Partition()
        for number in range(8):
            for record in records_of(rng, f"p{number}"):
                apply(partition, record)
        sizes = {
            name: state_module._size_of(program) for name, program in partition.programs.items()
        }
        stored = {name: program.stored_bytes for name, program in partition.programs.items()}
        assert stored == sizes
        assert sum(partition.tenant_bytes.values()) == sum(sizes.values())
        rebuilt = Partition()
        for record in snapshot(partition, 0.0):
            apply(rebuilt, record)
        assert rebuilt.tenant_bytes == partition.tenant_bytes
        for name in list(partition.programs):
            if not partition.programs[name].closed:
                apply(partition, ProgramClosed(name, "done", 3.0))
        remove_closed(partition, 4.0)
        assert partition.tenant_bytes == {}


class TestRefusals:
    """Programs were kept until the process was out of memory, by whatever callers sent."""

    def test_programs_are_opened_up_to_a_share_of_the_room(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        memory.add("a", int(BOUND * 0.5))
        assert memory.refuse_program("a") is None
        memory.add("b", int(BOUND * 0.42))
        refused = memory.refuse_program("a")
        assert refused is not None and refused.code is Code.OVERLOADED
        assert refused.not_run and refused.retry_after_s
        assert memory.refuse_call("a", 1000, 0) is None

    def test_a_call_needs_room_for_its_body(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        memory.add("a", int(BOUND * 0.5))
        memory.add("b", int(BOUND * 0.4))
        assert memory.refuse_call("a", int(BOUND * 0.05), 0) is None
        assert memory.refuse_call("a", int(BOUND * 0.15), 0) is not None

    def test_one_tenant_leaves_room_for_the_others(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        memory.add("a", int(BOUND * TENANT_SHARE))
        assert memory.refuse_call("a", 1000, 0) is not None
        assert memory.refuse_call("b", 1000, 0) is None

    def test_calls_of_open_programs_have_room_when_none_is_opened(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        while memory.refuse_program("a") is None:
            memory.add("a", 1000)
        assert memory.refuse_call("a", 1000, 0) is None

    def test_one_program_is_no_longer_than_a_record_of_the_log(self) -> None:
        refused = ProgramMemory().refuse_call("a", 1000, MAX_PROGRAM_BYTES)
        assert refused is not None and refused.not_run and refused.retry_after_s is None


class TestPartitions:
    def test_an_owned_partition_counts_until_it_is_released(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        open_log = open_memory_logs()
        ref = start_actor(1, 1, open_log(1, 1).unwrap(), memory).unwrap()
        commit(ref, lambda _: Success(Decision((opened("p"),)))).unwrap()
        used = memory.used()
        assert used > 0
        ref.stop()
        assert memory.used() == 0
        ref = start_actor(1, 2, open_log(1, 2).unwrap(), memory).unwrap()
        assert (memory.used(), memory.largest()) == (used, ("t", used))
        ref.stop()

    def test_programs_closed_long_ago_make_room_though_nothing_is_written(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        ref = start_actor(1, 1, open_memory_logs()(1, 1).unwrap(), memory).unwrap()
        closed = (opened("p"), ProgramClosed("p", "done", 1.0))
        commit(ref, lambda _: Success(Decision(closed))).unwrap()
        ref.tell(RemoveClosed())
        assert query(ref, lambda state: Success(len(state.programs))).unwrap() == Success(0)
        assert memory.used() == 0
        ref.stop()

    def test_a_repeated_call_gets_its_answer_though_there_is_no_room(self) -> None:
        memory = ProgramMemory(MEMORY_BYTES)
        partition = Partition()
        memory.add("a", MEMORY_BYTES)
        apply(partition, opened("p"))
        req = StartCommand("p", 1, "t", "m", "order", "", b"x", 0, 0)
        first = started("p", 1, "order", b"x")
        apply(partition, first._replace(digest=request_digest(req)))
        assert isinstance(start_call(partition, req, EMPTY.services, memory), Success)
