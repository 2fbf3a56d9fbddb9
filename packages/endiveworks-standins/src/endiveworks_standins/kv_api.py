"""Requests of the etcd v3 JSON gateway, applied to the stand-in's store."""

import base64
import secrets
import time
from collections.abc import Callable, Mapping
from typing import Any

from .kv_store import Record, Store

Body = Mapping[str, Any]
_LEASE_BITS = 62


def handlers(store: Store) -> Mapping[str, tuple[str, Callable[[Body], Body]]]:
    """Returns the kind of call and its handler by path."""

    def range_(body: Body) -> Body:
        return _range(store, body)

    def txn(body: Body) -> Body:
        return _txn(store, body)

    def grant(body: Body) -> Body:
        lease = secrets.randbits(_LEASE_BITS)
        store.grant(lease, int(body["TTL"]), time.monotonic())
        return {"header": _header(store), "ID": str(lease), "TTL": str(body["TTL"])}

    def keep_alive(body: Body) -> Body:
        ttl_s = store.keep_alive(int(body["ID"]), time.monotonic())
        result = {"header": _header(store), "ID": str(body["ID"])}
        return {"result": {**result, "TTL": str(ttl_s)} if ttl_s else result}

    return {
        "/v3/kv/range": ("range", range_),
        "/v3/kv/txn": ("txn", txn),
        "/v3/lease/grant": ("lease_grant", grant),
        "/v3/lease/keepalive": ("lease_keepalive", keep_alive),
    }


def watch_range(body: Body) -> tuple[bytes, bytes, int]:
    """Returns the key, the range end and the start revision of a watch request."""
    create = body["create_request"]
    start = int(create.get("start_revision", 0))
    return decode(create["key"]), decode(create.get("range_end", "")), start


def watch_message(store: Store, events: list[Record], **more: Any) -> Body:
    """Returns one message of a watch; without events it reports progress or a state."""
    result: dict[str, Any] = {"header": _header(store), "watch_id": "0", **more}
    if events:
        result["events"] = [_event(record) for record in events]
    return {"result": result}


def decode(text: str) -> bytes:
    """Decodes a base64 key or value."""
    return base64.b64decode(text, validate=True)


def _range(store: Store, body: Body) -> Body:
    with store.changed:
        records = store.range(decode(body["key"]), decode(body.get("range_end", "")))
        kvs = [_kv(record) for record in records]
        return {"header": _header(store), "kvs": kvs, "count": str(len(kvs))}


def _txn(store: Store, body: Body) -> Body:
    with store.changed:
        succeeded = all(_compare(store, compare) for compare in body.get("compare", ()))
        requests = body.get("success" if succeeded else "failure", ())
        responses = [_apply(store, request) for request in requests]
        return {"header": _header(store), "succeeded": succeeded, "responses": responses}


def _compare(store: Store, compare: Body) -> bool:
    if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
        raise ValueError("unsupported comparison: only target MOD with result EQUAL is supported")
    return store.mod_revision(decode(compare["key"])) == int(compare.get("mod_revision", 0))


def _apply(store: Store, request: Body) -> Body:
    if "request_range" in request:
        return {"response_range": _range(store, request["request_range"])}
    if "request_delete_range" in request:
        deleted = store.delete([decode(request["request_delete_range"]["key"])])
        return {"response_delete_range": {"deleted": str(deleted)}}
    put = request["request_put"]
    if not store.put(decode(put["key"]), decode(put["value"]), int(put.get("lease", 0))):
        raise LookupError("requested lease not found")
    return {"response_put": {"header": _header(store)}}


def _header(store: Store) -> Body:
    return {"revision": str(store.revision)}


def _kv(record: Record) -> Body:
    return {
        "key": _encode(record.key),
        "value": _encode(record.value),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "lease": str(record.lease),
    }


def _event(record: Record) -> Body:
    if record.deleted:
        kv = {"key": _encode(record.key), "mod_revision": str(record.mod_revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": _kv(record)}


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()
