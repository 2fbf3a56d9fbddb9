"""Rules for the values of a service file."""

import math
import re
from collections.abc import Callable
from typing import Any, Final, NamedTuple

REQUIRED: Final = object()
_NAME = re.compile(r"[a-z0-9]([a-z0-9_.-]{0,62}[a-z0-9])?")
_MAX_TEXT_CHARS = 256


class Rule(NamedTuple):
    """The values that a key accepts.

    Attributes:
        allowed: Description of the allowed values, for error messages.
        accepts: Returns whether a value is allowed.
        default: Default value, or REQUIRED if the key must be set.
    """

    allowed: str
    accepts: Callable[[Any], bool]
    default: Any = REQUIRED


def is_name(value: Any) -> bool:
    """Accepts short names of lower-case letters, digits, dots, hyphens and underscores."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def is_text(value: Any) -> bool:
    """Accepts short printable strings."""
    return isinstance(value, str) and len(value) <= _MAX_TEXT_CHARS and value.isprintable()


def is_boolean(value: Any) -> bool:
    """Accepts true and false."""
    return isinstance(value, bool)


def is_table(value: Any) -> bool:
    """Accepts tables."""
    return isinstance(value, dict)


def is_non_empty_table(value: Any) -> bool:
    """Accepts tables with at least one key."""
    return isinstance(value, dict) and bool(value)


def is_name_list(value: Any) -> bool:
    """Accepts lists of names without duplicates."""
    return isinstance(value, list) and all(map(is_name, value)) and len(set(value)) == len(value)


def one_of(*choices: str) -> Callable[[Any], bool]:
    """Returns a predicate that accepts the given strings."""
    return lambda value: isinstance(value, str) and value in choices


def integer_between(low: int, high: int) -> Callable[[Any], bool]:
    """Returns a predicate that accepts integers between two bounds, inclusive."""
    return lambda value: type(value) is int and low <= value <= high


def number_between(low: float, high: float) -> Callable[[Any], bool]:
    """Returns a predicate that accepts finite numbers between two bounds, inclusive."""

    def accepts(value: Any) -> bool:
        return type(value) in (int, float) and math.isfinite(value) and low <= value <= high

    return accepts
