"""A configuration as the operator of the users' platform writes it, with a route of each kind."""

from collections.abc import Mapping
from typing import Any

from .site_caller import HOSTNAME

TOKENS_PER_EVENT = 10


def operator_config(
    version: int, slots: int, changes: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """Returns the fields of a configuration.

    Args:
        version: Its version.
        slots: Requests that a model replica runs at once.
        changes: Fields that all routes have instead of the usual ones.
    """
    common = {"hostname": HOSTNAME, "timeout_ms": 3000, "target_latency_ms": 300}
    stream = common | {"type": "streaming", "backend": "llm", "max_attempts": 1}
    stream |= {"priority": 0, "sticky": True, "retention_s": 60.0}
    routes = [
        stream | {"name": "turns", "path_prefix": "/turns/", "retain": True},
        stream | {"name": "drafts", "path_prefix": "/drafts/", "resumable": True},
        common
        | {"name": "orders", "path_prefix": "/orders/", "type": "non_idempotent"}
        | {"backend": "shop", "max_attempts": 1},
        common
        | {"name": "lookups", "path_prefix": "/lookups/", "type": "idempotent"}
        | {"backend": "shop", "max_attempts": 2},
    ]
    engine = {"slots": slots, "kv_capacity": 100_000, "chunk_tokens": TOKENS_PER_EVENT}
    services = [{"name": "llm", "engine": engine}, {"name": "shop"}]
    changed = [route | dict(changes or {}) for route in routes]
    return {"version": version, "routes": changed, "services": services}
