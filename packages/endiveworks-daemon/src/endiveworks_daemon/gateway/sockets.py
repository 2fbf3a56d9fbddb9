"""Options of TCP connections that may fall silent without a reset."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 1  # Silence after which the peer is probed.
KEEPALIVE_INTERVAL_S = 1  # Silence after a probe until the next one.
KEEPALIVE_PROBES = 2  # Probes without an answer that end the connection.
USER_TIMEOUT_MS = 3_000  # Sent bytes that stay unacknowledged for so long end the connection.
CONNECT_TIMEOUT_S = 0.5  # Ten times the longest way to a peer and back.
ACCEPT_QUEUE = 1_024  # Connections that wait to be accepted; a burst of callers fits.


def probe_silence(writer: asyncio.StreamWriter) -> None:
    """Makes a connection end by itself when its peer no longer answers."""
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
        OSError: The peer can't be reached; TimeoutError is one.
    """
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
    probe_silence(writer)
    return reader, writer
