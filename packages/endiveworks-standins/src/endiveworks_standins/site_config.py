"""Configuration in the form written by the platform's operator, with a route of each type."""

from collections.abc import Mapping, Sequence
from typing import Any

from .site_caller import HOSTNAME

TOKENS_PER_EVENT = 10


def operator_config(
    version: int,
    slots: int,
    changes: Mapping[str, Any] | None = None,
    tenants: Sequence[Mapping[str, Any]] | None = None,
) -> dict[str, Any]:
    """Returns the fields of a configuration.

    Args:
        version: Version of the configuration.
        slots: Number of requests that a model replica runs concurrently.
        changes: Fields that override the defaults in all routes.
        tenants: Fields of the tenants; None for a configuration without the field.
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
    overridden = [route | dict(changes or {}) for route in routes]
    fields: dict[str, Any] = {"version": version, "routes": overridden, "services": services}
    return fields if tenants is None else fields | {"tenants": [dict(t) for t in tenants]}
