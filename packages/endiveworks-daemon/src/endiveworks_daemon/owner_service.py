"""Thrift service of an entry: commands and calls forwarded by other entries."""

from collections.abc import Callable

from endiveworks.calls.messages import CallKey
from endiveworks.calls.stream import Stream
from endiveworks.errors import Failure
from endiveworks.journal import remote
from endiveworks.journal.copy_state import Append, Reset, Seal, Trim
from endiveworks.journal.store import Store
from endiveworks.programs.owner import Owner
from endiveworks.programs.requests import CallRequest
from endiveworks.wire.faults import to_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import to_reply
from returns.result import Result, Success

from .identity import Identity
from .node import Command, manage
from .node_service import MAX_WAIT_MS, NodeService


class OwnerService(NodeService):
    """Handles the messages of other entries.

    Args:
        identity: This process.
        owner: Programs of this host.
        on_message: Called with each sender, whose configuration may be newer.
        bundle: Returns the encoded bundle in force.
        is_draining: Returns whether the process accepts no new work.
        store: Journal copies on this host; None if it stores none.
        on_handover: Called with each partition that another host hands over to this one.
    """

    def __init__(
        self,
        identity: Identity,
        owner: Owner,
        on_message: Callable[[ttypes.Origin], None],
        bundle: Callable[[], bytes],
        is_draining: Callable[[], bool],
        store: Store | None,
        on_handover: Callable[[int], None],
    ) -> None:
        super().__init__(identity, "entry", on_message, bundle)
        self._owner = owner
        self._is_draining = is_draining
        self._store = store
        self._on_handover = on_handover

    def load(self) -> tuple[int, int]:
        """Returns the number of running calls of this host's programs; an entry queues none."""
        return self._owner.count_running_calls(), 0

    def is_draining(self) -> bool:
        """Returns whether the process accepts no new work."""
        return self._is_draining()

    def manage(self, origin: ttypes.Origin, req: ttypes.ManageRequest) -> ttypes.ManageReply:
        """Runs a command on a program."""
        self.on_message(origin)
        command = Command(req.action, req.program, req.tenant, req.body)
        outcome = manage(self._owner, command)
        if isinstance(outcome, Success):
            return ttypes.ManageReply(outcome.unwrap())
        return ttypes.ManageReply(b"", to_fault(outcome.failure()))

    def submit(self, origin: ttypes.Origin, req: ttypes.CallRequest) -> ttypes.SubmitReply:
        """Accepts a call."""
        self.on_message(origin)
        call = CallRequest(
            program=req.program,
            call=req.call,
            tenant=req.tenant,
            service=req.service_name,
            operation=req.operation,
            request_key=req.idempotency_key,
            body=req.body,
        )
        outcome = self._owner.submit(call)
        fault = None if isinstance(outcome, Success) else to_fault(outcome.failure())
        key = ttypes.CallKey(req.program, req.call, 0)
        return ttypes.SubmitReply(key, self.identity.incarnation, fault)

    def read(
        self, origin: ttypes.Origin, key: ttypes.CallKey, offset: int, wait_ms: int
    ) -> ttypes.Chunk:
        """Returns bytes of a call's response."""
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
        return to_reply(self._owner.read(key.program, key.call, offset, wait_s))

    def find(self, key: CallKey) -> Result[Stream, Failure]:
        """Returns the stream of a call's response."""
        return self._owner.find_stream(key.program, key.call)

    def append(
        self,
        origin: ttypes.Origin,
        folder: str,
        partition: int,
        epoch: int,
        first_index: int,
        records: list[bytes],
    ) -> ttypes.CopyReply:
        """Appends records to a journal copy."""
        req = Append(partition, epoch, first_index, records)
        return remote.handle_request(self._store, folder, req)

    def seal(
        self, origin: ttypes.Origin, folder: str, partition: int, epoch: int
    ) -> ttypes.CopyReply:
        """Seals a journal copy: it refuses lower epochs from then on."""
        return remote.handle_request(self._store, folder, Seal(partition, epoch))

    def reset(
        self,
        origin: ttypes.Origin,
        folder: str,
        partition: int,
        epoch: int,
        generation: int,
        first_index: int,
    ) -> ttypes.CopyReply:
        """Starts an empty journal copy."""
        req = Reset(partition, epoch, generation, first_index)
        return remote.handle_request(self._store, folder, req)

    def trim(
        self, origin: ttypes.Origin, folder: str, partition: int, epoch: int, first_index: int
    ) -> ttypes.CopyReply:
        """Removes the records of a journal copy before an index."""
        return remote.handle_request(self._store, folder, Trim(partition, epoch, first_index))

    def fetch(
        self,
        origin: ttypes.Origin,
        folder: str,
        partition: int,
        first_index: int,
        max_bytes: int,
    ) -> ttypes.FetchReply:
        """Reads records of a journal copy."""
        return remote.handle_fetch(self._store, folder, partition, first_index, max_bytes)

    def take_over(self, origin: ttypes.Origin, partition: int, epoch: int) -> ttypes.ManageReply:
        """Refreshes a partition that its owner has handed over to this host."""
        self._on_handover(partition)
        return ttypes.ManageReply(b"")
