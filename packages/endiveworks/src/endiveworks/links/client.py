"""Thrift calls to peers, with a timeout and one retry on a fresh connection."""

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
from .buffered_socket import BufferedSocket
from .retry import RetryBudget, deposit, full_budget, withdraw

_MAX_IDLE_CONNECTIONS = 64
_CONNECT_TIMEOUT_S = 1.0
# All idle connections may be lost at the same time, and each loss justifies a retry.
_MAX_SAVED_RETRIES = 2.0 * _MAX_IDLE_CONNECTIONS
_RETRIES_PER_CALL = 0.1
_PROTOCOLS = TBinaryProtocolAcceleratedFactory()

T = TypeVar("T")


def _new_retry_budget() -> RetryBudget:
    return full_budget(_MAX_SAVED_RETRIES, _RETRIES_PER_CALL)


class _Conn:
    """One connection to a peer."""

    def __init__(self, address: str, client_type: Callable[[Any], Any]) -> None:
        host, _, port = address.rpartition(":")
        self.socket = BufferedSocket(host, int(port))
        self.transport = TFramedTransport(self.socket)
        self.client = client_type(_PROTOCOLS.getProtocol(self.transport))

    def open(self, timeout_s: float) -> None:
        """Connects within timeout_s, or _CONNECT_TIMEOUT_S if that is shorter."""
        self.socket.setTimeout(min(timeout_s, _CONNECT_TIMEOUT_S) * 1000)
        self.transport.open()
        self.socket.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Peers:
    """Client of the deployment's processes, with a pool of idle connections for each peer.

    Args:
        client_type: Generated Thrift client class, such as Executor.Client.
    """

    def __init__(self, client_type: Callable[[Any], Any]) -> None:
        self._client_type = client_type
        self._idle: dict[str, deque[_Conn]] = defaultdict(deque)
        self._budgets: dict[str, RetryBudget] = defaultdict(_new_retry_budget)
        self._lock = threading.Lock()

    def call(
        self, address: str, step: str, timeout_s: float, method: Callable[[Any], T]
    ) -> Result[T, Failure]:
        """Calls a method of the peer at an address.

        The peer may have closed an idle connection, so a call that fails on one is retried once
        on a fresh connection. Every method of the protocol is idempotent. A retry budget for each
        peer limits retries, so that they do not double the load of a slow peer.

        Args:
            address: "ip:port" of the peer.
            step: Name of the operation, for errors.
            timeout_s: Seconds without data from the peer after which the connection is closed.
            method: Function of the generated client.

        Returns:
            The method's result, or a Failure: UNREACHABLE if no connection was made, TIMEOUT if
            the peer may have received the request but did not reply.
        """
        self._record_call(address)
        conn = self._acquire(address)
        if conn is not None:
            outcome = self._attempt(conn, address, step, timeout_s, method)
            if isinstance(outcome, Success):
                return outcome
            self._drop_idle(address)
            if not self._may_retry(address):
                return outcome
            # The peer may have received the first request before its connection was lost.
            retried = self._call_fresh(address, step, timeout_s, method)
            return retried.alt(lambda failure: failure._replace(not_run=False))
        return self._call_fresh(address, step, timeout_s, method)

    def call_once(
        self, address: str, step: str, timeout_s: float, method: Callable[[Any], T]
    ) -> Result[T, Failure]:
        """Calls a method without retrying, on a fresh connection that is closed afterwards.

        If the peer refuses, no earlier request can have run the call, since only one was sent.
        """
        return self._call_fresh(address, step, timeout_s, method, reuse=False)

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
        reuse: bool = True,
    ) -> Result[T, Failure]:
        conn = _Conn(address, self._client_type)
        try:
            conn.open(timeout_s)
        except (TTransportException, OSError) as exc:
            conn.transport.close()
            return Err(Failure(Code.UNREACHABLE, step, address, str(exc), not_run=True))
        return self._attempt(conn, address, step, timeout_s, method, reuse)

    def _attempt(
        self,
        conn: _Conn,
        address: str,
        step: str,
        timeout_s: float,
        method: Callable[[Any], T],
        reuse: bool = True,
    ) -> Result[T, Failure]:
        try:
            conn.socket.setTimeout(timeout_s * 1000)
            value = method(conn.client)
        except (TException, OSError, ValueError) as exc:
            conn.transport.close()
            return Err(Failure(Code.TIMEOUT, step, address, str(exc) or "no response"))
        if reuse:
            self._release(address, conn)
        else:
            conn.transport.close()
        return Success(value)

    def _record_call(self, address: str) -> None:
        with self._lock:
            self._budgets[address] = deposit(self._budgets[address])

    def _may_retry(self, address: str) -> bool:
        with self._lock:
            self._budgets[address], allowed = withdraw(self._budgets[address])
        return allowed

    def _drop_idle(self, address: str) -> None:
        with self._lock:
            conns = self._idle.pop(address, deque())
        for conn in conns:
            conn.transport.close()

    def _acquire(self, address: str) -> _Conn | None:
        with self._lock:
            queue = self._idle[address]
            return queue.pop() if queue else None

    def _release(self, address: str, conn: _Conn) -> None:
        with self._lock:
            queue = self._idle[address]
            if len(queue) < _MAX_IDLE_CONNECTIONS:
                queue.append(conn)
                return
        conn.transport.close()
