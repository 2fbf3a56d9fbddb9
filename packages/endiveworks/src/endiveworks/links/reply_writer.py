"""Writes replies without blocking the calling thread."""

import contextlib
import socket
import threading


class ReplyWriter:
    """Writes replies to one connection.

    Args:
        conn: The connection; this object owns and closes its descriptor.
    """

    def __init__(self, conn: socket.socket) -> None:
        self._conn = conn
        self._lock = threading.Lock()

    def write(self, frame: bytes) -> None:
        """Writes a reply; a new thread sends what does not fit into the socket's send buffer.

        Errors are ignored: the thread that reads from the connection detects that it is closed.
        """
        with self._lock:
            try:
                sent = self._conn.send(frame, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                return
        if sent < len(frame):
            args = (frame[sent:],)
            threading.Thread(target=self._write_rest, args=args, name="reply", daemon=True).start()

    def close(self) -> None:
        """Closes the connection; later replies are discarded.

        The lock prevents a close during a write: the system could reuse the descriptor for another
        connection, which would then receive the rest of the reply.
        """
        # Interrupts a thread that is blocked in a write to a slow peer.
        with contextlib.suppress(OSError):
            self._conn.shutdown(socket.SHUT_RDWR)
        with self._lock:
            self._conn.close()

    def _write_rest(self, rest: bytes) -> None:
        with self._lock, contextlib.suppress(OSError):
            self._conn.sendall(rest)
