"""TCP socket options that detect peers which vanish without closing their connections."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 1  # Idle time before the first keepalive probe.
KEEPALIVE_INTERVAL_S = 1  # Time between keepalive probes.
KEEPALIVE_PROBES = 2  # Unacknowledged probes after which the connection is closed.
USER_TIMEOUT_MS = 3_000  # A connection closes if sent data stays unacknowledged for longer.
CONNECT_TIMEOUT_S = 0.5  # Ten times the longest round trip to a peer.
LISTEN_BACKLOG = 1_024  # Connections that may wait to be accepted; enough for a burst of callers.


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Enables TCP keepalive, so that a connection closes when its peer stops responding."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to "ip:port".

    Raises:
        OSError: The peer can't be reached; TimeoutError is a subclass of it.
    """
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
    enable_keepalive(writer)
    return reader, writer
