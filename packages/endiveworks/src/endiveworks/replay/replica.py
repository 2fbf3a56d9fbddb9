"""Simulated upstream: the engine model behind the admission and cache decisions."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission import limit, preempt, queue, refuse
from ..routing.upstream_choice import estimate_wait_s
from .clock import Clock
from .engine import Engine, Rates, StepResult
from .job import Job, resume_job
from .policy import Policy
from .prefixes import PrefixManager

MAX_STEP_BATCH_S = 0.2
EXPIRE_PERIOD_S = 1.0
EWMA_WEIGHT = 0.1
INITIAL_COST_S = 5.0
INITIAL_TOKENS_PER_CALL = 1_000.0


class StartedJob(NamedTuple):
    """A job submitted to the engine, and when."""

    job: Job
    at_s: float


class LoadReport(NamedTuple):
    """Load report of an upstream; waits_s maps each priority to its expected wait."""

    waits_s: dict[int, float]
    at_s: float
    running: int = 0


class Replica:
    """State of one upstream."""

    def __init__(
        self,
        host: str,
        region: str,
        rates: Rates,
        policy: Policy,
        clock: Clock,
        jitter: Callable[[], float],
        priorities: tuple[int, ...],
    ) -> None:
        self.host = host
        self.region = region
        self.rates = rates
        self.policy = policy
        self.clock = clock
        self.jitter = jitter
        self.priorities = priorities
        self.engine = Engine(rates)
        self.prefixes = PrefixManager(self.engine, policy.export, lambda: clock.now_s)
        self.queue = queue.FairQueue(_queue_config(policy))
        self.limits = limit.ConcurrencyLimits(
            slots=rates.max_sequences,
            memory_tokens=rates.memory_tokens if policy.memory else 0,
        )
        self.jobs: dict[str, Job] = {}
        self.started: dict[str, StartedJob] = {}
        self.cost_s = INITIAL_COST_S
        self.tokens_per_call = INITIAL_TOKENS_PER_CALL
        self.stepping = False
        self.alive = True
        self.preempted = 0

    def submit(self, job: Job) -> None:
        """Starts, queues or refuses a call."""
        if not self.alive:
            job.on_lost()
            return
        key = job.queued_call.key
        if not self.policy.queue:
            self.jobs[key] = job
            self._start(job)
            self._step()
            return
        if self.policy.refuse and self._refuse_if_late(job):
            return
        self.prefixes.resume(job.seq.salt)
        self.jobs[key] = job
        queue.enqueue(self.queue, job.queued_call)
        self._dispatch()

    def finish_program(self, salt: str) -> None:
        """Releases the prefixes of a program that has ended or moved to another upstream."""
        if self.policy.release:
            self.prefixes.release(salt)

    def fail(self) -> None:
        """Fails the upstream; its calls are lost."""
        self.alive = False
        jobs = list(self.jobs.values())
        self.jobs.clear()
        self.started.clear()
        self.engine = Engine(self.rates)
        for job in jobs:
            job.on_lost()

    def report_load(self) -> LoadReport:
        """Returns a load report with the expected wait of a new call by priority."""
        concurrency = self.expected_concurrency()
        running = len(self.started)
        waits_s = {
            priority: estimate_wait_s(
                queue.cost_ahead_s(self.queue, priority), running, concurrency, self.cost_s
            )
            for priority in self.priorities
        }
        return LoadReport(waits_s, self.clock.now_s, running)

    def expected_concurrency(self) -> float:
        """Returns the expected number of concurrent calls when the engine is full."""
        limits = limit.ConcurrencyLimits(self.rates.max_sequences, self.rates.memory_tokens)
        return limit.expected_concurrency(limits, self.tokens_per_call)

    def expire_periodically(self) -> None:
        """Refuses expired calls every EXPIRE_PERIOD_S seconds until the upstream fails."""
        if self.alive:
            self._expire()
            self.clock.call_later(EXPIRE_PERIOD_S, self.expire_periodically)

    def _expire(self) -> None:
        if not self.policy.expire:
            return
        for key, call in list(self.queue.waiting.items()):
            job = self.jobs[key]
            waited_s = self.clock.now_s - call.arrived_s
            elapsed = refuse.ElapsedWait(waited_s, job.deadline_s, job.preemptions > 0)
            refusal = refuse.evaluate_queued_call(elapsed, self.jitter())
            if refusal.refused:
                queue.remove(self.queue, key)
                del self.jobs[key]
                job.on_refused(refusal.retry_after_s)

    def _refuse_if_late(self, job: Job) -> bool:
        ahead_s = queue.cost_ahead_s(self.queue, job.queued_call.priority)
        expected = refuse.ExpectedWait(
            ahead_s, self.expected_concurrency(), job.deadline_s, job.first_call
        )
        refusal = refuse.evaluate_new_call(expected, self.jitter())
        if refusal.refused:
            job.on_refused(refusal.retry_after_s)
        return refusal.refused

    def _dispatch(self) -> None:
        while True:
            first = queue.peek(self.queue, self.clock.now_s)
            if first is None:
                break
            running = limit.EngineLoad(len(self.started), self._reserved_tokens())
            if limit.may_start(self.limits, running, first.required_tokens).admitted:
                queue.dequeue(self.queue, self.clock.now_s)
                self._start(self.jobs[first.key])
            elif not (self.policy.preempt and self._preempt(first.priority)):
                break
        self._step()

    def _reserved_tokens(self) -> int:
        waiting = sum(seq.reserved_tokens for seq in self.engine.waiting)
        return self.engine.running_tokens + waiting

    def _preempt(self, priority: int) -> bool:
        victims = [
            preempt.RunningCall(
                key,
                started.job.queued_call.priority,
                started.job.seq.output_tokens - started.job.seq.produced,
                started.job.preemptions,
                True,
            )
            for key, started in self.started.items()
        ]
        chosen = preempt.choose_victim(victims, priority)
        if chosen is None:
            return False
        job = self.started.pop(chosen.key).job
        seq = self.engine.cancel(chosen.key)
        if seq is None:
            return False
        self.preempted += 1
        resumed = resume_job(job, seq)
        self.jobs[chosen.key] = resumed
        queue.enqueue(self.queue, resumed.queued_call)
        return True

    def _start(self, job: Job) -> None:
        if self.policy.pauses:
            started = {other.job.seq.salt for other in self.started.values()}
            self.prefixes.make_room(job.seq, self._reserved_tokens(), started)
            self.prefixes.import_prefix(job.seq.salt)
        self.started[job.queued_call.key] = StartedJob(job, self.clock.now_s)
        self.engine.submit(job.seq)

    def _step(self) -> None:
        if self.stepping or not self.engine.busy or not self.alive:
            return
        self.stepping = True
        engine = self.engine
        step = engine.step(MAX_STEP_BATCH_S)
        self.clock.call_later(step.duration_s, lambda: self._on_step_done(engine, step))

    def _on_step_done(self, engine: Engine, step: StepResult) -> None:
        self.stepping = False
        if engine is not self.engine:
            return
        self.engine.events.clear()
        for seq in step.finished:
            started = self.started.pop(seq.request, None)
            if started is None:
                continue
            job = self.jobs.pop(seq.request)
            duration_s = self.clock.now_s - started.at_s
            self.cost_s += EWMA_WEIGHT * (duration_s - self.cost_s)
            self.tokens_per_call += EWMA_WEIGHT * (seq.reserved_tokens - self.tokens_per_call)
            extra_s = duration_s - job.queued_call.cost_s
            queue.charge(self.queue, job.queued_call.tenant, job.queued_call.weight, extra_s)
            job.on_done(seq)
        self._dispatch() if self.policy.queue else self._step()


def _queue_config(policy: Policy) -> queue.QueueConfig:
    config = queue.QueueConfig()
    return config if policy.service else config._replace(level_penalty_s=0.0)
