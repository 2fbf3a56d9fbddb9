"""The queue of an executor, ordered and bounded by the decisions of this package."""

import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ..calls.messages import CallKey, Job
from ..calls.queue import Queue as ExecutorQueue
from ..calls.stream import Ending
from ..config.bundle import Service, TenantTerms
from ..errors import Code, Failure
from ..reasons import Reason, Reasons
from . import queue
from .limit import Running, Target, may_start, usual_calls
from .preempt import Victim, choose_victim
from .refuse import Expected, Refusal, Waited, judge, judge_waiting

_STEP = "admission.offer"
_FIRST_CALL = 1
_FIRST_COST_S = 1.0
_EWMA_SHARE = 0.1
_KEPT_REASONS = 4_096
_ANY_TENANT = "*"
_UNKNOWN = TenantTerms(1.0, 0)


class Surroundings(NamedTuple):
    """What the queue asks of the process around it.

    Attributes:
        host: Name of the process.
        service: Returns the service in force; None before the first configuration.
        memory_tokens: Returns the engine's memory in tokens; 0 when it is not known.
        max_waiting: Most calls of one tenant and class that may wait.
    """

    host: str
    service: Callable[[], Service | None]
    memory_tokens: Callable[[], int]
    max_waiting: int


class _Started(NamedTuple):
    """A job that runs, and the call as it was admitted."""

    at_s: float
    job: Job
    call: queue.Waiting


class Usual:
    """Moving averages of what calls turned out to take."""

    def __init__(self) -> None:
        self.cost_s = _FIRST_COST_S
        self.prompt_share = 1.0
        self.answer_share = 1.0
        self.need_tokens = 0.0

    def learn(self, job: Job, ending: Ending, took_s: float) -> None:
        """Takes in a call that has ended whole."""
        self.cost_s += _EWMA_SHARE * (took_s - self.cost_s)
        if job.prompt_tokens and ending.prompt_tokens:
            share = ending.prompt_tokens / job.prompt_tokens
            self.prompt_share += _EWMA_SHARE * (share - self.prompt_share)
        if job.max_tokens and ending.completion_tokens:
            share = ending.completion_tokens / job.max_tokens
            self.answer_share += _EWMA_SHARE * (share - self.answer_share)
        used = ending.prompt_tokens + ending.completion_tokens
        self.need_tokens += _EWMA_SHARE * (used - self.need_tokens)

    def need_of(self, job: Job) -> int:
        """Returns the engine memory that a job is expected to take, in tokens."""
        return round(job.prompt_tokens * self.prompt_share + job.max_tokens * self.answer_share)


