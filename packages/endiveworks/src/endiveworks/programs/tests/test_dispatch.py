from collections.abc import Iterator

import pytest
from endiveworks.calls.messages import CallKey, Job, RevokeOutcome
from endiveworks.calls.stream import Chunk, FinalStatus, Stream
from endiveworks.config.bundle import EMPTY, CostWeights, Service, TenantSettings
from endiveworks.errors import Code, Failure
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.members.member import Member
from endiveworks.programs.decide import (
    OpenCommand,
    StartCommand,
    claim_attempt,
    open_program,
    start_call,
)
from endiveworks.programs.dispatch import run_call
from endiveworks.programs.owner import Owner
from endiveworks.programs.partition import commit, query, start_actor
from endiveworks.programs.plan import CallContext, PlacementRequest, Upstreams
from endiveworks.programs.queries import running_calls
from endiveworks.programs.records import Call, CallClaimed
from endiveworks.programs.requests import CallRequest
from endiveworks.programs.state import Partition
from returns.result import Failure as Err
from returns.result import Result, Success

SHOP = Service(
    name="shop",
    kind="plain",
    model="",
    classes={"front": 0},
    default_class="front",
    tenants={"*": TenantSettings(1.0, 1000)},
    at_most_once=frozenset({"order"}),
    checks_fencing=True,
    weights=CostWeights(1.0, 1.0),
    deadline_s=10.0,
    max_tokens=100,
    slots=2,
)
BUNDLE = EMPTY._replace(version=1, services={"shop": SHOP})
GONE = Failure(Code.UNREACHABLE, "t", "u1", "gone")
BUSY = Failure(Code.OVERLOADED, "t", "u1", "busy", not_run=True)
DONE = FinalStatus(200, "application/json")


