"""The ways to disks: direct, or over another process while the direct one is cut.

Answers cuts between one process and the disks: another process that still reaches them passes
messages on, so callers of the one that is cut off are served.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

import msgspec
from endiveworks.errors import Code, Failure
from endiveworks.telemetry import logs
from endiveworks.turns.view import Disk
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler, RpcClient

RELAY = "turns.relay"

_T = TypeVar("_T")


class Relay(NamedTuple):
    """Asks a process to pass a message on to a disk.

    Attributes:
        address: Address of the disk.
        method: Name of the message.
        message: The encoded message.
        timeout_s: Time for its answer.
    """

    address: str
    method: str
    message: bytes
    timeout_s: float


class Relayed(NamedTuple):
    """Answers Relay.

    Attributes:
        answer: The disk's encoded answer; None when there was none.
        detail: Why not.
    """

    answer: bytes | None
    detail: str


class DiskLinks:
    """Connections to disks, and to the processes that pass messages on to them."""

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}
        self._relays: list[str] = []
        self._over: dict[str, str] = {}

    def keep(self, disks: Sequence[Disk]) -> None:
        """Closes connections to all but some disks."""
        addresses = {disk.address for disk in disks}
        for address in [known for known in self._clients if known not in addresses]:
            if address not in self._relays:
                self._clients.pop(address).close()
                self._over.pop(address, None)

    def set_relays(self, addresses: Sequence[str]) -> None:
        """Takes the processes that may pass messages on, those to ask first at the front."""
        if set(addresses) == set(self._relays):
            return
        for address in set(self._relays) - set(addresses):
            if address in self._clients:
                self._clients.pop(address).close()
        self._relays = list(addresses)

    def has_relays(self) -> bool:
        """Tells whether there is another way than the direct one."""
        return bool(self._relays)

    def is_relayed(self, disk: Disk) -> bool:
        """Tells whether messages to a disk go over another process at present."""
        return disk.address in self._over

    async def call(
        self, disk: Disk, method: str, message: object, answer: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message to a disk on the way that works, and returns the answer."""
        if disk.address in self._over:
            return await self.call_over(disk, method, message, answer, timeout_s)
        return await self.call_direct(disk, method, message, answer, timeout_s)

    async def call_direct(
        self, disk: Disk, method: str, message: object, answer: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message straight to a disk; one that answers is asked so from then on."""
        result = await self._client(disk.address).call(method, message, answer, timeout_s)
        if isinstance(result, Success) and self._over.pop(disk.address, None) is not None:
            logs.logger("turns").info("disk_direct", peer=disk.host)
        return result

    async def call_over(
        self, disk: Disk, method: str, message: object, answer: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message to a disk over another process; one that answers is used again."""
        if not self._relays:
            return Err(Failure(Code.UNREACHABLE, method, disk.host, "no process to pass it on"))
        relay = self._over.get(disk.address, self._relays[0])
        ask = Relay(disk.address, method, msgspec.msgpack.encode(message), timeout_s)
        passed = await self._client(relay).call(RELAY, ask, Relayed, timeout_s)
        reply = passed.unwrap() if isinstance(passed, Success) else None
        if reply is None or reply.answer is None:
            self._give_up(disk, relay)
            detail = reply.detail if reply else str(passed.failure())
            return Err(Failure(Code.UNREACHABLE, method, disk.host, f"over {relay}: {detail}"))
        if self._over.get(disk.address) != relay:
            logs.logger("turns").info("disk_relayed", peer=disk.host, address=relay)
        self._over[disk.address] = relay
        return Success(msgspec.msgpack.decode(reply.answer, type=answer))

    def handler(self, is_disk: Callable[[str], bool]) -> Handler:
        """Returns the function that passes messages of others on.

        Args:
            is_disk: Tells whether an address is that of a disk in use; nothing else is called.
        """

        async def relay(message: bytes) -> bytes:
            ask = msgspec.msgpack.decode(message, type=Relay)
            if not is_disk(ask.address):
                return msgspec.msgpack.encode(Relayed(None, "no disk in use has this address"))
            sent = await self._client(ask.address).forward(ask.method, ask.message, ask.timeout_s)
            if isinstance(sent, Success):
                return msgspec.msgpack.encode(Relayed(sent.unwrap(), ""))
            return msgspec.msgpack.encode(Relayed(None, str(sent.failure())))

        return relay

    def _client(self, address: str) -> RpcClient:
        return self._clients.setdefault(address, RpcClient(address))

    def _give_up(self, disk: Disk, relay: str) -> None:
        """Asks another process next time."""
        self._over.pop(disk.address, None)
        if relay in self._relays:
            self._relays.remove(relay)
            self._relays.append(relay)
