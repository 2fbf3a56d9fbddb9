"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

from . import http

PREFIX = "/endiveworks/"
PAGE_ITEMS = 500
ANSWER_S = 0.004
EXPIRY_PERIOD_S = 0.05


class Item(NamedTuple):
    """One item of the store."""

    key: str
    value: bytes
    rev: int
    create_revision: int
    lease: int

    def encoded(self) -> dict[str, Any]:
        """Returns the item as it is sent."""
        value = base64.b64encode(self.value).decode()
        return self._asdict() | {"value": value}


class PlatformStore:
    """A store that listens on a loopback port.

    Attributes:
        address: Where it listens, as "ip:port".
        items: The items by key.
    """

    def __init__(self) -> None:
        self.address = ""
        self.items: dict[str, Item] = {}
        self._revision = 1
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, ip: str) -> None:
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self._expiry = asyncio.create_task(self._expire_forever())

    def stop(self) -> None:
        """Ends it."""
        if self._server is not None:
            self._server.close()
        if self._expiry is not None:
            self._expiry.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item."""
        self._revision += 1
        old = self.items.get(key)
        created = old.create_revision if old else self._revision
        item = Item(key, value, self._revision, created, lease)
        self.items[key] = item
        self._record(item.encoded())

    def remove(self, key: str) -> None:
        """Removes an item, if it is there."""
        if self.items.pop(key, None) is None:
            return
        self._revision += 1
        self._record({"key": key, "rev": self._revision, "deleted": True})

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append((self._revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            now_s = time.monotonic()
            for lease in [name for name, (end_s, _) in self._leases.items() if end_s < now_s]:
                del self._leases[lease]
                for key in [k for k, item in self.items.items() if item.lease == lease]:
                    self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await http.read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, reply = await self._answer(request)
                data = json.dumps(reply).encode() if reply is not None else b""
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(data))),
                ]
                writer.write(http.head(f"HTTP/1.1 {status} Status", headers) + data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # The peer has left, or the script ends.
        finally:
            writer.close()

    async def _answer(self, request: http.Message) -> tuple[int, Any]:
        method, target, _ = request.line.split()
        path, _, query = target.partition("?")
        call = unquote(path).removeprefix(PREFIX)
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        name, _, number = call.partition("/")
        if method == "GET" and name == "kv-watch":
            return await self._watch(fields)
        answers = {
            ("GET", "kv-key"): lambda: self._key(fields),
            ("GET", "kv-range"): lambda: self._range(fields),
            ("POST", "kv-txn"): lambda: self._txn(body),
            ("POST", "kv-lease"): lambda: self._lease(body),
            ("POST", "kv-keep"): lambda: self._keep(int(number)),
            ("DELETE", "kv-lease-end"): lambda: self._end_lease(int(number)),
        }
        return answers[method, name]()

    def _key(self, fields: dict[str, str]) -> tuple[int, Any]:
        item = self.items.get(fields["key"])
        return (200, item.encoded() | {"as_of": self._revision}) if item else (404, None)

    def _range(self, fields: dict[str, str]) -> tuple[int, Any]:
        prefix, after = fields.get("path_prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key].encoded() for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "truncated": truncated, "as_of": self._revision}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        prefix, after = fields.get("path_prefix", ""), int(fields["after"])
        end_s = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            found = [
                event
                for rev, event in self._history
                if rev > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "as_of": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        rows = body.get("expected_rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((item.rev if (item := current[row["key"]]) else 0) != row["rev"] for row in rows):
            return 412, {"items": [item.encoded() for item in current.values() if item]}
        writes = body.get("writes", [])
        keys = [write["key"] for write in writes] + list(body.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        if any(write.get("lease", 0) and write["lease"] not in self._leases for write in writes):
            return 404, None
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self._revision}

    def _lease(self, body: dict[str, Any]) -> tuple[int, Any]:
        lease, ttl_s = next(self._lease_ids), body["ttl_ms"] / 1000
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def _keep(self, lease: int) -> tuple[int, Any]:
        if lease not in self._leases:
            return 404, None
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttl_ms": round(ttl_s * 1000)}

    def _end_lease(self, lease: int) -> tuple[int, Any]:
        if self._leases.pop(lease, None) is None:
            return 404, None
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return 200, {}
