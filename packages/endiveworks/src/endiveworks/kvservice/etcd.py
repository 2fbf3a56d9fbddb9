"""Key-value service client that speaks the JSON gateway of etcd v3."""

import contextlib
import json
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from . import etcd_messages as messages
from .kv import Change, Entry, Kv, Snapshot, Swap, Swapped

WATCH_SILENCE_S = 15.0
# A failure of a host changes many partitions at once; more connections than these are not kept.
_KEPT_CONNECTIONS = 32
_READ_BYTES = 65536
_MAX_ERROR_CHARS = 200


class _Connections:
    """Open connections; all are given up after a failure, since a kept one may be silent."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.pool = self._new_pool()

    def renew(self, failed: urllib3.HTTPConnectionPool) -> None:
        """Makes later calls open fresh connections; calls under way keep theirs."""
        if self.pool is failed:
            self.pool = self._new_pool()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host, self._port, maxsize=_KEPT_CONNECTIONS, retries=False
        )


class _Service(NamedTuple):
    """The address of the service, its connections and the deadline of one call in seconds."""

    address: str
    connections: _Connections
    timeout_s: float
    watch_silence_s: float


def connect(address: str, timeout_s: float, watch_silence_s: float = WATCH_SILENCE_S) -> Kv:
    """Returns access to the service at "ip:port"; connections are opened as they are needed.

    Args:
        address: The IP number and port of the service.
        timeout_s: Deadline of each call, in seconds.
        watch_silence_s: Seconds without any message after which a watch counts as lost. A watch
            that ends so returns a Failure with code TIMEOUT, and its caller starts another from
            the last revision that it saw.
    """
    service = _Service(address, _Connections(address), timeout_s, watch_silence_s)

    def read(key: str) -> Result[Entry | None, Failure]:
        reply = _call(service, "range", "/v3/kv/range", {"key": messages.encode(key.encode())})
        return reply.map(lambda body: next(iter(messages.entries(body)), None))

    def read_prefix(prefix: str) -> Result[Snapshot, Failure]:
        reply = _call(service, "range", "/v3/kv/range", messages.prefix_range(prefix))
        return reply.map(
            lambda body: Snapshot(messages.revision(body), tuple(messages.entries(body)))
        )

    def swap(write: Swap) -> Result[Swapped, Failure]:
        reply = _call(service, "txn", "/v3/kv/txn", messages.transaction(write))
        return reply.map(lambda body: messages.swapped(write, body))

    def grant_lease(ttl_s: int) -> Result[int, Failure]:
        reply = _call(service, "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)})
        return reply.map(lambda body: int(body.get("ID", 0)))

    def keep_alive(lease: int) -> Result[int, Failure]:
        reply = _call(service, "lease_keepalive", "/v3/lease/keepalive", {"ID": str(lease)})
        return reply.map(lambda body: int(body.get("result", {}).get("TTL", 0)))

    def watch(
        prefix: str, after_revision: int, on_changes: Callable[[tuple[Change, ...]], bool]
    ) -> Result[None, Failure]:
        return _watch(service, prefix, after_revision, on_changes)

    return Kv(read, read_prefix, swap, grant_lease, keep_alive, watch)


def _call(
    service: _Service, step: str, path: str, body: Mapping[str, Any]
) -> Result[Mapping[str, Any], Failure]:
    deadline = time.monotonic() + service.timeout_s
    timeout = urllib3.Timeout(total=service.timeout_s)
    pool = service.connections.pool
    try:
        resp = _post(pool, path, body, timeout)
        data = _read_until(resp, deadline)
        resp.release_conn()
        if resp.status != 200:
            return Err(_failure(service, step, Code.UPSTREAM_FAILED, _error_text(resp, data)))
        reply = msgspec.json.decode(data)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        service.connections.renew(pool)
        return Err(_lost(service, step, exc))
    except msgspec.DecodeError as exc:
        return Err(_failure(service, step, Code.CORRUPT, str(exc)))
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
            raise TimeoutError("the answer was not complete at the deadline")
    return b"".join(parts)


def _watch(
    service: _Service,
    prefix: str,
    after_revision: int,
    on_changes: Callable[[tuple[Change, ...]], bool],
) -> Result[None, Failure]:
    timeout = urllib3.Timeout(connect=service.timeout_s, read=service.watch_silence_s)
    create = {
        **messages.prefix_range(prefix),
        "start_revision": str(after_revision + 1),
        "progress_notify": True,
    }
    request = {"create_request": create}
    pool = service.connections.pool
    try:
        with contextlib.closing(_post(pool, "/v3/watch", request, timeout)) as resp:
            if resp.status != 200:
                text = _error_text(resp, resp.read())
                return Err(_failure(service, "watch", Code.UPSTREAM_FAILED, text))
            return _follow(service, resp, after_revision, on_changes)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        service.connections.renew(pool)
        return Err(_lost(service, "watch", exc))
    except msgspec.DecodeError as exc:
        return Err(_failure(service, "watch", Code.CORRUPT, str(exc)))


def _follow(
    service: _Service,
    resp: urllib3.BaseHTTPResponse,
    after_revision: int,
    on_changes: Callable[[tuple[Change, ...]], bool],
) -> Result[None, Failure]:
    for line in _lines(resp):
        message = msgspec.json.decode(line)
        result = message.get("result", {})
        if "error" in message or result.get("canceled"):
            reason = str(message.get("error") or result.get("cancel_reason", "compacted"))
            return Err(_failure(service, "watch", Code.CONFLICT, reason))
        if result.get("created") and messages.revision(result) < after_revision:
            detail = "the revisions of the service have gone back"
            return Err(_failure(service, "watch", Code.CONFLICT, detail))
        changes = tuple(messages.change(event) for event in result.get("events", ()))
        if not on_changes(changes):
            return Success(None)
    return Err(_failure(service, "watch", Code.UNREACHABLE, "the service ended the watch"))


def _lines(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while part := resp.read1(_READ_BYTES):
        *lines, rest = (rest + part).split(b"\n")
        yield from (line for line in lines if line.strip())


def _error_text(resp: urllib3.BaseHTTPResponse, data: bytes) -> str:
    return f"HTTP {resp.status}: {data.decode(errors='replace')[:_MAX_ERROR_CHARS]}"


def _lost(service: _Service, step: str, exc: Exception) -> Failure:
    # urllib3 counts a refused connection among the time-outs.
    refused = isinstance(exc, urllib3.exceptions.NewConnectionError)
    timed_out = isinstance(exc, TimeoutError | urllib3.exceptions.TimeoutError) and not refused
    code = Code.TIMEOUT if timed_out else Code.UNREACHABLE
    return _failure(service, step, code, f"{type(exc).__name__}: {exc}")


def _failure(service: _Service, step: str, code: Code, detail: str) -> Failure:
    return Failure(code, f"kv.{step}", service.address, detail)
