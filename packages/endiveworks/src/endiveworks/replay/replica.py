"""An upstream in a replay: the engine model behind the admission and cache decisions."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission import limit, preempt, queue, refuse
from ..routing.upstream_choice import estimate_wait_s
from .clock import Clock
from .engine import Engine, Rates, Step
from .job import Job, resumed
from .policy import Policy
from .prefixes import Prefixes

MAX_JUMP_S = 0.2
EXPIRE_S = 1.0
EWMA_SHARE = 0.1
FIRST_COST_S = 5.0
FIRST_NEED_TOKENS = 1_000.0


class Started(NamedTuple):
    """A job in the engine and when it went there."""

    job: Job
    at_s: float


class Report(NamedTuple):
    """What the upstream reports of its load."""

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
        spread: Callable[[], float],
        priorities: tuple[int, ...],
    ) -> None:
        self.host = host
        self.region = region
        self.rates = rates
        self.policy = policy
        self.clock = clock
        self.spread = spread
        self.priorities = priorities
        self.engine = Engine(rates)
        self.prefixes = Prefixes(self.engine, policy.export, lambda: clock.now_s)
        self.queue = queue.FairQueue(_queue_rules(policy))
        self.target = limit.ConcurrencyLimits(
            slots=rates.max_sequences,
            memory_tokens=rates.memory_tokens if policy.memory else 0,
        )
        self.jobs: dict[str, Job] = {}
        self.started: dict[str, Started] = {}
        self.cost_s = FIRST_COST_S
        self.need_tokens = FIRST_NEED_TOKENS
        self.stepping = False
        self.alive = True
        self.preempted = 0

    def submit(self, job: Job) -> None:
        """Takes, queues or refuses a call."""
        if not self.alive:
            job.lost()
            return
        key = job.waiting.key
        if not self.policy.queue:
            self.jobs[key] = job
            self._start(job)
            self._step()
            return
        if self.policy.refuse and self._refuses(job):
            return
        self.prefixes.resume(job.seq.salt)
        self.jobs[key] = job
        queue.enqueue(self.queue, job.waiting)
        self._pump()

    def finish_program(self, salt: str) -> None:
        """Releases the memory of a program that has ended."""
        if self.policy.release:
            self.prefixes.release(salt)

    def vanish(self) -> None:
        """Loses the upstream with all it holds."""
        self.alive = False
        jobs = list(self.jobs.values())
        self.jobs.clear()
        self.started.clear()
        self.engine = Engine(self.rates)
        for job in jobs:
            job.lost()

    def make_report(self) -> Report:
        """Predicts the wait of a new call of each class."""
        allowed = self.usual_calls()
        running = len(self.started)
        waits_s = {
            priority: estimate_wait_s(
                queue.cost_ahead_s(self.queue, priority), running, allowed, self.cost_s
            )
            for priority in self.priorities
        }
        return Report(waits_s, self.clock.now_s, running)

    def usual_calls(self) -> float:
        """Returns how many calls run at once when the engine is full."""
        whole = limit.ConcurrencyLimits(self.rates.max_sequences, self.rates.memory_tokens)
        return limit.expected_concurrency(whole, self.need_tokens)

    def each_second(self) -> None:
        """Answers late calls for as long as the upstream lives."""
        if self.alive:
            self._expire()
            self.clock.after(EXPIRE_S, self.each_second)

    def _expire(self) -> None:
        if not self.policy.expire:
            return
        for key, call in list(self.queue.waiting.items()):
            job = self.jobs[key]
            waited_s = self.clock.now_s - call.arrived_s
            waited = refuse.ElapsedWait(waited_s, job.deadline_s, job.preemptions > 0)
            refusal = refuse.evaluate_queued_call(waited, self.spread())
            if refusal.refused:
                queue.remove(self.queue, key)
                del self.jobs[key]
                job.refused(refusal.retry_after_s)

    def _refuses(self, job: Job) -> bool:
        ahead_s = queue.cost_ahead_s(self.queue, job.waiting.priority)
        expected = refuse.ExpectedWait(ahead_s, self.usual_calls(), job.deadline_s, job.first)
        refusal = refuse.evaluate_new_call(expected, self.spread())
        if refusal.refused:
            job.refused(refusal.retry_after_s)
        return refusal.refused

    def _pump(self) -> None:
        while True:
            first = queue.peek(self.queue, self.clock.now_s)
            if first is None:
                break
            running = limit.EngineLoad(len(self.started), self._reserved_tokens())
            if limit.may_start(self.target, running, first.required_tokens).admitted:
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
                started.job.waiting.priority,
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
        again = resumed(job, seq)
        self.jobs[chosen.key] = again
        queue.enqueue(self.queue, again.waiting)
        return True

    def _start(self, job: Job) -> None:
        if self.policy.pauses:
            started = {known.job.seq.salt for known in self.started.values()}
            self.prefixes.make_room(job.seq, self._reserved_tokens(), started)
            self.prefixes.bring_back(job.seq.salt)
        self.started[job.waiting.key] = Started(job, self.clock.now_s)
        self.engine.submit(job.seq)

    def _step(self) -> None:
        if self.stepping or not self.engine.busy or not self.alive:
            return
        self.stepping = True
        engine = self.engine
        step = engine.step(MAX_JUMP_S)
        self.clock.after(step.duration_s, lambda: self._stepped(engine, step))

    def _stepped(self, engine: Engine, step: Step) -> None:
        self.stepping = False
        if engine is not self.engine:
            return
        self.engine.events.clear()
        for seq in step.finished:
            started = self.started.pop(seq.request, None)
            if started is None:
                continue
            job = self.jobs.pop(seq.request)
            took_s = self.clock.now_s - started.at_s
            self.cost_s += EWMA_SHARE * (took_s - self.cost_s)
            self.need_tokens += EWMA_SHARE * (seq.reserved_tokens - self.need_tokens)
            extra_s = took_s - job.waiting.cost_s
            queue.charge(self.queue, job.waiting.tenant, job.waiting.weight, extra_s)
            job.done(seq)
        self._pump() if self.policy.queue else self._step()


def _queue_rules(policy: Policy) -> queue.QueueConfig:
    usual = queue.QueueConfig()
    return usual if policy.service else usual._replace(level_penalty_s=0.0)
