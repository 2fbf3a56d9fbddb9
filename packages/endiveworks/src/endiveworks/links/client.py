"""Thrift calls to peers, each with a deadline and repeated once on a fresh connection."""

import socket
import threading
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TFramedTransport, TTransportException

from ..errors import Code, Failure
from .buffered import BufferedSocket
from .retry import RetryBudget, deposit, full_budget, withdraw

_MAX_IDLE_CONNECTIONS = 64
_CONNECT_TIMEOUT_S = 1.0
# Every idle connection may be lost at once, and each loss is worth a repeat.
_MAX_SAVED_REPEATS = 2.0 * _MAX_IDLE_CONNECTIONS
_REPEATS_PER_CALL = 0.1
_PROTOCOLS = TBinaryProtocolAcceleratedFactory()

T = TypeVar("T")


def _full_budget() -> RetryBudget:
    return full_budget(_MAX_SAVED_REPEATS, _REPEATS_PER_CALL)


class _Conn:
    """One connection to a peer."""

    def __init__(self, address: str, client_type: Callable[[Any], Any]) -> None:
        host, _, port = address.rpartition(":")
        self.socket = BufferedSocket(host, int(port))
        self.transport = TFramedTransport(self.socket)
        self.client = client_type(_PROTOCOLS.getProtocol(self.transport))

    def open(self, timeout_s: float) -> None:
        """Connects within the smaller of the timeout and the connection timeout."""
        self.socket.setTimeout(min(timeout_s, _CONNECT_TIMEOUT_S) * 1000)
        self.transport.open()
        self.socket.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Peers:
    """Connections to the processes of the deployment, reused between calls.

    Args:
        client_type: Generated Thrift client class, such as Executor.Client.
    """

    def __init__(self, client_type: Callable[[Any], Any]) -> None:
        self._client_type = client_type
        self._idle: dict[str, deque[_Conn]] = defaultdict(deque)
        self._budgets: dict[str, RetryBudget] = defaultdict(_full_budget)
        self._lock = threading.Lock()

    def call(
        self, address: str, step: str, timeout_s: float, method: Callable[[Any], T]
    ) -> Result[T, Failure]:
        """Calls a method of the peer at an address.

        A connection that was idle may have been lost unnoticed, so a failure on one is repeated
        once on a fresh connection. Every method of the protocol allows this. The retry budget of
        the peer bounds the repeats, so that a slow peer does not get its load doubled.

        Args:
            address: "ip:port" of the peer.
            step: Name of the operation, for errors.
            timeout_s: Seconds of silence after which the connection is given up.
            method: Function of the generated client.

        Returns:
            What the method returns, or UNREACHABLE when no connection was made, or TIMEOUT when
            the peer may have received the request but did not answer.
        """
        self._note_call(address)
        conn = self._take(address)
        if conn is not None:
            outcome = self._attempt(conn, address, step, timeout_s, method)
            if isinstance(outcome, Success):
                return outcome
            self._drop_idle(address)
            if not self._may_repeat(address):
                return outcome
            # The peer may have received the request on the connection that was lost.
            repeated = self._call_fresh(address, step, timeout_s, method)
            return repeated.alt(lambda failure: failure._replace(not_run=False))
        return self._call_fresh(address, step, timeout_s, method)

    def call_once(
        self, address: str, step: str, timeout_s: float, method: Callable[[Any], T]
    ) -> Result[T, Failure]:
        """Calls a method as call does, with a single request on a connection of its own.

        A refusal by the peer is then known to answer the only request there was.
        """
        return self._call_fresh(address, step, timeout_s, method, keep=False)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            conns = [conn for queue in self._idle.values() for conn in queue]
            self._idle.clear()
        for conn in conns:
            conn.transport.close()

    def _call_fresh(
        self,
        address: str,
        step: str,
        timeout_s: float,
        method: Callable[[Any], T],
        keep: bool = True,
    ) -> Result[T, Failure]:
        conn = _Conn(address, self._client_type)
        try:
            conn.open(timeout_s)
        except (TTransportException, OSError) as exc:
            conn.transport.close()
            return Err(Failure(Code.UNREACHABLE, step, address, str(exc), not_run=True))
        return self._attempt(conn, address, step, timeout_s, method, keep)

    def _attempt(
        self,
        conn: _Conn,
        address: str,
        step: str,
        timeout_s: float,
        method: Callable[[Any], T],
        keep: bool = True,
    ) -> Result[T, Failure]:
        try:
            conn.socket.setTimeout(timeout_s * 1000)
            value = method(conn.client)
        except (TException, OSError, ValueError) as exc:
            conn.transport.close()
            return Err(Failure(Code.TIMEOUT, step, address, str(exc) or "no answer"))
        if keep:
            self._give_back(address, conn)
        else:
            conn.transport.close()
        return Success(value)

    def _note_call(self, address: str) -> None:
        with self._lock:
            self._budgets[address] = deposit(self._budgets[address])

    def _may_repeat(self, address: str) -> bool:
        with self._lock:
            self._budgets[address], allowed = withdraw(self._budgets[address])
        return allowed

    def _drop_idle(self, address: str) -> None:
        with self._lock:
            conns = self._idle.pop(address, deque())
        for conn in conns:
            conn.transport.close()

    def _take(self, address: str) -> _Conn | None:
        with self._lock:
            queue = self._idle[address]
            return queue.pop() if queue else None

    def _give_back(self, address: str, conn: _Conn) -> None:
        with self._lock:
            queue = self._idle[address]
            if len(queue) < _MAX_IDLE_CONNECTIONS:
                queue.append(conn)
                return
        conn.transport.close()
