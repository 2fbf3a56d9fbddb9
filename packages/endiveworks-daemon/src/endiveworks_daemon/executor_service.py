"""Thrift service of an upstream process."""

import time
from collections.abc import Callable

from endiveworks.cache.prefix_leases import Renewal
from endiveworks.calls.executor import Executor
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.stream import Stream
from endiveworks.errors import Failure
from endiveworks.wire.faults import to_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import to_reply
from returns.result import Result, Success

from .identity import Identity
from .node_service import MAX_WAIT_MS, NodeService
from .prefix_lease_manager import PrefixLeaseManager


class ExecutorService(NodeService):
    """Handles requests from owners.

    Args:
        identity: This process.
        executor: Runs attempts.
        on_message: Called with the sender of each request, whose configuration may be newer.
        bundle: Returns the current encoded bundle.
        lease_manager: Leases on the prefixes in the engine's memory.
    """

    def __init__(
        self,
        identity: Identity,
        executor: Executor,
        on_message: Callable[[ttypes.Origin], None],
        bundle: Callable[[], bytes],
        lease_manager: PrefixLeaseManager,
    ) -> None:
        super().__init__(identity, "upstream", on_message, bundle)
        self._executor = executor
        self._lease_manager = lease_manager

    def load(self) -> tuple[int, int]:
        """Returns the number of running attempts and of queued attempts."""
        return self._executor.load()

    def is_draining(self) -> bool:
        """Returns whether the process refuses new attempts because it is shutting down."""
        return self._executor.draining

    def submit(self, origin: ttypes.Origin, req: ttypes.Dispatch) -> ttypes.SubmitReply:
        """Queues an attempt, or returns why it is refused."""
        self.on_message(origin)
        outcome = self._executor.submit(_job(req))
        if isinstance(outcome, Success):
            self._lease_manager.touch(req.key.program, req.epoch)
        fault = None if isinstance(outcome, Success) else to_fault(outcome.failure())
        load = ttypes.Load(*self._executor.load())
        return ttypes.SubmitReply(req.key, self._executor.incarnation, fault, load)

    def read(
        self, origin: ttypes.Origin, key: ttypes.CallKey, offset: int, wait_ms: int
    ) -> ttypes.Chunk:
        """Returns bytes of an attempt's response, from an offset on."""
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
        return to_reply(self._executor.read(_key(key), offset, wait_s))

    def find(self, key: CallKey) -> Result[Stream, Failure]:
        """Returns the stream of an attempt's response."""
        return self._executor.find(key)

    def on_delivered(self, key: CallKey) -> None:
        """Records that the end of a response has been sent."""
        self._executor.record_delivered(key)

    def revoke(
        self, origin: ttypes.Origin, key: ttypes.CallKey, incarnation: int, epoch: int
    ) -> ttypes.RevokeReply:
        """Revokes an attempt with an unknown outcome."""
        self.on_message(origin)
        revoke_outcome = self._executor.revoke(_key(key), incarnation, epoch)
        return ttypes.RevokeReply(revoke_outcome.value, self._executor.incarnation)

    def renew(self, origin: ttypes.Origin, holds: list[ttypes.Hold]) -> None:
        """Extends the leases of programs on their prefixes in engine memory."""
        now_s = time.monotonic()
        self._lease_manager.renew(
            [Renewal(hold.program, hold.epoch, now_s + hold.keep_ms / 1000) for hold in holds]
        )

    def release(self, origin: ttypes.Origin, program: str, epoch: int) -> None:
        """Ends the lease of a program, and releases its prefix from engine memory."""
        self._lease_manager.release(program, epoch)


def _key(key: ttypes.CallKey) -> CallKey:
    return CallKey(key.program, key.call, key.attempt)


def _job(req: ttypes.Dispatch) -> Job:
    return Job(
        key=_key(req.key),
        epoch=req.epoch,
        incarnation=req.incarnation,
        tenant=req.tenant,
        service=req.service_name,
        operation=req.operation,
        class_name=req.class_name,
        at_most_once=req.at_most_once,
        attained_tokens=req.attained_tokens,
        deadline_s=req.deadline_ms / 1000,
        prompt_tokens=req.prompt_tokens,
        max_tokens=req.max_tokens,
        body=req.body,
    )
