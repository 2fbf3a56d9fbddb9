"""Replies to requests, written by a thread that must not wait for the peer."""

import contextlib
import socket
import threading


class Replies:
    """Writes replies to one connection.

    Args:
        conn: The connection, of which this closes the descriptor.
    """

    def __init__(self, conn: socket.socket) -> None:
        self._conn = conn
        self._lock = threading.Lock()

    def write(self, frame: bytes) -> None:
        """Writes a reply; what a slow peer has no room for is left to a thread of its own.

        A lost or closed connection is left to the thread that reads from it.
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
            threading.Thread(target=self._finish, args=args, name="reply", daemon=True).start()

    def close(self) -> None:
        """Closes the connection, and nothing is written after that.

        A descriptor that is closed during a write could be another connection's by then.
        """
        # Wakes a thread that waits for a slow peer.
        with contextlib.suppress(OSError):
            self._conn.shutdown(socket.SHUT_RDWR)
        with self._lock:
            self._conn.close()

    def _finish(self, rest: bytes) -> None:
        with self._lock, contextlib.suppress(OSError):
            self._conn.sendall(rest)
