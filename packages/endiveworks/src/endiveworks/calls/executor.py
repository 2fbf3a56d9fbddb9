"""Attempts dispatched to one upstream process: each runs at most once, in admitted order."""

import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .execution import Execution
from .messages import CallKey, Doubt, Job
from .queue import Queue
from .stream import Ending, Piece, Stream

# A message about an attempt may be delayed, so its key outlives its answer.
_KEEP_KEY_S = 3600.0
_KEEP_ANSWER_S = 300.0
_BUSY_RETRY_S = 1.0
_DRAIN_POLL_S = 0.25


# Runs an attempt to its end, appending to the stream and stopping once the event is set.
Run = Callable[[Job, Stream, threading.Event], Ending]


class Executor:
    """Runs attempts on one upstream.

    Every attempt that was accepted or revoked is remembered, so that a repeated message finds its
    first outcome. Attempts of an older epoch than one seen for their partition are refused, so a
    previous owner that was paused can't start anything after its successor has asked about it.

    Args:
        host: Name of this upstream process.
        incarnation: Random id taken at its start.
        queue: Order of the waiting attempts.
        run: Runs one attempt.
        slots: Returns how many attempts may run at once.
    """

    def __init__(
        self, host: str, incarnation: int, queue: Queue, run: Run, slots: Callable[[], int]
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self._queue = queue
        self._run = run
        self._slots = slots
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._executions: dict[CallKey, Execution] = {}
        self._ended: OrderedDict[CallKey, float] = OrderedDict()
        self._answered: OrderedDict[CallKey, float] = OrderedDict()
        self._revoked: OrderedDict[CallKey, float] = OrderedDict()
        # Highest attempt of each program that was forgotten: one number, while the process lives.
        self._forgotten: dict[str, int] = {}
        self._epochs: dict[int, int] = {}
        self._running = 0
        self._draining = False
        self._admitting = True

    def submit(self, job: Job) -> Result[None, Failure]:
        """Accepts an attempt, or finds it accepted before.

        Returns:
            Nothing when the attempt waits, runs or has ended here; else a Failure, with not_run
            set unless the attempt was accepted so long ago that its outcome is forgotten.
        """
        with self._lock:
            self._forget(time.monotonic())
            if job.key in self._executions:
                return Success(None)
            refusal = self._check(job) or self._queue.offer(job, time.monotonic())
            if refusal is not None:
                return Err(refusal)
            self._executions[job.key] = Execution(job, time.monotonic())
            self._fill()
            self._preempt()
        return Success(None)

    def expire(self) -> None:
        """Answers the attempts that have waited past their deadline; they never run."""
        with self._idle:
            now = time.monotonic()
            for job, failure in self._queue.expire(now):
                execution = self._executions[job.key]
                execution.ended_at = now
                self._ended[job.key] = self._answered[job.key] = now
                execution.stream.finish(Ending(503, "", failure=failure))

    def find(self, key: CallKey) -> Result[Stream, Failure]:
        """Returns the stream of an attempt's answer."""
        with self._lock:
            execution = self._asked(key)
        if execution is None:
            detail = f"attempt {key} was not accepted by this incarnation"
            return Err(Failure(Code.CONFLICT, "calls.read", self.host, detail))
        return Success(execution.stream)

    def read(self, key: CallKey, offset: int, wait_s: float) -> Result[Piece, Failure]:
        """Returns bytes of an attempt's answer from an offset on, waiting for news."""
        found = self.find(key).map(lambda stream: stream.read(offset, wait_s))
        if isinstance(found, Success) and found.unwrap().ending is not None:
            self.note_delivered(key)
        return found

    def note_delivered(self, key: CallKey) -> None:
        """Notes that the end of an attempt's answer has been read."""
        with self._idle:
            execution = self._executions.get(key)
            if execution is not None:
                execution.delivered = True
                self._idle.notify_all()

    def revoke(self, key: CallKey, incarnation: int, epoch: int) -> Doubt:
        """Stops an attempt from starting, or says what became of it.

        After REVOKED the attempt has not run and never will. A running attempt that may be
        repeated is cancelled; one that may not be repeated goes on.
        """
        with self._lock:
            if incarnation != self.incarnation:
                return Doubt.UNKNOWN
            self._note_epoch(key, epoch)
            execution = self._asked(key)
            if execution is None and self._has_forgotten(key):
                return Doubt.UNKNOWN
            if execution is None:
                self._revoked[key] = time.monotonic()
                return Doubt.REVOKED
            if execution.ended_at:
                return Doubt.ENDED
            if execution.started:
                return self._interrupt(execution)
            self._withdraw(execution)
            return Doubt.REVOKED

    def drain(
        self, timeout_s: float, unasked_since: Callable[[], float] = lambda: -math.inf
    ) -> bool:
        """Refuses new attempts and waits until the answers to the accepted ones were read.

        An answer that no owner can ask for any more is not waited for.

        Args:
            timeout_s: Seconds to wait at most.
            unasked_since: Returns the monotonic time such that no owner asks any more for an
                answer that ended before it and was not asked for since.

        Returns:
            Whether all were settled.
        """
        deadline = time.monotonic() + timeout_s
        with self._idle:
            self._draining = True
            while not self._all_settled(unasked_since()):
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    return False
                # No event tells that time has passed without a question.
                self._idle.wait(min(left_s, _DRAIN_POLL_S))
        return True

    def admit(self, admitting: bool) -> None:
        """Takes new attempts from now on, or refuses them; those accepted before still run."""
        with self._lock:
            self._admitting = admitting

    def load(self) -> tuple[int, int]:
        """Returns how many attempts run and how many wait."""
        with self._lock:
            return self._running, self._queue.size()

    @property
    def draining(self) -> bool:
        """Whether new attempts are refused because the process is leaving."""
        return self._draining

    def _all_settled(self, unasked_since: float) -> bool:
        return all(each.is_settled(unasked_since) for each in self._executions.values())

    def _asked(self, key: CallKey) -> Execution | None:
        """Finds an attempt that an owner asks about."""
        execution = self._executions.get(key)
        if execution is not None:
            execution.asked_at = time.monotonic()
        return execution

    def _check(self, job: Job) -> Failure | None:
        step = "calls.submit"
        if job.incarnation != self.incarnation:
            detail = "the attempt is meant for another incarnation"
            return Failure(Code.CONFLICT, step, self.host, detail, not_run=True)
        stale = not self._note_epoch(job.key, job.epoch)
        # Comes first: nothing may be said not to have run whose outcome is forgotten.
        if self._has_forgotten(job.key):
            detail = f"the outcome of attempt {job.key} is no longer kept"
            return Failure(Code.CONFLICT, step, self.host, detail)
        if stale:
            detail = f"epoch {job.epoch} is older than one seen for the partition"
            return Failure(Code.STALE_EPOCH, step, self.host, detail, not_run=True)
        if job.key in self._revoked:
            detail = f"attempt {job.key} was revoked"
            return Failure(Code.REVOKED, step, self.host, detail, not_run=True)
        if self._draining:
            detail = "the upstream process is leaving"
            return Failure(Code.DRAINING, step, self.host, detail, True, _BUSY_RETRY_S)
        if not self._admitting:
            detail = "the upstream takes no calls while it is changed"
            return Failure(Code.NO_UPSTREAM, step, self.host, detail, True, _BUSY_RETRY_S)
        return None

    def _note_epoch(self, key: CallKey, epoch: int) -> bool:
        known = self._epochs.get(key.partition, 0)
        self._epochs[key.partition] = max(known, epoch)
        return epoch >= known

    def _interrupt(self, execution: Execution) -> Doubt:
        if not execution.job.at_most_once:
            execution.revoked = True
            execution.cancelled.set()
        return Doubt.RUNNING

    def _preempt(self) -> None:
        key = self._queue.preempt(time.monotonic())
        execution = self._executions.get(key) if key is not None else None
        if execution is not None and not execution.job.at_most_once:
            execution.pausing = True
            execution.cancelled.set()

    def _pause(self, execution: Execution, ending: Ending) -> bool:
        """Puts an attempt back in the queue if it was cancelled to make room for another.

        It counts as started: what it has sent so far stays in its stream and is continued.
        """
        cut = ending.failure is not None and ending.failure.code is Code.REVOKED
        if not cut or not execution.pausing or execution.revoked:
            return False
        execution.pausing = False
        execution.cancelled = threading.Event()
        self._queue.requeue(execution.job, time.monotonic())
        return True

    def _withdraw(self, execution: Execution) -> None:
        key = execution.job.key
        self._queue.withdraw(key)
        self._revoked[key] = time.monotonic()
        del self._executions[key]
        failure = Failure(Code.REVOKED, "calls.revoke", self.host, "revoked", not_run=True)
        execution.stream.finish(Ending(409, "", failure=failure))

    def _fill(self) -> None:
        while self._running < self._slots():
            job = self._queue.take(time.monotonic())
            if job is None:
                return
            execution = self._executions[job.key]
            execution.started = True
            self._running += 1
            name = f"call-{job.key}"
            threading.Thread(target=self._work, args=(execution,), name=name, daemon=True).start()

    def _work(self, execution: Execution) -> None:
        job = execution.job
        try:
            ending = self._run(job, execution.stream, execution.cancelled)
        except Exception as exc:  # A fault of one attempt must not take a slot forever.
            failure = Failure(Code.INTERNAL, "calls.run", self.host, repr(exc))
            ending = Ending(500, "", failure=failure)
        with self._lock:
            now = time.monotonic()
            self._running -= 1
            self._queue.finished(job, ending, now)
            if self._pause(execution, ending):
                self._fill()
                return
            execution.ended_at = now
            self._ended[job.key] = now
            if not job.at_most_once:
                self._answered[job.key] = now
            self._fill()
            self._idle.notify_all()
        execution.stream.finish(ending)

    def _forget(self, now: float) -> None:
        """Drops answers, and later keys, that no message under way can be about."""
        for key in _older(self._answered, now - _KEEP_ANSWER_S):
            self._executions[key].drop_answer()
        for memory in (self._ended, self._revoked):
            for key in _older(memory, now - _KEEP_KEY_S):
                self._executions.pop(key, None)
                known = self._forgotten.get(key.program, 0)
                self._forgotten[key.program] = max(known, key.attempt)

    def _has_forgotten(self, key: CallKey) -> bool:
        """Tells whether an attempt that is not known now may have been known once."""
        if key in self._revoked:
            return False
        return key.attempt <= self._forgotten.get(key.program, 0)


def _older(times: OrderedDict[CallKey, float], before: float) -> list[CallKey]:
    """Removes and returns the keys whose time is before a time."""
    found = []
    while times and next(iter(times.values())) < before:
        found.append(times.popitem(last=False)[0])
    return found
