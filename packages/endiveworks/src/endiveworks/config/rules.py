"""Rules for the values of a service file."""

import math
import re
from collections.abc import Callable
from typing import Any, Final, NamedTuple

REQUIRED: Final = object()
_NAME = re.compile(r"[a-z0-9]([a-z0-9_.-]{0,62}[a-z0-9])?")
_MAX_TEXT_CHARS = 256


class Rule(NamedTuple):
    """What a key may hold.

    Attributes:
        allowed: The allowed values, for an error message.
        accepts: Whether a value is allowed.
        default: Value of a key that is not set, or REQUIRED.
    """

    allowed: str
    accepts: Callable[[Any], bool]
    default: Any = REQUIRED


def is_name(value: Any) -> bool:
    """Accepts short names of lower-case letters, digits, dots, hyphens and underscores."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def is_text(value: Any) -> bool:
    """Accepts short printable text."""
    return isinstance(value, str) and len(value) <= _MAX_TEXT_CHARS and value.isprintable()


def is_flag(value: Any) -> bool:
    """Accepts true and false."""
    return isinstance(value, bool)


def is_table(value: Any) -> bool:
    """Accepts tables."""
    return isinstance(value, dict)


def is_filled_table(value: Any) -> bool:
    """Accepts tables with at least one key."""
    return isinstance(value, dict) and bool(value)


def is_name_list(value: Any) -> bool:
    """Accepts lists of different names."""
    return isinstance(value, list) and all(map(is_name, value)) and len(set(value)) == len(value)


def is_one_of(*choices: str) -> Callable[[Any], bool]:
    """Returns a function that accepts the given texts."""
    return lambda value: isinstance(value, str) and value in choices


def is_integer(low: int, high: int) -> Callable[[Any], bool]:
    """Returns a function that accepts whole numbers of a range."""
    return lambda value: type(value) is int and low <= value <= high


def is_number(low: float, high: float) -> Callable[[Any], bool]:
    """Returns a function that accepts finite numbers of a range."""

    def accepts(value: Any) -> bool:
        return type(value) in (int, float) and math.isfinite(value) and low <= value <= high

    return accepts
