"""Thrift server with one thread for each connection and a limit on connections."""

import contextlib
import socket
import threading
from typing import Any, NamedTuple

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TFramedTransport, TTransportException

from ..telemetry.logs import logger
from .buffered_socket import BufferedSocket
from .reply_writer import ReplyWriter

MAX_FRAME_BYTES = 64 * 1024 * 1024
_BACKLOG_CONNECTIONS = 1024
_PROTOCOLS = TBinaryProtocolAcceleratedFactory()


class ServerTransport(TFramedTransport):
    """Framed transport of one connection, whose replies may also be written by other threads."""

    def __init__(self, conn: socket.socket) -> None:
        wrapped = BufferedSocket()
        wrapped.setHandle(conn)
        super().__init__(wrapped)
        self.reply_writer = ReplyWriter(conn)


class Server(NamedTuple):
    """A running server; address is "ip:port" as bound."""

    address: str
    listener: socket.socket


def serve(processor: Any, address: str, max_connections: int) -> Server:
    """Starts serving a Thrift processor on an address; port 0 selects an unused port.

    Raises:
        OSError: The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=_BACKLOG_CONNECTIONS)
    bound_host, bound_port = listener.getsockname()[:2]
    slots = threading.BoundedSemaphore(max_connections)
    args = (listener, processor, slots)
    threading.Thread(target=_accept_loop, args=args, name="thrift-accept", daemon=True).start()
    return Server(f"{bound_host}:{bound_port}", listener)


def stop(server: Server) -> None:
    """Stops accepting connections; open ones stay until the process ends."""
    # Without a shutdown, a thread blocked in accept would keep the port open.
    with contextlib.suppress(OSError):
        server.listener.shutdown(socket.SHUT_RDWR)
    server.listener.close()


def _accept_loop(
    listener: socket.socket, processor: Any, slots: threading.BoundedSemaphore
) -> None:
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            return
        if not slots.acquire(blocking=False):
            conn.close()
            logger("links").warning("connection_refused", reason="too many connections")
            continue
        args = (conn, processor, slots)
        threading.Thread(target=_serve_conn, args=args, name="thrift-conn", daemon=True).start()


def _serve_conn(conn: socket.socket, processor: Any, slots: threading.BoundedSemaphore) -> None:
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    transport = ServerTransport(conn)
    protocol = _PROTOCOLS.getProtocol(transport)
    try:
        while True:
            processor.process(protocol, protocol)
    except (TTransportException, OSError):
        pass
    except (TException, ValueError) as exc:
        logger("links").warning("connection_dropped", error_type=type(exc).__name__)
    finally:
        transport.reply_writer.close()
        slots.release()
