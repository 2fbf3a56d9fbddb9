"""Paths of datagrams to disk processes: direct, and over other entries while that fails.

An entry that is cut off from the disks holds its streams back until they know where these begin.
Another entry may reach them, and any of them may be cut off as well, so a path that brings no reply
is given up soon.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from endiveworks.telemetry import logs
from endiveworks.turns.view import Disk

from ..origin_datagrams import (
    ANSWER,
    ASK,
    TELL,
    TOLD,
    Address,
    Datagram,
    Relayed,
    encode,
    encode_relayed,
    parse_address,
)

# Without a reply for this time a path is taken for cut: several round trips within a region.
SILENT_AFTER_S = 0.06
# The same for a disk in another region; replies take about as long while the link there is full,
# which the relays of this region use as well.
FAR_SILENT_AFTER_S = 0.4
RELAYS_AT_ONCE = 2  # Relays that are tried first; each may be cut off from the disk too.
MAX_FORWARDED = 4_096  # Datagrams that await a reply at a relay; the oldest are forgotten.
# Numbers of forwarded datagrams, apart from those that an entry gives its own.
_FIRST_FORWARDED = 1 << 40

SendTo = Callable[[bytes, Address], None]


class _Path:
    """What is known of the paths to one disk.

    Args:
        silent_after_s: Time without a reply after which a path is taken for cut.

    Attributes:
        silent_since_s: When the first datagram after the last direct reply was sent; None for none.
        relay: Relay of the last reply; empty if that came directly, or the relay fell silent.
        relay_silent_since_s: The same as silent_since_s, for this relay.
        tried_relays: Relays that were tried since the last reply.
    """

    def __init__(self, silent_after_s: float) -> None:
        self._silent_after_s = silent_after_s
        self.silent_since_s: float | None = None
        self.relay = ""
        self.relay_silent_since_s: float | None = None
        self.tried_relays = 0

    def is_direct_silent(self, now_s: float) -> bool:
        """Returns whether the direct path seems cut."""
        since_s = self.silent_since_s
        return since_s is not None and now_s - since_s >= self._silent_after_s

    def is_relay_silent(self, now_s: float) -> bool:
        """Returns whether the path over the relay seems cut; it is longer than the direct one."""
        since_s = self.relay_silent_since_s
        return since_s is not None and now_s - since_s >= 2 * self._silent_after_s


class OriginPaths:
    """Sends datagrams to disks on the paths that work.

    Args:
        send_to: Sends bytes to an address.
    """

    def __init__(self, send_to: SendTo) -> None:
        self._send_to = send_to
        self._region = ""
        self._relays: Sequence[str] = ()
        self._paths: dict[str, _Path] = {}

    def set_relays(self, region: str, addresses: Sequence[str]) -> None:
        """Sets the region of this process, and the entries that may pass datagrams on.

        Args:
            region: The region.
            addresses: Addresses of the entries, in order of preference.
        """
        if region != self._region:
            self._paths.clear()  # What is far depends on it.
        self._region, self._relays = region, addresses

    def retain_only(self, disks: Sequence[Disk]) -> None:
        """Forgets the paths to all disks except the given ones."""
        addresses = {disk.address for disk in disks}
        self._paths = {key: path for key, path in self._paths.items() if key in addresses}

    def send(self, datagram: Datagram, disk: Disk, is_awaited: bool) -> None:
        """Sends a datagram directly, which shows when that path works again, and over relays.

        Args:
            datagram: The datagram.
            disk: The disk.
            is_awaited: Whether a caller waits for the reply. Others don't look for a relay, as a
                link that is full looks like one that is cut, and they would fill it further.
        """
        data = encode(datagram)
        if data is None:
            return
        now_s = time.monotonic()
        path = self._paths.get(disk.address)
        if path is None:
            is_far = disk.region != self._region
            path = self._paths[disk.address] = _Path(
                FAR_SILENT_AFTER_S if is_far else SILENT_AFTER_S
            )
        if path.silent_since_s is None:
            path.silent_since_s = now_s
        self._send_to(data, parse_address(disk.address))
        for relay in self._relays_of(path, now_s, is_awaited):
            relayed = encode_relayed(Relayed(disk.address, data))
            self._send_to(relayed, parse_address(relay))

    def record_reply(self, disk: Disk, address: Address) -> None:
        """Records on which path a reply of a disk came.

        Args:
            disk: The disk.
            address: Address from which it was received.
        """
        path = self._paths.get(disk.address)
        if path is None:
            return
        sender = f"{address[0]}:{address[1]}"
        if sender == disk.address:
            if path.relay:
                logs.logger("gateway").info("origins_direct", peer=disk.host)
            path.silent_since_s, path.relay, path.tried_relays = None, "", 0
        elif sender in self._relays and path.silent_since_s is not None:
            if not path.relay:
                logs.logger("gateway").info("origins_relayed", peer=disk.host, address=sender)
            path.relay, path.relay_silent_since_s, path.tried_relays = sender, None, 0

    def _relays_of(self, path: _Path, now_s: float, is_awaited: bool) -> Sequence[str]:
        if path.relay and path.relay in self._relays and not path.is_relay_silent(now_s):
            if path.relay_silent_since_s is None:
                path.relay_silent_since_s = now_s
            return (path.relay,)
        path.relay = ""
        if not is_awaited or not self._relays or not path.is_direct_silent(now_s):
            return ()
        count = 1 if path.tried_relays else RELAYS_AT_ONCE
        chosen = [
            self._relays[(path.tried_relays + number) % len(self._relays)]
            for number in range(min(count, len(self._relays)))
        ]
        path.tried_relays += len(chosen)
        return chosen


class _Forwarded(NamedTuple):
    """Where the reply to a forwarded datagram goes.

    Attributes:
        sender: The entry that asked for it.
        number: Number of the datagram at this entry.
        kind: Kind of the reply.
    """

    sender: Address
    number: int
    kind: str


class OriginRelay:
    """Passes datagrams of entries that are cut off on to disks, and the replies back.

    Args:
        send_to: Sends bytes to an address.
    """

    def __init__(self, send_to: SendTo) -> None:
        self._send_to = send_to
        self._forwarded: OrderedDict[int, _Forwarded] = OrderedDict()
        self._last_number = _FIRST_FORWARDED

    def forward(self, datagram: Datagram, disk: Disk, sender: Address) -> None:
        """Passes a datagram of another entry on to a disk in use."""
        if datagram.kind not in (TELL, ASK):
            return
        self._last_number += 1
        data = encode(datagram._replace(number=self._last_number))
        if data is None:
            return
        kind = TOLD if datagram.kind == TELL else ANSWER
        self._forwarded[self._last_number] = _Forwarded(sender, datagram.number, kind)
        if len(self._forwarded) > MAX_FORWARDED:
            self._forwarded.popitem(last=False)
        self._send_to(data, parse_address(disk.address))

    def return_reply(self, datagram: Datagram) -> bool:
        """Passes a disk's reply back; returns False if it isn't one to a forwarded datagram."""
        if datagram.number < _FIRST_FORWARDED:
            return False
        forwarded = self._forwarded.get(datagram.number)
        if forwarded is not None and forwarded.kind == datagram.kind:
            del self._forwarded[datagram.number]
            data = encode(datagram._replace(number=forwarded.number))
            if data is not None:
                self._send_to(data, forwarded.sender)
        return True
