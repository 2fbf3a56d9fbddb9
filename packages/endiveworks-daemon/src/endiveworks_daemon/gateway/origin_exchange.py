"""Tells other entries where streams began, and asks them for it, in datagrams.

An origin is lost without harm, and each one goes to other entries than the one before, so that
connections would have to be open between all pairs of entries.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
from endiveworks.gateway.stream_origins import (
    OriginHolders,
    StreamOrigin,
    StreamOrigins,
    attempt_key,
    content_key,
)
from endiveworks.members.member import ENTRY_ROLE, Member
from endiveworks.telemetry import logs

# A query is sent again after this time; longer than a round trip between regions.
RESEND_S = 0.06
# Time after which holders that have not replied are taken to know nothing.
QUERY_TIMEOUT_S = 0.2
MAX_DATAGRAM_BYTES = 1_200  # Larger ones may be fragmented, and are lost more often.

Address = tuple[str, int]


class _Datagram(NamedTuple):
    """A message between entries.

    Attributes:
        kind: "record", "query" or "reply".
        key: Key of the stream.
        origin: Its origin; None in a query, and in a reply if the sender doesn't know it.
        query: Number of the query that this is, or that it replies to.
    """

    kind: str
    key: bytes
    origin: StreamOrigin | None = None
    query: int = 0


class _Query(NamedTuple):
    """A query under way: the holders that have not replied, and the future of the origin."""

    waiting: set[Address]
    fut: asyncio.Future[StreamOrigin | None]


class OriginExchange(asyncio.DatagramProtocol):
    """Origins of streams, shared with the other entries.

    Args:
        host: Name of this process.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._origins = StreamOrigins()
        self._holders = OriginHolders([])
        self._addresses: Mapping[str, Address] = {}
        self._queries: dict[int, _Query] = {}
        self._last_query = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Receives datagrams at "ip:port"; raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_parse(address)
        )

    def close(self) -> None:
        """Receives no more datagrams."""
        if self._transport is not None:
            self._transport.close()

    def update_members(self, members: Iterable[Member]) -> None:
        """Sets the processes of the deployment."""
        addresses = {m.host: _parse(m.address) for m in members if m.role == ENTRY_ROLE}
        if addresses != self._addresses:
            self._addresses = addresses
            self._holders = OriginHolders(addresses)

    def address(self, host: str) -> str:
        """Returns the address of an entry as "ip:port"; empty if it is not known."""
        ip, port = self._addresses.get(host, ("", 0))
        return f"{ip}:{port}" if ip else ""

    def record(self, request_id: str, digest: str, service: str, version: str) -> None:
        """Keeps where a stream began, and tells its holders.

        Args:
            request_id: Id of the attempt that brings the first event.
            digest: Hash of the request's path and body.
            service: Service of the replica.
            version: Version of the replica's software.
        """
        origin = StreamOrigin(service, version, self._host)
        for key in (attempt_key(request_id), content_key(digest)):
            self._origins.record(key, origin, time.monotonic())
            for address in self._other_holders(key):
                self._send(_Datagram("record", key, origin), address)

    async def find(self, began_as: str, digest: str) -> StreamOrigin | None:
        """Returns where a stream began; None if neither this process nor a holder knows it.

        Args:
            began_as: Id of the attempt that brought its first event; empty if the caller names
                none.
            digest: Hash of the request's path and body.
        """
        key = attempt_key(began_as) if began_as else content_key(digest)
        known = self._origins.find(key, time.monotonic())
        if known is not None:
            return known
        holders = self._other_holders(key)
        if not holders:
            return None
        self._last_query += 1
        number = self._last_query
        query = _Query(set(holders), asyncio.get_running_loop().create_future())
        self._queries[number] = query
        try:
            return await self._ask(_Datagram("query", key, None, number), query)
        finally:
            del self._queries[number]

    async def _ask(self, datagram: _Datagram, query: _Query) -> StreamOrigin | None:
        end_s = time.monotonic() + QUERY_TIMEOUT_S
        while (left_s := end_s - time.monotonic()) > 0:
            for address in query.waiting:
                self._send(datagram, address)
            done, _ = await asyncio.wait({query.fut}, timeout=min(RESEND_S, left_s))
            if done:
                return query.fut.result()
        return None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a datagram of another entry."""
        try:
            datagram = msgspec.msgpack.decode(data, type=_Datagram)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            logs.logger("gateway").warning("message_refused", exc_info=exc)
            return
        if datagram.kind == "record" and datagram.origin is not None:
            self._origins.record(datagram.key, datagram.origin, time.monotonic())
        elif datagram.kind == "query":
            found = self._origins.find(datagram.key, time.monotonic())
            self._send(datagram._replace(kind="reply", origin=found), addr)
        elif datagram.kind == "reply":
            self._accept_reply(datagram, addr)

    def _accept_reply(self, datagram: _Datagram, addr: Address) -> None:
        query = self._queries.get(datagram.query)
        if query is None or query.fut.done():
            return
        query.waiting.discard(addr)
        if datagram.origin is not None or not query.waiting:
            query.fut.set_result(datagram.origin)

    def error_received(self, exc: Exception) -> None:
        """Ignores a process that isn't there; the other holders have the same copies."""
        logs.logger("gateway").debug("datagram_lost", exc_info=exc)

    def _other_holders(self, key: bytes) -> list[Address]:
        return [self._addresses[host] for host in self._holders.select(key) if host != self._host]

    def _send(self, datagram: _Datagram, address: Address) -> None:
        data = msgspec.msgpack.encode(datagram)
        if self._transport is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)


def _parse(address: str) -> Address:
    ip, _, port = address.rpartition(":")
    return ip, int(port)
