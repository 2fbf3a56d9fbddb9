"""Conversion between messages of etcd v3's JSON gateway and the types in kv.py."""

import base64
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from .kv import Change, KeyValue, Swap, SwapResult


class WatchMessage(NamedTuple):
    """One message of a watch.

    Attributes:
        error: Why the service ended the watch; empty if it goes on.
        created_at: Revision at which the watch was created; None in all other messages.
        changes: The changes that the message reports.
    """

    error: str
    created_at: int | None
    changes: tuple[Change, ...]


def transaction(write: Swap) -> Mapping[str, Any]:
    """Returns a compare-and-swap transaction that reads the key if the comparison fails."""
    key = encode(write.key.encode())
    expected = str(write.expected_revision)
    compare = {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected}
    if write.value is None:
        change: Mapping[str, Any] = {"request_delete_range": {"key": key}}
    else:
        put = {"key": key, "value": encode(write.value), "lease": str(write.lease)}
        change = {"request_put": put}
    read_key = {"request_range": {"key": key}}
    return {"compare": [compare], "success": [change], "failure": [read_key]}


def swapped(write: Swap, body: Mapping[str, Any]) -> SwapResult:
    """Returns the outcome of a compare-and-swap from the reply to its transaction."""
    rev = revision(body)
    if not body.get("succeeded", False):
        parts = body.get("responses", ())
        found = (entry for part in parts for entry in entries(part["response_range"]))
        return SwapResult(False, rev, next(found, None))
    if write.value is None:
        return SwapResult(True, rev, None)
    return SwapResult(True, rev, KeyValue(write.key, write.value, rev, write.lease))


def entries(body: Mapping[str, Any]) -> Iterator[KeyValue]:
    """Yields the entries of a range reply."""
    for kv in body.get("kvs", ()):
        key = decode(kv["key"]).decode()
        value = decode(kv.get("value", ""))
        yield KeyValue(key, value, int(kv.get("mod_revision", 0)), int(kv.get("lease", 0)))


def change(event: Mapping[str, Any]) -> Change:
    """Converts one event of a watch message."""
    kv = event["kv"]
    deleted = event.get("type", "PUT") == "DELETE"
    value = None if deleted else decode(kv.get("value", ""))
    return Change(decode(kv["key"]).decode(), value, int(kv["mod_revision"]))


def watch_message(body: Mapping[str, Any]) -> WatchMessage:
    """Converts one message of a watch."""
    result = body.get("result", {})
    if "error" in body or result.get("canceled"):
        error = str(body.get("error") or result.get("cancel_reason", "compacted"))
        return WatchMessage(error, None, ())
    created_at = revision(result) if result.get("created") else None
    return WatchMessage("", created_at, tuple(change(e) for e in result.get("events", ())))


def prefix_range(prefix: str) -> dict[str, Any]:
    """Returns the key and range end that select all keys with a prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": encode(start), "range_end": encode(end)}


def revision(body: Mapping[str, Any]) -> int:
    """Returns the store's revision from the header of a reply."""
    return int(body.get("header", {}).get("revision", 0))


def encode(data: bytes) -> str:
    """Returns the base64 form of a key or value."""
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Returns the bytes of a base64 key or value."""
    return base64.b64decode(text, validate=True)
