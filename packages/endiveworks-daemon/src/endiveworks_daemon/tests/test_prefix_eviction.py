from collections.abc import Sequence
from typing import Any

from endiveworks.cache.eviction import TokenRates
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.queue import Queue
from endiveworks.calls.stream import FinalStatus
from endiveworks.engines.memory import CachedPrefixes, EngineMemory
from endiveworks.errors import Code, Failure
from endiveworks_daemon.prefix_eviction import PrefixEviction
from endiveworks_daemon.return_estimator import ReturnEstimator
from endiveworks_daemon.upstream_run import with_return_tracking
from returns.result import Result, Success

MEMORY_TOKENS = 1_000


class FakeEngine:
    """A fake engine memory with its evictions, and a clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.prefixes: dict[str, int] = {}
        self.return_estimator = ReturnEstimator(lambda: self.now_s)
        memory: Any = EngineMemory(
            load=self.cached,
            cached=self.cached,
            release=self.export_prefix,
            export_prefix=self.export_prefix,
            import_prefix=self.export_prefix,
        )
        rates = TokenRates(prefill_tokens_per_s=1_000.0, transfer_tokens_per_s=50_000.0)
        self.eviction = PrefixEviction(memory, lambda: MEMORY_TOKENS, rates, self.return_estimator)

    def cached(self) -> Result[CachedPrefixes, Failure]:
        return Success({"prefixes": dict(self.prefixes), "exported": {}})

    def export_prefix(self, program: str) -> Result[None, Failure]:
        del self.prefixes[program]
        return Success(None)

    def record_pauses(self, *pauses_s: float) -> None:
        for pause_s in pauses_s:
            self.return_estimator.record_pause("other")
            self.now_s += pause_s
            self.return_estimator.record_arrival("other")


class TestEviction:
    def test_prefix_of_a_queued_call_is_kept_over_that_of_a_paused_program(self) -> None:
        engine = FakeEngine()
        engine.record_pauses(*[1.0] * 30, *[100.0] * 3)
        engine.prefixes = {"waiting": 400, "paused": 400}
        engine.return_estimator.record_pause("waiting")
        engine.now_s += 10.0
        engine.return_estimator.record_arrival("waiting")
        engine.return_estimator.record_pause("paused")
        engine.eviction.start_call("new", 500)
        assert engine.prefixes == {"waiting": 400}

    def test_prefix_of_a_running_call_is_not_counted_twice(self) -> None:
        engine = FakeEngine()
        engine.prefixes = {"running": 300, "paused": 300}
        engine.eviction.start_call("running", 400)
        engine.eviction.start_call("new", 300)
        assert engine.prefixes == {"running": 300, "paused": 300}


class TestReturns:
    def queue(self, return_estimator: ReturnEstimator, expired: Sequence[Job] = ()) -> Queue:
        refusal = Failure(Code.OVERLOADED, "s", "h", "", True, 1.0)
        inner = Queue(
            enqueue=lambda job, now_s: refusal if job.tenant == "refused" else None,
            dequeue=lambda now_s: None,
            remove=lambda key: None,
            on_finished=lambda job, final_status, now_s: None,
            size=lambda: 0,
            expire=lambda now_s: [(job, refusal) for job in expired],
        )
        return with_return_tracking(inner, return_estimator)

    def job(self, program: str, tenant: str = "t") -> Job:
        key = CallKey(program, 1, 1)
        return Job(key, 1, 1, tenant, "s", "chat", "c", False, 0, 60.0, 1, 1, b"")

    def test_program_is_needed_at_once_while_it_has_a_call_here(self) -> None:
        return_estimator = ReturnEstimator()
        expired = self.job("late")
        queue = self.queue(return_estimator, [expired])
        for job in (expired, self.job("done"), self.job("withdrawn"), self.job("interrupted")):
            assert queue.enqueue(job, 0.0) is None
            assert return_estimator.return_s(job.key.program) == 0.0
        queue.enqueue(self.job("refused", "refused"), 0.0)
        queue.expire(0.0)
        queue.remove(CallKey("withdrawn", 1, 1))
        for name in ("done", "interrupted"):
            queue.on_finished(self.job(name), FinalStatus(200, ""), 0.0)
        queue.requeue(self.job("interrupted"), 0.0)
        names = ("late", "done", "withdrawn", "interrupted", "refused")
        needed_now = [name for name in names if return_estimator.return_s(name) == 0.0]
        assert needed_now == ["interrupted"]
