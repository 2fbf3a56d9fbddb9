"""TCP socket options that detect peers which vanish without closing their connections."""

import asyncio
import contextlib
import socket
import struct

KEEPALIVE_IDLE_S = 1  # Idle time before the first keepalive probe.
KEEPALIVE_INTERVAL_S = 1  # Time between keepalive probes.
KEEPALIVE_PROBES = 2  # Unacknowledged probes after which the connection is closed.
USER_TIMEOUT_MS = 3_000  # A connection closes if sent data stays unacknowledged for longer.
CONNECT_TIMEOUT_S = 0.5  # Ten times the longest round trip to a peer.
# Size of the kernel's buffers of a connection if the process has a memory bound. With a round trip
# of 40 ms between regions, it lets through 13 Mbit/s.
KERNEL_BUFFER_BYTES = 64 * 1024
# Size of the kernel's buffer for what a caller has sent and has not been read, except while a long
# body arrives. Connections that wait to be accepted have it too.
KERNEL_INPUT_BYTES = 8 * 1024
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


def listening_socket(address: str, input_bytes: int | None) -> socket.socket:
    """Returns a bound socket for a server; raises OSError when the address can't be bound.

    Args:
        address: The address, as "ip:port".
        input_bytes: Size of the kernel's buffer for what is sent on each connection; None for the
            kernel's own choice.
    """
    ip, _, port = address.rpartition(":")
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if input_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, input_bytes)
        sock.bind((ip, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


def resize_input(writer: asyncio.StreamWriter, size: int) -> None:
    """Changes the size of the kernel's buffer for what is sent on an accepted connection."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):  # The connection is gone already.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        # The window keeps the size that the listening socket had.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)


def limit_buffers(writer: asyncio.StreamWriter, read_bytes: int) -> None:
    """Bounds what the kernel and one read take in before the process asks for more.

    Args:
        writer: The connection.
        read_bytes: Bytes of one read.
    """
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    writer.transport.max_size = read_bytes  # type: ignore[attr-defined]


def limit_output(writer: asyncio.StreamWriter, write_bytes: int) -> None:
    """Bounds what waits to be sent, so that it shows soon whether a slow peer reads.

    The kernel takes in more only when a third of its buffer is free.

    Args:
        writer: The connection.
        write_bytes: Bytes that may wait in the process before writers wait.
    """
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    writer.transport.set_write_buffer_limits(write_bytes)


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Lets the connection end with a reset, so that its peer sees that bytes are missing."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # The connection is gone already.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def connect(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S, read_bytes: int = 64 * 1024
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to "ip:port".

    Args:
        address: The address.
        timeout_s: Time within which the peer must accept it.
        read_bytes: Half of the bytes that are taken in while nothing is read.

    Raises:
        OSError: The peer can't be reached; TimeoutError is a subclass of it.
    """
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        try:
            reader, writer = await asyncio.open_connection(ip, int(port), limit=read_bytes)
        except (ValueError, OverflowError) as exc:
            raise OSError(f"{address!r} can't be connected to: {exc}") from exc
    enable_keepalive(writer)
    return reader, writer


async def accepts_connections(address: str) -> bool:
    """Returns whether a peer accepts connections at "ip:port"; not if the address is empty."""
    if not address:
        return False
    try:
        _, writer = await connect(address)
    except OSError:
        return False
    writer.close()
    return True
