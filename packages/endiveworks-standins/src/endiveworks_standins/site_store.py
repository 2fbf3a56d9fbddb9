"""Stand-in for the platform's store: items, pages, watches, leases and transactions."""

import base64
import json
import secrets
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from cheroot import wsgi

from .kv import SocketGateway, close_connection
from .kv_store import Record, Store

_PREFIX = "/endiveworks/"
_STATUS_TEXT = {
    200: "OK",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    429: "Too Many Requests",
    503: "Service Unavailable",
}
_POLL_S = 0.01
_LEASE_BITS = 40

Response = tuple[int, Any]


class Faults(NamedTuple):
    """Injected faults.

    Attributes:
        status: Status of every response, with no call executed; 0 for none.
        lose_answers: Whether transactions are executed but get no response.
        silent: Whether calls are not executed and get no response.
        page_items: Maximum number of items per page.
        deaf: Whether watches that start while it is set receive no events.
    """

    status: int = 0
    lose_answers: bool = False
    silent: bool = False
    page_items: int = 500
    deaf: bool = False


class SiteStore:
    """A store that listens on a loopback port.

    Attributes:
        address: Address that it listens on, as "ip:port".
        faults: Injected faults; can be replaced at any time.
        calls: Names of the calls received so far.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.calls: list[str] = []
        self._watch_generation = 0
        self._server = wsgi.Server(("127.0.0.1", 0), self._respond, numthreads=24)
        self._server.gateway = SocketGateway
        self._server.prepare()
        ip, port = self._server.bind_addr
        self.address = f"{ip}:{port}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def put(self, key: str, value: bytes) -> None:
        """Writes an item without a lease, as the operator or a replica does."""
        self.store.put(key.encode(), value, 0)

    def get(self, key: str) -> bytes | None:
        """Returns the value of an item, or None if it does not exist."""
        found = self.store.range(key.encode(), b"")
        return found[0].value if found else None

    def close_watches(self) -> None:
        """Closes the connections of all waiting watches."""
        self._watch_generation += 1

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    def _respond(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        name = environ["PATH_INFO"].removeprefix(_PREFIX)
        self.calls.append(name)
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length)) if length else {}
        while self.faults.silent:
            time.sleep(_POLL_S)
        status, result = self.faults.status, None
        if not status:
            generation = self._watch_generation
            status, result = self._handle(environ["REQUEST_METHOD"], name, query, body)
            while self.faults.silent:  # Also holds the responses to watches that were waiting.
                time.sleep(_POLL_S)
            response_lost = self.faults.lose_answers and name == "kv-txn"
            if response_lost or (name == "kv-watch" and generation != self._watch_generation):
                return close_connection(environ, start_response)
        data = json.dumps(result).encode() if result is not None else b""
        start_response(
            f"{status} {_STATUS_TEXT[status]}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def _handle(
        self, method: str, name: str, query: dict[str, str], body: dict[str, Any]
    ) -> Response:
        self.store.expire(time.monotonic())
        calls: dict[tuple[str, str], Callable[[], Response]] = {
            ("GET", "kv-key"): lambda: self._key(query["key"]),
            ("GET", "kv-range"): lambda: self._range(query),
            ("GET", "kv-watch"): lambda: self._watch(query),
            ("POST", "kv-txn"): lambda: self._txn(body),
            ("POST", "kv-lease"): lambda: self._lease(body),
        }
        if name.startswith("kv-keep/"):
            return self._keep(int(name.partition("/")[2]))
        return calls[method, name]()

    def _key(self, key: str) -> Response:
        found = self.store.range(key.encode(), b"")
        return (200, _item(found[0]) | {"as_of": self.store.revision}) if found else (404, None)

    def _range(self, query: dict[str, str]) -> Response:
        prefix = query.get("path_prefix", "").encode()
        with self.store.changed:
            found = [r for r in self.store.range(b"", b"\xff") if r.key.startswith(prefix)]
            found = [r for r in found if r.key.decode() > query.get("after", "")]
            page = found[: self.faults.page_items]
            reply = {
                "items": [_item(record) for record in page],
                "truncated": len(page) < len(found),
                "as_of": self.store.revision,
            }
        return 200, reply

    def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        prefix = query.get("path_prefix", "").encode()
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        generation, deaf = self._watch_generation, self.faults.deaf
        while True:
            self.store.expire(time.monotonic())
            with self.store.changed:
                if after + 1 < self.store.oldest_event:
                    return 410, None
                events = self.store.events_from(after + 1, b"", b"\xff")
                events = [e for e in events if e.key.startswith(prefix) and not deaf]
                if events or generation != self._watch_generation or time.monotonic() >= end_s:
                    reply = {"events": [_event(e) for e in events], "as_of": self.store.revision}
                    return 200, reply
            time.sleep(_POLL_S)

    def _txn(self, body: dict[str, Any]) -> Response:
        with self.store.changed:
            rows = [(row["key"].encode(), row["rev"]) for row in body["expected_rev"]]
            if any(self.store.mod_revision(key) != rev for key, rev in rows):
                found = [self.store.range(key, b"") for key, _ in rows]
                return 412, {"items": [_item(records[0]) for records in found if records]}
            for write in body["writes"]:
                value = base64.b64decode(write["value"])
                if not self.store.put(write["key"].encode(), value, write["lease"]):
                    return 404, None
            self.store.delete([key.encode() for key in body["remove"]])
            return 200, {"rev": self.store.revision}

    def _lease(self, body: dict[str, Any]) -> Response:
        lease = secrets.randbits(_LEASE_BITS)
        ttl_ms = int(body["ttl_ms"])
        self.store.grant(lease, ttl_ms // 1000, time.monotonic())
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _keep(self, lease: int) -> Response:
        ttl_s = self.store.keep_alive(lease, time.monotonic())
        return (200, {"ttl_ms": ttl_s * 1000}) if ttl_s else (404, None)


@contextmanager
def running_store() -> Iterator[SiteStore]:
    """Runs a store for the duration of a with block."""
    store = SiteStore()
    try:
        yield store
    finally:
        store.stop()


def _item(record: Record) -> dict[str, Any]:
    return {
        "key": record.key.decode(),
        "value": base64.b64encode(record.value).decode(),
        "rev": record.mod_revision,
        "create_revision": record.create_revision,
        "lease": record.lease,
    }


def _event(record: Record) -> dict[str, Any]:
    if record.deleted:
        return {"key": record.key.decode(), "rev": record.mod_revision, "deleted": True}
    return _item(record)
