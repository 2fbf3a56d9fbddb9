from collections.abc import Iterator

import pytest
from endiveworks.config.bundle import EMPTY
from endiveworks.errors import Code
from endiveworks.journal.api import OpenLog
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.programs.decide import StartCommand, find_program, start_call
from endiveworks.programs.partition import PartitionActor, commit, query, start_actor
from pykka import ActorRef

START = StartCommand("0001-a", 1, "t", "m", "chat", "", b"{}", 1, 1)


@pytest.fixture
def open_log() -> OpenLog:
    return open_memory_logs()


@pytest.fixture
def actor(open_log: OpenLog) -> Iterator["ActorRef[PartitionActor]"]:
    ref = start_actor(1, 1, open_log(1, 1).unwrap()).unwrap()
    yield ref
    ref.stop()


class TestRefusal:
    def test_reports_not_run_while_the_epoch_is_current(
        self, actor: "ActorRef[PartitionActor]"
    ) -> None:
        failure = commit(actor, lambda state: start_call(state, START, EMPTY.services)).failure()
        assert failure.code is Code.UNKNOWN_PROGRAM and failure.not_run

    def test_does_not_report_not_run_after_a_later_epoch_opens(
        self, actor: "ActorRef[PartitionActor]", open_log: OpenLog
    ) -> None:
        open_log(1, 2).unwrap()
        failure = commit(actor, lambda state: start_call(state, START, EMPTY.services)).failure()
        assert failure.code is Code.STALE_EPOCH and not failure.not_run

    def test_a_failed_query_does_not_report_not_run_after_a_later_epoch_opens(
        self, actor: "ActorRef[PartitionActor]", open_log: OpenLog
    ) -> None:
        open_log(1, 2).unwrap()
        found = query(actor, lambda state: find_program(state, "0001-a", "t", "look"))
        assert found.failure().code is Code.STALE_EPOCH