class Admission:
    """State of the queue before one upstream."""

    def __init__(self, around: Surroundings, source: random.Random) -> None:
        self.around = around
        self.source = source
        self.queue = queue.Queue(queue.Rules(max_waiting=around.max_waiting))
        self.jobs: dict[str, Job] = {}
        self.started: dict[str, _Started] = {}
        self.usual = Usual()
        self.pausing: set[str] = set()
        self.preemptions: Counter[str] = Counter()
        self.reasons: OrderedDict[str, Reasons] = OrderedDict()

    def offer(self, job: Job, now_s: float) -> Failure | None:
        """Queues a job, or refuses it at once when it would wait past its deadline."""
        service = self.around.service()
        call = self._waiting(job, service, now_s)
        refusal = self._judge(job, call.priority, service)
        self._note(job.key, refusal.reasons)
        if refusal.refused:
            detail = "the call would wait past its deadline"
            return self._refused(detail, refusal.retry_after_s)
        if not queue.offer(self.queue, call):
            detail = f"{self.around.max_waiting} calls of the tenant wait already"
            return self._refused(detail, self.usual.cost_s * (1.0 + self.source.random()))
        self.jobs[call.key] = job
        return None

    def take(self, now_s: float) -> Job | None:
        """Returns the job that starts now; None when none waits or the engine has no room."""
        first = queue.head(self.queue, now_s)
        if first is None:
            return None
        reserved = sum(started.call.need_tokens for started in self.started.values())
        verdict = may_start(self._target(), Running(len(self.started), reserved), first.need_tokens)
        if not verdict.admitted:
            return None
        taken = queue.take(self.queue, now_s)
        assert taken is not None
        job = self.jobs.pop(first.key)
        self.started[first.key] = _Started(now_s, job, first)
        self._note(job.key, taken.reasons + verdict.reasons)
        return job

    def withdraw(self, key: CallKey) -> None:
        """Removes a waiting job."""
        queue.remove(self.queue, str(key))
        self.jobs.pop(str(key), None)

    def finished(self, job: Job, ending: Ending, now_s: float) -> None:
        """Frees what a job held, and learns from it."""
        started = self.started.pop(str(job.key), None)
        if str(job.key) not in self.pausing:
            self.preemptions.pop(str(job.key), None)
        self.pausing.discard(str(job.key))
        if started is None:
            return
        took_s = now_s - started.at_s
        terms = _terms(self.around.service(), job.tenant)
        queue.settle(self.queue, job.tenant, terms.weight, took_s - started.call.cost_s)
        if ending.failure is None:
            self.usual.learn(job, ending, took_s)

    def preempt(self, now_s: float) -> CallKey | None:
        """Names the running job that makes way for a waiting one of a higher class."""
        first = queue.head(self.queue, now_s)
        if first is None or any(key in self.pausing for key in self.started):
            return None
        victims = [self._victim(key, started) for key, started in self.started.items()]
        chosen = choose_victim(victims, first.priority)
        if chosen is None:
            return None
        self.pausing.add(chosen.key)
        self.preemptions[chosen.key] += 1
        job = self.started[chosen.key].job
        self._note(job.key, chosen.reasons)
        return job.key

    def requeue(self, job: Job, now_s: float) -> None:
        """Takes back a job that made way."""
        call = self._waiting(job, self.around.service(), now_s)
        self.jobs[call.key] = job
        # The bound on waiting calls is for new ones: this one has begun its answer.
        queue.offer(self.queue, call, bounded=False)

    def expire(self, now_s: float) -> list[tuple[Job, Failure]]:
        """Removes the jobs that have waited past their deadline; paused ones go on waiting."""
        refusals = []
        for key, job in list(self.jobs.items()):
            waited_s = now_s - self.queue.waiting[key].arrived_s
            waited = Waited(waited_s, job.deadline_s, key in self.preemptions)
            refusal = judge_waiting(waited, self.source.random())
            if refusal.refused:
                self.withdraw(job.key)
                detail = "the call waited past its deadline"
                refusals.append((job, self._refused(detail, refusal.retry_after_s)))
        return refusals

    def _victim(self, key: str, started: _Started) -> Victim:
        job = started.job
        return Victim(
            key=key,
            priority=started.call.priority,
            remaining_tokens=job.max_tokens,
            preemptions=self.preemptions[key],
            resumable=job.max_tokens > 0 and not job.at_most_once,
        )

    def explain(self, program: str) -> dict[str, Reasons]:
        """Returns the reasons for the attempts of a program that are still kept."""
        return {key: why for key, why in self.reasons.items() if key.startswith(f"{program}:")}

    def _waiting(self, job: Job, service: Service | None, now_s: float) -> queue.Waiting:
        classes: Mapping[str, int] = service.classes if service is not None else {}
        lowest = max(classes.values(), default=0)
        return queue.Waiting(
            key=str(job.key),
            tenant=job.tenant,
            weight=_terms(service, job.tenant).weight,
            priority=classes.get(job.class_name, lowest),
            attained_tokens=job.attained_tokens,
            cost_s=self.usual.cost_s,
            arrived_s=now_s,
            need_tokens=self.usual.need_of(job),
        )

    def _judge(self, job: Job, priority: int, service: Service | None) -> Refusal:
        slots = usual_calls(self._target(), self.usual.need_tokens)
        deadline_s = job.deadline_s if service is not None else float("inf")
        expected = Expected(
            ahead_s=queue.cost_ahead_s(self.queue, priority),
            slots=slots,
            deadline_s=deadline_s,
            first=job.key.call == _FIRST_CALL,
        )
        return judge(expected, self.source.random())

    def _target(self) -> Target:
        service = self.around.service()
        slots = service.slots if service is not None else 1
        return Target(slots, self.around.memory_tokens())

    def _refused(self, detail: str, retry_after_s: float) -> Failure:
        return Failure(Code.OVERLOADED, _STEP, self.around.host, detail, True, retry_after_s)

    def _note(self, key: CallKey, reasons: Reasons) -> None:
        kept = self.reasons.get(str(key), ())
        self.reasons[str(key)] = kept + tuple(Reason(*reason) for reason in reasons)
        if len(self.reasons) > _KEPT_REASONS:
            self.reasons.popitem(last=False)


def executor_queue(admission: Admission) -> ExecutorQueue:
    """Returns the functions that an executor calls, under its lock."""
    return ExecutorQueue(
        admission.offer,
        admission.take,
        admission.withdraw,
        admission.finished,
        lambda: len(admission.queue.waiting),
        admission.preempt,
        admission.requeue,
        admission.expire,
    )


def _terms(service: Service | None, tenant: str) -> TenantTerms:
    if service is None:
        return _UNKNOWN
    return service.tenants.get(tenant) or service.tenants.get(_ANY_TENANT) or _UNKNOWN
