"""Key-value service client for the JSON gateway of etcd v3."""

import contextlib
import json
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from . import etcd_messages as messages
from .kv import Change, KeyValue, Kv, Snapshot, Swap, SwapResult

WATCH_SILENCE_S = 15.0
# A failed host changes many partitions at once; connections above this number are not kept open.
_KEPT_CONNECTIONS = 32
_READ_BYTES = 65536
_MAX_ERROR_CHARS = 200

_T = TypeVar("_T")


class _Connections:
    """Connection pool, replaced after a failure since its idle connections may be dead."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.pool = self._new_pool()

    def reset(self, failed: urllib3.HTTPConnectionPool) -> None:
        """Replaces the pool that failed; calls in progress keep their connections."""
        if self.pool is failed:
            self.pool = self._new_pool()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host, self._port, maxsize=_KEPT_CONNECTIONS, retries=False
        )


class _Client(NamedTuple):
    """Address, connections and timeouts of the service, in seconds."""

    address: str
    connections: _Connections
    timeout_s: float
    watch_silence_s: float


def connect(address: str, timeout_s: float, watch_silence_s: float = WATCH_SILENCE_S) -> Kv:
    """Returns a client of the service at "ip:port"; connections are opened on demand.

    Args:
        address: IP address and port of the service.
        timeout_s: Deadline of each call, in seconds.
        watch_silence_s: Seconds without any message after which a watch is treated as lost. It
            then returns a Failure with code TIMEOUT, and its caller starts another from the last
            revision received.
    """
    client = _Client(address, _Connections(address), timeout_s, watch_silence_s)

    def read(key: str) -> Result[KeyValue | None, Failure]:
        reply = _call(client, "range", "/v3/kv/range", {"key": messages.encode(key.encode())})
        return _decoded(
            client, "range", reply, lambda body: next(iter(messages.entries(body)), None)
        )

    def read_prefix(prefix: str) -> Result[Snapshot, Failure]:
        reply = _call(client, "range", "/v3/kv/range", messages.prefix_range(prefix))
        return _decoded(
            client,
            "range",
            reply,
            lambda body: Snapshot(messages.revision(body), tuple(messages.entries(body))),
        )

    def swap(write: Swap) -> Result[SwapResult, Failure]:
        reply = _call(client, "txn", "/v3/kv/txn", messages.transaction(write))
        return _decoded(client, "txn", reply, lambda body: messages.swapped(write, body))

    def grant_lease(ttl_s: int) -> Result[int, Failure]:
        reply = _call(client, "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)})
        return _decoded(client, "lease_grant", reply, lambda body: int(body.get("ID", 0)))

    def keep_alive(lease: int) -> Result[int, Failure]:
        reply = _call(client, "lease_keepalive", "/v3/lease/keepalive", {"ID": str(lease)})
        return _decoded(
            client, "lease_keepalive", reply, lambda body: int(body.get("result", {}).get("TTL", 0))
        )

    def watch(
        prefix: str, after_revision: int, on_changes: Callable[[tuple[Change, ...]], bool]
    ) -> Result[None, Failure]:
        return _watch(client, prefix, after_revision, on_changes)

    return Kv(read, read_prefix, swap, grant_lease, keep_alive, watch)


def _decoded(
    client: _Client,
    step: str,
    reply: Result[Mapping[str, Any], Failure],
    decode: Callable[[Mapping[str, Any]], _T],
) -> Result[_T, Failure]:
    """Returns what a reply holds; CORRUPT if it has other fields, types or numbers."""
    if not isinstance(reply, Success):
        return Err(reply.failure())
    try:
        return Success(decode(reply.unwrap()))
    except DECODE_ERRORS as exc:
        return Err(_failure(client, step, Code.CORRUPT, f"{type(exc).__name__}: {exc}"))


def _call(
    client: _Client, step: str, path: str, body: Mapping[str, Any]
) -> Result[Mapping[str, Any], Failure]:
    deadline = time.monotonic() + client.timeout_s
    timeout = urllib3.Timeout(total=client.timeout_s)
    pool = client.connections.pool
    try:
        resp = _post(pool, path, body, timeout)
        data = _read_until(resp, deadline)
        resp.release_conn()
        if resp.status != 200:
            return Err(_failure(client, step, Code.UPSTREAM_FAILED, _error_text(resp, data)))
        reply = msgspec.json.decode(data)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        client.connections.reset(pool)
        return Err(_transport_failure(client, step, exc))
    except DECODE_ERRORS as exc:
        return Err(_failure(client, step, Code.CORRUPT, str(exc)))
    return Success(reply)


def _post(
    pool: urllib3.HTTPConnectionPool, path: str, body: Mapping[str, Any], timeout: urllib3.Timeout
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
        "POST",
        path,
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        retries=False,
        redirect=False,
        timeout=timeout,
        preload_content=False,
    )


def _read_until(resp: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    parts = []
    while part := resp.read1(_READ_BYTES):
        parts.append(part)
        if time.monotonic() > deadline:
            raise TimeoutError("the response was not complete at the deadline")
    return b"".join(parts)


def _watch(
    client: _Client,
    prefix: str,
    after_revision: int,
    on_changes: Callable[[tuple[Change, ...]], bool],
) -> Result[None, Failure]:
    timeout = urllib3.Timeout(connect=client.timeout_s, read=client.watch_silence_s)
    create = {
        **messages.prefix_range(prefix),
        "start_revision": str(after_revision + 1),
        "progress_notify": True,
    }
    request = {"create_request": create}
    pool = client.connections.pool
    try:
        with contextlib.closing(_post(pool, "/v3/watch", request, timeout)) as resp:
            if resp.status != 200:
                text = _error_text(resp, resp.read())
                return Err(_failure(client, "watch", Code.UPSTREAM_FAILED, text))
            return _read_changes(client, resp, after_revision, on_changes)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        client.connections.reset(pool)
        return Err(_transport_failure(client, "watch", exc))


def _read_changes(
    client: _Client,
    resp: urllib3.BaseHTTPResponse,
    after_revision: int,
    on_changes: Callable[[tuple[Change, ...]], bool],
) -> Result[None, Failure]:
    for line in _lines(resp):
        try:
            message = messages.watch_message(msgspec.json.decode(line))
        except DECODE_ERRORS as exc:
            return Err(_failure(client, "watch", Code.CORRUPT, f"{type(exc).__name__}: {exc}"))
        if message.error:
            return Err(_failure(client, "watch", Code.CONFLICT, message.error))
        if message.created_at is not None and message.created_at < after_revision:
            detail = "the service's revision is below the last one received"
            return Err(_failure(client, "watch", Code.CONFLICT, detail))
        if not on_changes(message.changes):
            return Success(None)
    return Err(_failure(client, "watch", Code.UNREACHABLE, "the service ended the watch"))


def _lines(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while part := resp.read1(_READ_BYTES):
        *lines, rest = (rest + part).split(b"\n")
        yield from (line for line in lines if line.strip())


def _error_text(resp: urllib3.BaseHTTPResponse, data: bytes) -> str:
    return f"HTTP {resp.status}: {data.decode(errors='replace')[:_MAX_ERROR_CHARS]}"


def _transport_failure(client: _Client, step: str, exc: Exception) -> Failure:
    # urllib3 counts a refused connection as a timeout.
    refused = isinstance(exc, urllib3.exceptions.NewConnectionError)
    timed_out = isinstance(exc, TimeoutError | urllib3.exceptions.TimeoutError) and not refused
    code = Code.TIMEOUT if timed_out else Code.UNREACHABLE
    return _failure(client, step, code, f"{type(exc).__name__}: {exc}")


def _failure(client: _Client, step: str, code: Code, detail: str) -> Failure:
    return Failure(code, f"kv.{step}", client.address, detail)
