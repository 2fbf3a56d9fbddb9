"""Executor queue that applies the admission decisions of this package."""

import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ..calls.messages import CallKey, Job
from ..calls.queue import Queue as ExecutorQueue
from ..calls.stream import FinalStatus
from ..config.bundle import Service, TenantSettings
from ..errors import Code, Failure
from ..reasons import Reason, Reasons
from . import queue
from .limit import ConcurrencyLimits, EngineLoad, expected_concurrency, may_start
from .preempt import RunningCall, choose_victim
from .refuse import ElapsedWait, ExpectedWait, Refusal, evaluate_new_call, evaluate_queued_call

_STEP = "admission.offer"
_FIRST_CALL = 1
_INITIAL_COST_S = 1.0
_EWMA_WEIGHT = 0.1
_MAX_EXPLAINED_ATTEMPTS = 4_096
_ANY_TENANT = "*"
_DEFAULT_SETTINGS = TenantSettings(1.0, 0)


class AdmissionContext(NamedTuple):
    """What the queue needs from the process that it runs in.

    Attributes:
        host: Host name of the process.
        service: Returns the current service configuration; None until the first is received.
        memory_tokens: Returns the capacity of the engine's KV cache in tokens; 0 if unknown.
        max_waiting: Maximum number of waiting calls per tenant and class.
    """

    host: str
    service: Callable[[], Service | None]
    memory_tokens: Callable[[], int]
    max_waiting: int


class _Started(NamedTuple):
    """A running job, its start time, and its call as it was queued."""

    at_s: float
    job: Job
    call: queue.QueuedCall


class CallStats:
    """Moving averages of the time and tokens that completed calls used."""

    def __init__(self) -> None:
        self.cost_s = _INITIAL_COST_S
        self.prompt_ratio = 1.0
        self.completion_ratio = 1.0
        self.mean_tokens = 0.0

    def record(self, job: Job, final_status: FinalStatus, took_s: float) -> None:
        """Updates the averages with a call that has completed."""
        self.cost_s += _EWMA_WEIGHT * (took_s - self.cost_s)
        if job.prompt_tokens and final_status.prompt_tokens:
            ratio = final_status.prompt_tokens / job.prompt_tokens
            self.prompt_ratio += _EWMA_WEIGHT * (ratio - self.prompt_ratio)
        if job.max_tokens and final_status.completion_tokens:
            ratio = final_status.completion_tokens / job.max_tokens
            self.completion_ratio += _EWMA_WEIGHT * (ratio - self.completion_ratio)
        used_tokens = final_status.prompt_tokens + final_status.completion_tokens
        self.mean_tokens += _EWMA_WEIGHT * (used_tokens - self.mean_tokens)

    def estimate_tokens(self, job: Job) -> int:
        """Returns the expected KV cache usage of a job, in tokens."""
        return round(job.prompt_tokens * self.prompt_ratio + job.max_tokens * self.completion_ratio)