class Upstream:
    """Upstream process whose replies the test sets; each list is used up in order."""

    def __init__(self) -> None:
        self.submits: list[Result[None, Failure]] = []
        self.final_statuses: list[Result[FinalStatus, Failure]] = []
        self.revoke_outcomes: list[Result[RevokeOutcome, Failure]] = []
        self.jobs: list[Job] = []
        self.choices: list[Result[Member, Failure]] = []
        self.data: list[bytes] = []

    def functions(self) -> Upstreams:
        return Upstreams(
            self.choose, self.submit, self.read, self.tail, self.revoke, lambda *args: None
        )

    def choose(self, placement: PlacementRequest) -> Result[Member, Failure]:
        if self.choices:
            return self.choices.pop(0)
        return Success(Member("u1", "127.0.0.1:1", "upstream", "shop", "r", "d", 7))

    def submit(self, member: Member, job: Job) -> Result[None, Failure]:
        self.jobs.append(job)
        return self.submits.pop(0) if self.submits else Err(BUSY)

    def read(self, host: str, key: CallKey, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        if self.data and offset == 0:
            return Success(Chunk(0, self.data.pop(0), None))
        return self.final_statuses.pop(0).map(lambda final_status: Chunk(offset, b"", final_status))

    def tail(self, *args: object) -> Result[Chunk, Failure]:
        return Err(GONE)

    def revoke(
        self, host: str, key: CallKey, incarnation: int, epoch: int
    ) -> Result[RevokeOutcome, Failure]:
        return self.revoke_outcomes.pop(0)


@pytest.fixture
def upstream() -> Upstream:
    return Upstream()


@pytest.fixture
def owner(upstream: Upstream) -> Iterator[Owner]:
    owner_under_test = Owner(upstream.functions(), lambda: BUNDLE)
    owner_under_test.add_partition(1, 1, open_memory_logs()(1, 1).unwrap()).unwrap()
    yield owner_under_test
    owner_under_test.remove_partition(1)


def run(owner: Owner, operation: str) -> FinalStatus:
    program = owner.open(1, "t", open_request()).unwrap()["id"]
    owner.submit(CallRequest(program, 1, "t", "shop", operation, "", b"{}")).unwrap()
    return wait_for_end(owner, program)


def wait_for_end(owner: Owner, program: str) -> FinalStatus:
    while True:
        final_status = owner.read(program, 1, 0, 10.0).unwrap().final_status
        if final_status is not None:
            return final_status


def open_request() -> dict[str, object]:
    return {
        "service": "shop",
        "class_name": "",
        "budget_tokens": 0,
        "parent": "",
        "request_key": "",
    }


class TestNotRun:
    def test_is_reported_when_every_attempt_was_refused(self, owner: Owner) -> None:
        failure = run(owner, "lookup").failure
        assert failure is not None and failure.code is Code.OVERLOADED and failure.not_run

    def test_is_not_reported_when_an_earlier_attempt_may_have_run(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        upstream.submits = [Success(None)]
        upstream.final_statuses = [Success(FinalStatus(502, "", failure=GONE))]
        failure = run(owner, "lookup").failure
        assert len(upstream.jobs) > 1
        assert failure is not None and not failure.not_run


class TestThreads:
    def test_a_second_thread_on_the_same_call_dispatches_nothing(self, upstream: Upstream) -> None:
        ref = start_actor(1, 1, open_memory_logs()(1, 1).unwrap()).unwrap()
        streams = [Stream(), Stream()]

        def read(*args: object) -> Result[Chunk, Failure]:
            if len(streams) == 2:
                # The second thread starts while the first waits for its response.
                run_call(ctx, call, streams.pop())
            return Success(Chunk(0, b"", DONE))

        upstreams = upstream.functions()._replace(read=read)
        ctx = CallContext(ref, 1, upstreams, lambda: BUNDLE, lambda: False)
        opening = OpenCommand("t", "shop", "", "", 0, "", 1.0)
        commit(ref, lambda state: open_program(state, opening, "0001-a", BUNDLE.services)).unwrap()
        start = StartCommand("0001-a", 1, "t", "shop", "order", "", b"{}", 0, 0)
        call = commit(ref, lambda state: start_call(state, start, BUNDLE.services)).unwrap().call
        assert call is not None
        upstream.submits = [Success(None), Success(None)]
        run_call(ctx, call, streams[0])
        assert len(upstream.jobs) == 1
        assert streams[0].read(0, 0.0).final_status == DONE
        ref.stop()

    def test_a_second_thread_whose_claim_is_refused_does_not_release_the_call(
        self, upstream: Upstream
    ) -> None:
        ref = start_actor(1, 1, open_memory_logs()(1, 1).unwrap()).unwrap()
        opened = OpenCommand("t", "shop", "", "", 0, "", 0.0)
        commit(ref, lambda state: open_program(state, opened, "0001-a", BUNDLE.services)).unwrap()
        start = StartCommand("0001-a", 1, "t", "shop", "order", "", b"{}", 0, 0)
        decided = commit(ref, lambda state: start_call(state, start, BUNDLE.services)).unwrap()
        call = decided.call
        assert call is not None
        upstreams = upstream.functions()

        def choose(placement: PlacementRequest) -> Result[Member, Failure]:
            # The other thread claims the attempt first.
            claim = CallClaimed("0001-a", 1, 1, "u1", 7, 0, False)
            commit(ref, lambda state: claim_attempt(state, claim)).unwrap()
            return upstream.choose(placement)

        ctx = CallContext(ref, 1, upstreams._replace(choose=choose), lambda: BUNDLE, lambda: False)
        run_call(ctx, call, Stream())
        assert upstream.jobs == []
        assert len(query(ref, running_calls).unwrap()) == 1
        ref.stop()

    def test_a_failed_thread_is_replaced_when_the_caller_retries(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        program = owner.open(1, "t", open_request()).unwrap()["id"]
        req = CallRequest(program, 1, "t", "shop", "order", "", b"{}")
        upstream.submits = [Success(None)]
        # The empty list of final statuses raises in the call's thread, as a defect would.
        owner.submit(req).unwrap()
        failure = wait_for_end(owner, program).failure
        assert failure is not None and failure.code is Code.INTERNAL
        upstream.revoke_outcomes = [Success(RevokeOutcome.RUNNING)]
        upstream.final_statuses = [Success(DONE)]
        owner.submit(req).unwrap()
        assert wait_for_end(owner, program) == DONE
        assert len(upstream.jobs) == 1


class TestReturnedPartition:
    def test_serves_the_response_stored_by_another_owner(self, upstream: Upstream) -> None:
        open_log = open_memory_logs()
        reads: list[str] = []

        def read(host: str, *args: object) -> Result[Chunk, Failure]:
            reads.append(host)
            if len(reads) == 1:
                # The other owner completes the call while this one waits for the response.
                upstream.revoke_outcomes = [Success(RevokeOutcome.ENDED)]
                other.add_partition(1, 2, open_log(1, 2).unwrap()).unwrap()
                wait_for_end(other, program)
                other.remove_partition(1)
            return Success(Chunk(0, b"receipt", DONE))

        owner = Owner(upstream.functions()._replace(read=read), lambda: BUNDLE)
        other = Owner(upstream.functions()._replace(read=read), lambda: BUNDLE)
        owner.add_partition(1, 1, open_log(1, 1).unwrap()).unwrap()
        program = owner.open(1, "t", open_request()).unwrap()["id"]
        upstream.submits = [Success(None)]
        req = CallRequest(program, 1, "t", "shop", "order", "", b"{}")
        owner.submit(req).unwrap()
        while owner.count_running_calls():
            pass
        owner.remove_partition(1)
        owner.add_partition(1, 3, open_log(1, 3).unwrap()).unwrap()
        owner.submit(req).unwrap()
        chunk = owner.read(program, 1, 0, 0.0).unwrap()
        assert chunk.data == b"receipt" and chunk.final_status is not None
        assert chunk.final_status.failure is None
        owner.remove_partition(1)


class TestAddPartition:
    def test_accepts_no_call_before_running_calls_are_read(
        self, owner: Owner, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        owned: list[tuple[int, ...]] = []

        def select(state: Partition) -> tuple[Call, ...]:
            owned.append(owner.owned_partitions())
            return ()

        monkeypatch.setattr("endiveworks.programs.owner.running_calls", select)
        owner.add_partition(2, 1, open_memory_logs()(2, 1).unwrap()).unwrap()
        owner.remove_partition(2)
        assert owned == [(1,)]


class TestResponse:
    def test_of_a_lost_attempt_is_not_joined_with_that_of_the_next(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        upstream.submits = [Success(None), Success(None)]
        upstream.data = [b'{"receipt": 1}', b'{"receipt": 2}']
        upstream.final_statuses = [Success(FinalStatus(502, "", failure=GONE)), Success(DONE)]
        program = owner.open(1, "t", open_request()).unwrap()["id"]
        owner.submit(CallRequest(program, 1, "t", "shop", "lookup", "", b"{}")).unwrap()
        wait_for_end(owner, program)
        assert owner.read(program, 1, 0, 0.0).unwrap().data == b'{"receipt": 2}'


class TestRemovedService:
    def test_a_call_started_before_is_released(self, upstream: Upstream) -> None:
        # The configuration is read once to open the program and once to accept the call.
        bundles = [BUNDLE, BUNDLE]
        owner = Owner(upstream.functions(), lambda: bundles.pop(0) if bundles else EMPTY)
        owner.add_partition(1, 1, open_memory_logs()(1, 1).unwrap()).unwrap()
        program = owner.open(1, "t", open_request()).unwrap()["id"]
        owner.submit(CallRequest(program, 1, "t", "shop", "lookup", "", b"{}")).unwrap()
        failure = wait_for_end(owner, program).failure
        assert failure is not None and failure.code is Code.UNKNOWN_SERVICE and failure.not_run
        assert not owner.status(program, "t").unwrap()["running"]
        owner.remove_partition(1)


class TestRetryAfter:
    def test_is_the_upstreams_own_when_no_other_upstream_is_left(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        upstream.submits = [Err(BUSY._replace(retry_after_s=7.5))]
        upstream.choices = [
            Success(Member("u1", "127.0.0.1:1", "upstream", "shop", "r", "d", 7)),
            Err(Failure(Code.NO_UPSTREAM, "t", "", "none left", True, 1.0)),
        ]
        failure = run(owner, "lookup").failure
        assert failure is not None and failure.not_run
        assert failure.code is Code.OVERLOADED and failure.retry_after_s == 7.5


class TestAtMostOnce:
    def test_an_in_doubt_attempt_that_was_revoked_is_retried(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        upstream.submits = [Err(GONE), Success(None)]
        upstream.revoke_outcomes = [Success(RevokeOutcome.REVOKED)]
        upstream.final_statuses = [Success(DONE)]
        assert run(owner, "order").failure is None
        assert [job.key.attempt for job in upstream.jobs] == [1, 2]

    @pytest.mark.parametrize("revoke_outcome", [RevokeOutcome.RUNNING, RevokeOutcome.ENDED])
    def test_an_in_doubt_attempt_that_runs_is_followed(
        self, owner: Owner, upstream: Upstream, revoke_outcome: RevokeOutcome
    ) -> None:
        upstream.submits = [Err(GONE)]
        upstream.revoke_outcomes = [Success(revoke_outcome)]
        upstream.final_statuses = [Success(DONE)]
        assert run(owner, "order").failure is None
        assert len(upstream.jobs) == 1

    def test_an_attempt_at_a_restarted_process_stays_unknown(
        self, owner: Owner, upstream: Upstream
    ) -> None:
        upstream.submits = [Err(GONE)]
        upstream.revoke_outcomes = [Success(RevokeOutcome.UNKNOWN)]
        failure = run(owner, "order").failure
        assert failure is not None and failure.code is Code.OUTCOME_UNKNOWN
        assert not failure.not_run and len(upstream.jobs) == 1
