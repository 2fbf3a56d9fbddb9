import math
import random
import threading
import time

import pytest
from endiveworks.admission.admission_queue import AdmissionContext, AdmissionQueue, executor_queue
from endiveworks.calls import executor
from endiveworks.calls.executor import Executor
from endiveworks.calls.fifo import fifo_queue
from endiveworks.calls.messages import CallKey, Job, RevokeOutcome
from endiveworks.calls.stream import FinalStatus, Stream
from endiveworks.config.bundle import CostWeights, Service
from endiveworks.errors import Code

KEY = CallKey("0001-a", 1, 1)
JOB = Job(KEY, 3, 7, "t", "shop", "order", "front", True, 0, 10.0, 0, 0, b"{}")
DONE = FinalStatus(200, "application/json")


class Harness:
    """An executor whose attempts finish once `may_finish` is set."""

    def __init__(self, slots: int = 1) -> None:
        self.runs: list[CallKey] = []
        self.may_finish = threading.Event()
        self.started = threading.Semaphore(0)
        queue = fifo_queue("u", 2)
        self.executor = Executor("u", 7, queue, self.run, lambda: slots)

    def run(self, job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        self.runs.append(job.key)
        self.started.release()
        self.may_finish.wait(10)
        stream.append(b"whole")
        return DONE

    def finish(self, key: CallKey) -> bytes:
        self.may_finish.set()
        data = b""
        while True:
            chunk = self.executor.read(key, len(data), 10.0).unwrap()
            data += chunk.data
            if chunk.final_status is not None:
                return data


class TestSubmit:
    def test_a_repeat_runs_once(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.executor.submit(JOB).unwrap()
        assert harness.finish(KEY) == b"whole"
        harness.executor.submit(JOB).unwrap()
        assert harness.runs == [KEY]

    def test_another_incarnation_is_refused(self) -> None:
        failure = Harness().executor.submit(JOB._replace(incarnation=8)).failure()
        assert failure.code is Code.CONFLICT and failure.not_run

    def test_an_older_epoch_is_refused_once_a_newer_one_was_seen(self) -> None:
        harness = Harness()
        harness.executor.revoke(CallKey("0001-b", 1, 1), 7, 4)
        failure = harness.executor.submit(JOB).failure()
        assert failure.code is Code.STALE_EPOCH and failure.not_run
        assert harness.runs == []

    def test_a_full_queue_refuses(self) -> None:
        harness = Harness()
        for attempt in range(1, 4):
            job = JOB._replace(key=KEY._replace(attempt=attempt))
            harness.executor.submit(job).unwrap()
            if attempt == 1:
                harness.started.acquire()
        job = JOB._replace(key=KEY._replace(attempt=4))
        failure = harness.executor.submit(job).failure()
        assert failure.code is Code.OVERLOADED and failure.retry_after_s is not None
        harness.may_finish.set()

    def test_a_failed_attempt_frees_its_slot(self) -> None:
        def run(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
            raise ValueError("fault")

        executor = Executor("u", 7, fifo_queue("u", 2), run, lambda: 1)
        for attempt in (1, 2):
            key = KEY._replace(attempt=attempt)
            executor.submit(JOB._replace(key=key)).unwrap()
            final_status = executor.read(key, 0, 10.0).unwrap().final_status
            assert final_status is not None and final_status.failure is not None
            assert final_status.failure.code is Code.INTERNAL


class TestRevoke:
    def test_an_unknown_attempt_never_runs_afterwards(self) -> None:
        harness = Harness()
        assert harness.executor.revoke(KEY, 7, 3) is RevokeOutcome.REVOKED
        assert harness.executor.submit(JOB).failure().code is Code.REVOKED
        assert harness.runs == []

    def test_a_waiting_attempt_is_withdrawn(self) -> None:
        harness = Harness()
        first = JOB._replace(key=KEY._replace(attempt=9))
        harness.executor.submit(first).unwrap()
        harness.started.acquire()
        harness.executor.submit(JOB).unwrap()
        assert harness.executor.revoke(KEY, 7, 3) is RevokeOutcome.REVOKED
        harness.finish(first.key)
        assert harness.runs == [first.key]

    def test_a_running_attempt_keeps_running(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.started.acquire()
        assert harness.executor.revoke(KEY, 7, 3) is RevokeOutcome.RUNNING
        assert harness.finish(KEY) == b"whole"
        assert harness.executor.revoke(KEY, 7, 3) is RevokeOutcome.ENDED

    def test_an_evicted_attempt_may_have_run(self, monkeypatch: pytest.MonkeyPatch) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.finish(KEY)
        long_after = time.monotonic() + 2 * executor._KEEP_KEY_S
        monkeypatch.setattr(executor.time, "monotonic", lambda: long_after)
        harness.executor.submit(JOB._replace(key=CallKey("0001-b", 1, 1))).unwrap()
        assert harness.executor.revoke(KEY, 7, 4) is RevokeOutcome.UNKNOWN
        failure = harness.executor.submit(JOB._replace(epoch=4)).failure()
        assert failure.code is Code.CONFLICT and not failure.not_run
        stale = harness.executor.submit(JOB).failure()
        assert stale.code is Code.CONFLICT and not stale.not_run
        assert harness.runs.count(KEY) == 1
        assert harness.executor.revoke(KEY._replace(attempt=2), 7, 4) is RevokeOutcome.REVOKED

    def test_another_incarnation_is_unknown(self) -> None:
        assert Harness().executor.revoke(KEY, 8, 3) is RevokeOutcome.UNKNOWN


class TestDrain:
    def test_refuses_new_attempts_and_finishes_the_accepted_ones(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        assert not harness.executor.drain(0.0)
        harness.finish(KEY)
        assert harness.executor.drain(10.0)
        failure = harness.executor.submit(JOB._replace(key=KEY._replace(attempt=2))).failure()
        assert failure.code is Code.DRAINING and failure.not_run

    def test_does_not_wait_for_an_abandoned_response(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.may_finish.set()
        assert harness.executor.drain(600.0, time.monotonic)

    def test_waits_for_a_running_attempt_however_old_the_last_request(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        assert not harness.executor.drain(0.0, lambda: math.inf)
        harness.may_finish.set()

    @pytest.mark.parametrize("request_kind", ["read", "revoke"])
    def test_waits_for_a_response_that_a_new_owner_has_requested(self, request_kind: str) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.may_finish.set()
        assert harness.executor.drain(600.0, time.monotonic)
        before = time.monotonic()
        if request_kind == "read":
            assert harness.executor.find(KEY).unwrap().read(0, 0.0).final_status == DONE
        else:
            assert harness.executor.revoke(KEY, 7, 4) is RevokeOutcome.ENDED
        assert not harness.executor.drain(0.0, lambda: before)
        assert harness.finish(KEY) == b"whole"
        assert harness.executor.drain(0.0, lambda: before)


class TestAdmit:
    def test_refuses_new_attempts_while_those_accepted_before_end(self) -> None:
        harness = Harness()
        harness.executor.submit(JOB).unwrap()
        harness.executor.set_admitting(False)
        later = JOB._replace(key=KEY._replace(attempt=2))
        failure = harness.executor.submit(later).failure()
        assert failure.code is Code.NO_UPSTREAM and failure.not_run
        harness.executor.submit(JOB).unwrap()
        assert harness.finish(KEY) == b"whole"
        harness.executor.set_admitting(True)
        harness.executor.submit(later).unwrap()


class TestDeadline:
    def test_late_attempt_fails_as_not_run_and_never_runs(self) -> None:
        service = Service(
            "s", "model", "m", {"front": 0}, "front", {}, frozenset(), False,
            CostWeights(1.0, 1.0), 0.0, 10, 1,
        )  # fmt: skip
        admission = AdmissionQueue(
            AdmissionContext("u", lambda: service, lambda: 0, 5), random.Random(1)
        )
        runs: list[CallKey] = []
        may_finish = threading.Event()

        def run(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
            runs.append(job.key)
            may_finish.wait(10)
            return DONE

        waiting = Executor("u", 7, executor_queue(admission), run, lambda: 1)
        first, late = KEY, CallKey("0001-b", 1, 1)
        waiting.submit(JOB._replace(key=first)).unwrap()
        waiting.submit(JOB._replace(key=late, deadline_s=0.0)).unwrap()
        waiting.expire()
        final_status = waiting.read(late, 0, 10.0).unwrap().final_status
        assert final_status is not None and final_status.failure is not None
        assert final_status.failure.code is Code.OVERLOADED and final_status.failure.not_run
        assert final_status.failure.retry_after_s is not None
        may_finish.set()
        assert waiting.read(first, 0, 10.0).unwrap().final_status == DONE
        assert waiting.load() == (0, 0)
        assert runs == [first]
