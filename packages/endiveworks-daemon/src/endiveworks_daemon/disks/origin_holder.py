"""Keeps in a disk process's memory where streams began.

Disk processes don't end together with entries, and which of them are in use is agreed on.
"""

import asyncio
import time
from collections.abc import Callable

from endiveworks.gateway.origin_memory import OriginMemory
from endiveworks.turns.view import View

from ..origin_datagrams import ANSWER, ASK, TELL, TOLD, Address, Datagram, decode, encode, listen


class OriginHolder(asyncio.DatagramProtocol):
    """Answers entries that tell where streams begin or ask for it.

    Args:
        folder: Id of the disk's data folder.
        is_new: Whether the folder was made by this process.
        view: Returns the newest known view; entries with an older one must not count this copy.
    """

    def __init__(self, folder: str, is_new: bool, view: Callable[[], View | None]) -> None:
        self._folder = folder
        self._view = view
        self._memory = OriginMemory(folder, is_new, time.monotonic())
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Receives datagrams at "ip:port"; raises OSError if the address can't be bound."""
        self._transport = await listen(self, address)

    def close(self) -> None:
        """Receives no more datagrams."""
        if self._transport is not None:
            self._transport.close()

    def on_view(self) -> None:
        """Takes over a changed view, from which the time of complete knowledge follows."""
        self._memory.adopt(self._view(), time.monotonic())

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a datagram of an entry."""
        datagram = decode(data)
        if datagram is None or datagram.kind not in (TELL, ASK):
            return
        self.on_view()
        now_s = time.monotonic()
        reply = datagram._replace(
            kind=TOLD, epoch=self._memory.epoch, starts=(), folder=self._folder
        )
        if datagram.kind == TELL:
            for start in datagram.starts:
                self._memory.keep(datagram.key, start, now_s)
        else:
            known = self._memory.reply(datagram.key, now_s)
            reply = reply._replace(
                kind=ANSWER,
                starts=known.starts,
                held_s=known.held_s,
                is_partial=known.is_partial,
            )
        self._send(reply, addr)

    def _send(self, datagram: Datagram, address: Address) -> None:
        data = encode(datagram) or encode(datagram._replace(starts=(), is_partial=True))
        if data is not None and self._transport is not None:
            self._transport.sendto(data, address)
