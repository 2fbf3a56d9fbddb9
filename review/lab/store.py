"""Stand-in for the platform's store: items, pages, watches, leases and transactions."""

import asyncio
import base64
import json
import secrets
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from .wire import Message, read_message, response

PREFIX = "/endiveworks/"
PAGE_ITEMS = 500
SWEEP_S = 0.05
_TEXT = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}


class Item(NamedTuple):
    """An item of the store."""

    key: str
    value: bytes
    rev: int
    create_revision: int
    lease: int

    def fields(self) -> dict[str, Any]:
        """Returns the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "rev": self.rev,
            "create_revision": self.create_revision,
            "lease": self.lease,
        }


class PlatformStore:
    """A sound store on a loopback address.

    Attributes:
        items: The items by key.
        revision: Revision of the last change.
        address: Where it listens, as "ip:port".
        is_down: Whether calls get no answer and are not executed.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.address = ""
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.Task[None] | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        self._sweeping = asyncio.create_task(self._sweep())

    def stop(self) -> None:
        """Stops to listen."""
        if self._server is not None and self._sweeping is not None:
            self._server.close()
            self._sweeping.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item, as the operator or a replica does."""
        self.revision += 1
        old = self.items.get(key)
        item = Item(key, value, self.revision, old.create_revision if old else self.revision, lease)
        self.items[key] = item
        self._publish(item.fields())

    def put_json(self, key: str, fields: Any) -> None:
        """Writes an item whose value is JSON."""
        self.put(key, json.dumps(fields).encode())

    def delete(self, key: str) -> None:
        """Deletes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "rev": self.revision, "deleted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = asyncio.get_running_loop().time()
            ended = [lease for lease, (end_s, _) in self._leases.items() if end_s < now_s]
            for lease in ended:
                del self._leases[lease]
                for key in [k for k, item in self.items.items() if item.lease == lease]:
                    self.delete(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                await self._wait_until_up()
                status, fields = await self._handle(message)
                await self._wait_until_up()
                body = json.dumps(fields).encode() if fields is not None else b""
                headers = {"Content-Type": "application/json"}
                writer.write(response(f"{status} {_TEXT[status]}", body, headers))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _wait_until_up(self) -> None:
        while self.is_down:
            await asyncio.sleep(SWEEP_S)

    async def _handle(self, message: Message) -> tuple[int, Any]:
        _, target, _ = message.start.split()
        parts = urlsplit(target)
        name, _, number = parts.path.removeprefix(PREFIX).partition("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = json.loads(message.body) if message.body else {}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item.fields() | {"as_of": self.revision}) if item else (404, None)
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-txn":
            return self._transact(body)
        return self._lease(name, int(number or 0), body)

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        found = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        items = [self.items[k].fields() for k in found[:PAGE_ITEMS]]
        truncated = len(found) > PAGE_ITEMS
        return {"items": items, "truncated": truncated, "as_of": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        end_s = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self._events if e["rev"] > after and e["key"].startswith(prefix)]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        rows = body.get("expected_rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((i.rev if (i := current[row["key"]]) else 0) != row["rev"] for row in rows):
            return 412, {"items": [item.fields() for item in current.values() if item]}
        writes = body.get("writes", [])
        if any(write.get("lease") and write["lease"] not in self._leases for write in writes):
            return 404, None
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return 200, {"rev": self.revision}

    def _lease(self, name: str, lease: int, body: dict[str, Any]) -> tuple[int, Any]:
        now_s = asyncio.get_running_loop().time()
        if name == "kv-lease":
            lease, ttl_s = secrets.randbits(40), body["ttl_ms"] / 1000
            self._leases[lease] = (now_s + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        if lease not in self._leases:
            return 404, None
        ttl_s = self._leases[lease][1]
        if name == "kv-lease-end":
            self._leases[lease] = (now_s, ttl_s)
        else:
            self._leases[lease] = (now_s + ttl_s, ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}
