"""Executor of the attempts dispatched to one upstream process, each run at most once."""

import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .execution import Execution
from .messages import CallKey, Job, RevokeOutcome
from .queue import Queue
from .stream import Chunk, FinalStatus, Stream

# A message about an attempt may be delayed, so its key is kept longer than its response.
_KEEP_KEY_S = 3600.0
_KEEP_RESPONSE_S = 300.0
_BUSY_RETRY_S = 1.0
_DRAIN_POLL_S = 0.25


# Runs an attempt to completion, appending to the stream; stops early once the event is set.
RunAttempt = Callable[[Job, Stream, threading.Event], FinalStatus]


class Executor:
    """Runs attempts on one upstream.

    Accepted and revoked attempts are tracked, so a repeated message gets the outcome of the first
    one. An attempt whose epoch is older than the newest one seen for its partition is refused, so
    a previous owner that was paused can't start an attempt that its successor has tried to revoke.

    Args:
        host: Host name of this upstream process.
        incarnation: Random id chosen when the process starts.
        queue: Holds the waiting attempts.
        run: Runs one attempt.
        slots: Returns how many attempts may run concurrently.
    """

    def __init__(
        self, host: str, incarnation: int, queue: Queue, run: RunAttempt, slots: Callable[[], int]
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
        # Ended attempts whose response is dropped before their key. The response of an
        # at-most-once attempt that has run is kept as long as its key.
        self._retained: OrderedDict[CallKey, float] = OrderedDict()
        self._revoked: OrderedDict[CallKey, float] = OrderedDict()
        # Highest evicted attempt of each program; one number per program, kept until exit.
        self._evicted: dict[str, int] = {}
        self._epochs: dict[int, int] = {}
        self._running = 0
        self._draining = False
        self._admitting = True

    def submit(self, job: Job) -> Result[None, Failure]:
        """Accepts an attempt; does nothing if it was already accepted.

        Returns:
            Success when the attempt is waiting, running or finished here; else a Failure, with
            not_run set unless the attempt is so old that its outcome may have been evicted.
        """
        with self._lock:
            self._evict(time.monotonic())
            if job.key in self._executions:
                return Success(None)
            refusal = self._check(job) or self._queue.enqueue(job, time.monotonic())
            if refusal is not None:
                return Err(refusal)
            self._executions[job.key] = Execution(job, time.monotonic())
            self._start_waiting()
            self._preempt()
        return Success(None)

    def expire(self) -> None:
        """Fails the waiting attempts whose deadline has passed; they never run."""
        with self._idle:
            now = time.monotonic()
            for job, failure in self._queue.expire(now):
                execution = self._executions[job.key]
                execution.ended_at = now
                self._ended[job.key] = self._retained[job.key] = now
                execution.stream.finish(FinalStatus(503, "", failure=failure))

    def find(self, key: CallKey) -> Result[Stream, Failure]:
        """Returns the response stream of an attempt."""
        with self._lock:
            execution = self._find_and_touch(key)
        if execution is None:
            detail = f"attempt {key} was not accepted by this incarnation"
            return Err(Failure(Code.CONFLICT, "calls.read", self.host, detail))
        return Success(execution.stream)

    def read(self, key: CallKey, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        """Returns response bytes of an attempt from an offset on, waiting until there are any."""
        found = self.find(key).map(lambda stream: stream.read(offset, wait_s))
        if isinstance(found, Success) and found.unwrap().final_status is not None:
            self.record_delivered(key)
        return found

    def record_delivered(self, key: CallKey) -> None:
        """Records that an attempt's response has been read to the end."""
        with self._idle:
            execution = self._executions.get(key)
            if execution is not None:
                execution.delivered = True
                self._idle.notify_all()

    def revoke(self, key: CallKey, incarnation: int, epoch: int) -> RevokeOutcome:
        """Prevents an attempt from starting, or returns its state.

        After REVOKED the attempt has not run and never will. A running attempt that may be
        repeated is cancelled; an at-most-once attempt keeps running.
        """
        with self._lock:
            if incarnation != self.incarnation:
                return RevokeOutcome.UNKNOWN
            self._record_epoch(key, epoch)
            execution = self._find_and_touch(key)
            if execution is None and self._may_be_evicted(key):
                return RevokeOutcome.UNKNOWN
            if execution is None:
                self._revoked[key] = time.monotonic()
                return RevokeOutcome.REVOKED
            if execution.ended_at:
                return RevokeOutcome.ENDED
            if execution.started:
                return self._cancel_if_repeatable(execution)
            self._withdraw(execution)
            return RevokeOutcome.REVOKED

    def drain(
        self, timeout_s: float, abandoned_before: Callable[[], float] = lambda: -math.inf
    ) -> bool:
        """Refuses new attempts and waits until the responses of accepted ones have been read.

        Does not wait for a response that no owner can request any more.

        Args:
            timeout_s: Seconds to wait at most.
            abandoned_before: Returns a monotonic time in seconds; a response that ended before
                it and was last requested before it has no reader left.

        Returns:
            Whether all responses were read or abandoned in time.
        """
        deadline = time.monotonic() + timeout_s
        with self._idle:
            self._draining = True
            while not self._all_settled(abandoned_before()):
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    return False
                # Time alone makes a response abandoned, without a notification, so this polls.
                self._idle.wait(min(remaining_s, _DRAIN_POLL_S))
        return True

    def set_admitting(self, admitting: bool) -> None:
        """Sets whether new attempts are accepted; those accepted before still run."""
        with self._lock:
            self._admitting = admitting

    def load(self) -> tuple[int, int]:
        """Returns the numbers of running and waiting attempts."""
        with self._lock:
            return self._running, self._queue.size()

    @property
    def draining(self) -> bool:
        """Whether new attempts are refused because the process is shutting down."""
        return self._draining

    def _all_settled(self, abandoned_before: float) -> bool:
        return all(each.is_settled(abandoned_before) for each in self._executions.values())

    def _find_and_touch(self, key: CallKey) -> Execution | None:
        """Finds an attempt and records the time of the request."""
        execution = self._executions.get(key)
        if execution is not None:
            execution.requested_at = time.monotonic()
        return execution

    def _check(self, job: Job) -> Failure | None:
        step = "calls.submit"
        if job.incarnation != self.incarnation:
            detail = "the attempt was dispatched to another incarnation"
            return Failure(Code.CONFLICT, step, self.host, detail, not_run=True)
        stale = not self._record_epoch(job.key, job.epoch)
        # Checked first: not_run must not be reported for an attempt whose outcome was evicted.
        if self._may_be_evicted(job.key):
            detail = f"the outcome of attempt {job.key} is no longer kept"
            return Failure(Code.CONFLICT, step, self.host, detail)
        if stale:
            detail = f"epoch {job.epoch} is older than one seen for the partition"
            return Failure(Code.STALE_EPOCH, step, self.host, detail, not_run=True)
        if job.key in self._revoked:
            detail = f"attempt {job.key} was revoked"
            return Failure(Code.REVOKED, step, self.host, detail, not_run=True)
        if self._draining:
            detail = "the upstream process is shutting down"
            return Failure(Code.DRAINING, step, self.host, detail, True, _BUSY_RETRY_S)
        if not self._admitting:
            detail = "the upstream accepts no calls while it is reconfigured"
            return Failure(Code.NO_UPSTREAM, step, self.host, detail, True, _BUSY_RETRY_S)
        return None

    def _record_epoch(self, key: CallKey, epoch: int) -> bool:
        highest = self._epochs.get(key.partition, 0)
        self._epochs[key.partition] = max(highest, epoch)
        return epoch >= highest

    def _cancel_if_repeatable(self, execution: Execution) -> RevokeOutcome:
        if not execution.job.at_most_once:
            execution.revoked = True
            execution.cancelled.set()
        return RevokeOutcome.RUNNING

    def _preempt(self) -> None:
        key = self._queue.preempt(time.monotonic())
        execution = self._executions.get(key) if key is not None else None
        if execution is not None and not execution.job.at_most_once:
            execution.pausing = True
            execution.cancelled.set()

    def _pause(self, execution: Execution, final_status: FinalStatus) -> bool:
        """Requeues an attempt that was cancelled to free its slot for another one.

        It still counts as started: its stream keeps the bytes sent so far and is continued.
        """
        interrupted = final_status.failure is not None and final_status.failure.code is Code.REVOKED
        if not interrupted or not execution.pausing or execution.revoked:
            return False
        execution.pausing = False
        execution.cancelled = threading.Event()
        self._queue.requeue(execution.job, time.monotonic())
        return True

    def _withdraw(self, execution: Execution) -> None:
        key = execution.job.key
        self._queue.remove(key)
        self._revoked[key] = time.monotonic()
        del self._executions[key]
        failure = Failure(Code.REVOKED, "calls.revoke", self.host, "revoked", not_run=True)
        execution.stream.finish(FinalStatus(409, "", failure=failure))

    def _start_waiting(self) -> None:
        while self._running < self._slots():
            job = self._queue.dequeue(time.monotonic())
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
            final_status = self._run(job, execution.stream, execution.cancelled)
        except Exception as exc:  # A failed attempt must free its slot.
            failure = Failure(Code.INTERNAL, "calls.run", self.host, repr(exc))
            final_status = FinalStatus(500, "", failure=failure)
        with self._lock:
            now = time.monotonic()
            self._running -= 1
            self._queue.on_finished(job, final_status, now)
            if self._pause(execution, final_status):
                self._start_waiting()
                return
            execution.ended_at = now
            self._ended[job.key] = now
            if not job.at_most_once:
                self._retained[job.key] = now
            self._start_waiting()
            self._idle.notify_all()
        execution.stream.finish(final_status)

    def _evict(self, now: float) -> None:
        """Evicts responses, and later keys, that no delayed message can refer to any more."""
        for key in _pop_older(self._retained, now - _KEEP_RESPONSE_S):
            self._executions[key].drop_response()
        for times in (self._ended, self._revoked):
            for key in _pop_older(times, now - _KEEP_KEY_S):
                self._executions.pop(key, None)
                highest = self._evicted.get(key.program, 0)
                self._evicted[key.program] = max(highest, key.attempt)

    def _may_be_evicted(self, key: CallKey) -> bool:
        """Returns whether an attempt that is not tracked may have been tracked and evicted."""
        if key in self._revoked:
            return False
        return key.attempt <= self._evicted.get(key.program, 0)


def _pop_older(times: OrderedDict[CallKey, float], before: float) -> list[CallKey]:
    """Removes and returns the keys with a time before the given one."""
    found = []
    while times and next(iter(times.values())) < before:
        found.append(times.popitem(last=False)[0])
    return found