class AdmissionQueue:
    """Queue of one upstream, with its running jobs and the reasons for each decision."""

    def __init__(self, context: AdmissionContext, rng: random.Random) -> None:
        self.context = context
        self.rng = rng
        self.queue = queue.FairQueue(queue.QueueConfig(max_waiting=context.max_waiting))
        self.jobs: dict[str, Job] = {}
        self.started: dict[str, _Started] = {}
        self.stats = CallStats()
        self.being_preempted: set[str] = set()
        self.preemptions: Counter[str] = Counter()
        self.reasons: OrderedDict[str, Reasons] = OrderedDict()

    def enqueue(self, job: Job, now_s: float) -> Failure | None:
        """Queues a job, or refuses it if its predicted wait is too long or the queue is full."""
        service = self.context.service()
        call = self._queued_call(job, service, now_s)
        refusal = self._evaluate(job, call.priority, service)
        self._record_reasons(job.key, refusal.reasons)
        if refusal.refused:
            detail = "the predicted wait of the call is too long for its deadline"
            return self._refusal(detail, refusal.retry_after_s)
        if not queue.enqueue(self.queue, call):
            detail = (
                f"{self.context.max_waiting} calls of the tenant are already queued in this class"
            )
            return self._refusal(detail, self.stats.cost_s * (1.0 + self.rng.random()))
        self.jobs[call.key] = job
        return None

    def dequeue(self, now_s: float) -> Job | None:
        """Removes and returns the next job; None if the queue is empty or the engine is full."""
        head = queue.peek(self.queue, now_s)
        if head is None:
            return None
        reserved_tokens = sum(started.call.required_tokens for started in self.started.values())
        decision = may_start(
            self._limits(), EngineLoad(len(self.started), reserved_tokens), head.required_tokens
        )
        if not decision.admitted:
            return None
        dequeued = queue.dequeue(self.queue, now_s)
        assert dequeued is not None
        job = self.jobs.pop(head.key)
        self.started[head.key] = _Started(now_s, job, head)
        self._record_reasons(job.key, dequeued.reasons + decision.reasons)
        return job

    def remove(self, key: CallKey) -> None:
        """Removes a waiting job."""
        queue.remove(self.queue, str(key))
        self.jobs.pop(str(key), None)

    def on_finished(self, job: Job, final_status: FinalStatus, now_s: float) -> None:
        """Removes a job that has ended, charges its tenant and updates the averages."""
        started = self.started.pop(str(job.key), None)
        if str(job.key) not in self.being_preempted:
            self.preemptions.pop(str(job.key), None)
        self.being_preempted.discard(str(job.key))
        if started is None:
            return
        took_s = now_s - started.at_s
        settings = _tenant_settings(self.context.service(), job.tenant)
        queue.charge(self.queue, job.tenant, settings.weight, took_s - started.call.cost_s)
        if final_status.failure is None:
            self.stats.record(job, final_status, took_s)

    def preempt(self, now_s: float) -> CallKey | None:
        """Chooses a running job to cancel in favour of a waiting job of a higher class."""
        head = queue.peek(self.queue, now_s)
        if head is None or any(key in self.being_preempted for key in self.started):
            return None
        victims = [self._running_call(key, started) for key, started in self.started.items()]
        preemption = choose_victim(victims, head.priority)
        if preemption is None:
            return None
        self.being_preempted.add(preemption.key)
        self.preemptions[preemption.key] += 1
        job = self.started[preemption.key].job
        self._record_reasons(job.key, preemption.reasons)
        return job.key

    def requeue(self, job: Job, now_s: float) -> None:
        """Queues a preempted job again."""
        call = self._queued_call(job, self.context.service(), now_s)
        self.jobs[call.key] = job
        # The limit on waiting calls applies to new calls only; the response of this one has begun.
        queue.enqueue(self.queue, call, bounded=False)

    def expire(self, now_s: float) -> list[tuple[Job, Failure]]:
        """Removes and refuses jobs whose deadline has passed; preempted jobs stay queued."""
        refusals = []
        for key, job in list(self.jobs.items()):
            waited_s = now_s - self.queue.waiting[key].arrived_s
            waited = ElapsedWait(waited_s, job.deadline_s, key in self.preemptions)
            refusal = evaluate_queued_call(waited, self.rng.random())
            if refusal.refused:
                self.remove(job.key)
                detail = "the deadline of the call passed while it was queued"
                refusals.append((job, self._refusal(detail, refusal.retry_after_s)))
        return refusals

    def _running_call(self, key: str, started: _Started) -> RunningCall:
        job = started.job
        return RunningCall(
            key=key,
            priority=started.call.priority,
            remaining_tokens=job.max_tokens,
            preemptions=self.preemptions[key],
            resumable=job.max_tokens > 0 and not job.at_most_once,
        )

    def explain(self, program: str) -> dict[str, Reasons]:
        """Returns the recorded reasons for each recent attempt of a program."""
        return {
            key: reasons for key, reasons in self.reasons.items() if key.startswith(f"{program}:")
        }

    def _queued_call(self, job: Job, service: Service | None, now_s: float) -> queue.QueuedCall:
        classes: Mapping[str, int] = service.classes if service is not None else {}
        lowest = max(classes.values(), default=0)
        return queue.QueuedCall(
            key=str(job.key),
            tenant=job.tenant,
            weight=_tenant_settings(service, job.tenant).weight,
            priority=classes.get(job.class_name, lowest),
            attained_tokens=job.attained_tokens,
            cost_s=self.stats.cost_s,
            arrived_s=now_s,
            required_tokens=self.stats.estimate_tokens(job),
        )

    def _evaluate(self, job: Job, priority: int, service: Service | None) -> Refusal:
        slots = expected_concurrency(self._limits(), self.stats.mean_tokens)
        deadline_s = job.deadline_s if service is not None else float("inf")
        expected = ExpectedWait(
            cost_ahead_s=queue.cost_ahead_s(self.queue, priority),
            slots=slots,
            deadline_s=deadline_s,
            first_call=job.key.call == _FIRST_CALL,
        )
        return evaluate_new_call(expected, self.rng.random())

    def _limits(self) -> ConcurrencyLimits:
        service = self.context.service()
        slots = service.slots if service is not None else 1
        return ConcurrencyLimits(slots, self.context.memory_tokens())

    def _refusal(self, detail: str, retry_after_s: float) -> Failure:
        return Failure(Code.OVERLOADED, _STEP, self.context.host, detail, True, retry_after_s)

    def _record_reasons(self, key: CallKey, reasons: Reasons) -> None:
        recorded = self.reasons.get(str(key), ())
        self.reasons[str(key)] = recorded + tuple(Reason(*reason) for reason in reasons)
        if len(self.reasons) > _MAX_EXPLAINED_ATTEMPTS:
            self.reasons.popitem(last=False)


def executor_queue(admission: AdmissionQueue) -> ExecutorQueue:
    """Returns the functions that an executor calls while it holds its lock."""
    return ExecutorQueue(
        admission.enqueue,
        admission.dequeue,
        admission.remove,
        admission.on_finished,
        lambda: len(admission.queue.waiting),
        admission.preempt,
        admission.requeue,
        admission.expire,
    )


def _tenant_settings(service: Service | None, tenant: str) -> TenantSettings:
    if service is None:
        return _DEFAULT_SETTINGS
    return service.tenants.get(tenant) or service.tenants.get(_ANY_TENANT) or _DEFAULT_SETTINGS
