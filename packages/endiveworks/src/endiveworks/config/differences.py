"""Differences between two sets of services, reported to a publisher that lost a race."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from .bundle import Service

_ABSENT = "absent"
_PRESENT = "present"


class Difference(NamedTuple):
    """One key whose value differs between the active bundle and the one to publish."""

    service: str
    key: str
    in_force: str
    wanted: str


def differences(
    in_force: Mapping[str, Service], wanted: Mapping[str, Service]
) -> tuple[Difference, ...]:
    """Returns every key that differs between two sets of services, sorted by service and key."""
    found: list[Difference] = []
    for name in sorted({*in_force, *wanted}):
        if name not in wanted:
            found.append(Difference(name, "", _PRESENT, _ABSENT))
        elif name not in in_force:
            found.append(Difference(name, "", _ABSENT, _PRESENT))
        else:
            found.extend(_differing_keys(name, in_force[name], wanted[name]))
    return tuple(found)


def _differing_keys(name: str, in_force: Service, wanted: Service) -> list[Difference]:
    before, after = _flatten(in_force), _flatten(wanted)
    return [
        Difference(name, key, before.get(key, _ABSENT), after.get(key, _ABSENT))
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    ]


def _flatten(value: Any, prefix: str = "") -> dict[str, str]:
    """Returns the text of every leaf under its key path."""
    if hasattr(value, "_asdict"):
        value = value._asdict()
    if not isinstance(value, Mapping):
        leaf = sorted(value) if isinstance(value, frozenset) else value
        return {prefix: str(leaf)}
    leaves: dict[str, str] = {}
    for key, item in value.items():
        leaves.update(_flatten(item, f"{prefix}.{key}" if prefix else key))
    return leaves
