"""Executor under any order of dispatches, repeats, revokes, restarts and evictions."""

import threading
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from endiveworks.calls import executor
from endiveworks.calls.executor import Executor
from endiveworks.calls.fifo import fifo_queue
from endiveworks.calls.messages import CallKey, Job, RevokeOutcome
from endiveworks.calls.stream import FinalStatus, Stream
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

CALLS = [("0001-a", 1, 1), ("0001-a", 1, 2), ("0001-a", 2, 3), ("0001-b", 1, 1)]
KEYS = [CallKey(*call) for call in CALLS]
DONE = FinalStatus(200, "application/json")
EPOCHS = st.integers(1, 3)
keys = st.sampled_from(KEYS)


class Claim(NamedTuple):
    incarnation: int
    epoch: int


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s


CLOCK = Clock()


@pytest.fixture(autouse=True)
def clock() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(executor, "time", CLOCK)
        yield


class ExecutorModel(RuleBasedStateMachine):
    """One upstream across several incarnations; each attempt is claimed for one of them."""

    @initialize()
    def start(self) -> None:
        CLOCK.now_s = 1.0
        self.incarnation = 0
        self.ran: list[CallKey] = []
        self.revoked: set[CallKey] = set()
        self.claims: dict[CallKey, Claim] = {}
        self.restart()

    @rule()
    def restart(self) -> None:
        self.incarnation += 1
        self.newest_epoch = 0
        queue = fifo_queue("u", 8)
        self.executor = Executor("u", self.incarnation, queue, self.run, lambda: 1)

    def run(self, job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        self.ran.append(job.key)
        return DONE

    def claim(self, key: CallKey, epoch: int) -> Claim:
        return self.claims.setdefault(key, Claim(self.incarnation, epoch))

    @rule(key=keys, epoch=EPOCHS)
    def send(self, key: CallKey, epoch: int) -> None:
        self.dispatch(key, epoch)

    def dispatch(self, key: CallKey, epoch: int) -> None:
        claim = self.claim(key, epoch)
        current = claim.incarnation == self.incarnation and claim.epoch >= self.newest_epoch
        job = Job(
            key, claim.epoch, claim.incarnation, "t", "s", "order", "c", True, 0, 1.0, 0, 0, b""
        )
        ran_before = key in self.ran
        failure = self.executor.submit(job).swap().value_or(None)
        if failure is None:
            self.read_to_end(key)
            assert current or ran_before
            self.newest_epoch = max(self.newest_epoch, claim.epoch)
        elif failure.not_run and current:
            assert not ran_before

    def read_to_end(self, key: CallKey) -> None:
        while self.executor.read(key, 0, 10.0).unwrap().final_status is None:
            pass

    @rule(key=keys, epoch=EPOCHS)
    def revoke(self, key: CallKey, epoch: int) -> None:
        claim = self.claim(key, epoch)
        outcome = self.executor.revoke(key, claim.incarnation, epoch)
        if outcome is RevokeOutcome.REVOKED:
            assert key not in self.ran
            self.revoked.add(key)
        if claim.incarnation == self.incarnation:
            self.newest_epoch = max(self.newest_epoch, epoch)
        else:
            assert outcome is RevokeOutcome.UNKNOWN

    @rule(other=keys)
    def evict(self, other: CallKey) -> None:
        CLOCK.now_s += 2 * executor._KEEP_KEY_S
        self.dispatch(other, 3)

    @invariant()
    def each_attempt_runs_at_most_once(self) -> None:
        assert len(self.ran) == len(set(self.ran))

    @invariant()
    def a_revoked_attempt_never_runs(self) -> None:
        assert not self.revoked & set(self.ran)


ExecutorModel.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=20, database=None
)


class TestExecutorModel(ExecutorModel.TestCase):
    pass
