"""Connections to disks, direct or relayed through another process while the direct path fails.

When the network between this process and the disks is partitioned, a process that still reaches
the disks relays messages to them, so that the callers of this one are still served.
"""

import math
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

import msgspec
from endiveworks.decoding import DECODE_ERRORS
from endiveworks.errors import Code, Failure
from endiveworks.telemetry import logs
from endiveworks.turns.view import Disk
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler, RpcClient, encoded

RELAY = "turns.relay"

_T = TypeVar("_T")


class RelayRequest(NamedTuple):
    """Request to relay a message to a disk.

    Attributes:
        address: Address of the disk.
        method: Method name of the message.
        message: The encoded message.
        timeout_s: Time limit for the disk's reply, in seconds.
    """

    address: str
    method: str
    message: bytes
    timeout_s: float


class RelayReply(NamedTuple):
    """Reply to a relay request.

    Attributes:
        disk_reply: The disk's encoded reply; None if there was none.
        detail: Why there was no reply; empty otherwise.
    """

    disk_reply: bytes | None
    detail: str


class DiskLinks:
    """Connections to disks and to the processes that relay messages to them."""

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}
        self._relays: list[str] = []
        self._relay_by_disk: dict[str, str] = {}
        self._last_direct_s: dict[str, float] = {}

    def retain_only(self, disks: Sequence[Disk]) -> None:
        """Closes the connections to all disks except the given ones; relays stay connected."""
        addresses = {disk.address for disk in disks}
        for address in [address for address in self._clients if address not in addresses]:
            if address not in self._relays:
                self._clients.pop(address).close()
                self._relay_by_disk.pop(address, None)
                self._last_direct_s.pop(address, None)

    def set_relays(self, addresses: Sequence[str]) -> None:
        """Sets the processes that may relay messages, in order of preference.

        The same processes in another order change nothing, so that failed relays stay last.
        """
        if set(addresses) == set(self._relays):
            return
        for address in set(self._relays) - set(addresses):
            if address in self._clients:
                self._clients.pop(address).close()
        self._relays = list(addresses)

    def has_relays(self) -> bool:
        """Tells whether messages can be relayed."""
        return bool(self._relays)

    def is_relayed(self, disk: Disk) -> bool:
        """Tells whether messages to a disk are currently relayed."""
        return disk.address in self._relay_by_disk

    async def call(
        self, disk: Disk, method: str, message: object, reply_type: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message to a disk on the path last known to work, and returns the reply."""
        if disk.address in self._relay_by_disk:
            return await self.call_via_relay(disk, method, message, reply_type, timeout_s)
        return await self.call_direct(disk, method, message, reply_type, timeout_s)

    async def call_direct(
        self, disk: Disk, method: str, message: object, reply_type: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message directly to a disk; after a reply, later calls are direct as well."""
        result = await self._client(disk.address).call(method, message, reply_type, timeout_s)
        if isinstance(result, Success):
            self._last_direct_s[disk.address] = time.monotonic()
            if self._relay_by_disk.pop(disk.address, None) is not None:
                logs.logger("turns").info("disk_direct", peer=disk.host)
        return result

    async def call_via_relay(
        self, disk: Disk, method: str, message: object, reply_type: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message to a disk via a relay; after a reply, later calls use the same relay.

        They don't if the disk has replied directly since the message was sent.
        """
        if not self._relays:
            return Err(Failure(Code.UNREACHABLE, method, disk.host, "no relay is available"))
        relay = self._relay_by_disk.get(disk.address, self._relays[0])
        sent_s = time.monotonic()
        request = RelayRequest(disk.address, method, encoded(message), timeout_s)
        relayed = await self._client(relay).call(RELAY, request, RelayReply, timeout_s)
        reply = relayed.unwrap() if isinstance(relayed, Success) else None
        if reply is None or reply.disk_reply is None:
            self._demote_relay(disk, relay)
            detail = reply.detail if reply else str(relayed.failure())
            return Err(Failure(Code.UNREACHABLE, method, disk.host, f"via relay {relay}: {detail}"))
        try:
            decoded = msgspec.msgpack.decode(reply.disk_reply, type=reply_type)
        except DECODE_ERRORS as exc:
            self._demote_relay(disk, relay)
            return Err(Failure(Code.CORRUPT, method, disk.host, f"via relay {relay}: {exc}"))
        if self._last_direct_s.get(disk.address, -math.inf) > sent_s:
            return Success(decoded)
        if self._relay_by_disk.get(disk.address) != relay:
            logs.logger("turns").info("disk_relayed", peer=disk.host, address=relay)
        self._relay_by_disk[disk.address] = relay
        return Success(decoded)

    def relay_handler(self, is_disk: Callable[[str], bool]) -> Handler:
        """Returns the RPC handler that relays messages for other processes.

        Args:
            is_disk: Tells whether an address is that of a disk in use; no other address is called.
        """

        async def relay(message: memoryview) -> bytes:
            request = msgspec.msgpack.decode(message, type=RelayRequest)
            if not is_disk(request.address):
                return msgspec.msgpack.encode(RelayReply(None, "no disk in use has this address"))
            result = await self._client(request.address).call_encoded(
                request.method, request.message, request.timeout_s
            )
            if isinstance(result, Success):
                return msgspec.msgpack.encode(RelayReply(result.unwrap(), ""))
            return msgspec.msgpack.encode(RelayReply(None, str(result.failure())))

        return relay

    def _client(self, address: str) -> RpcClient:
        return self._clients.setdefault(address, RpcClient(address))

    def _demote_relay(self, disk: Disk, relay: str) -> None:
        """Moves a relay to the end of the list, so that another one is tried next."""
        self._relay_by_disk.pop(disk.address, None)
        if relay in self._relays:
            self._relays.remove(relay)
            self._relays.append(relay)
