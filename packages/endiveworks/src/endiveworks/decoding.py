"""Decoding of what other processes, operators, replicas and services wrote."""

import ipaddress

# What decoders raise for bytes, types, numbers and nesting that they don't expect. RecursionError
# and OverflowError are no ValueErrors.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
MAX_INTEGER = 2**63 - 1  # Larger numbers can't be sent to other processes.
MAX_PORT = 65_535


def checked_integer(value: object, low: int, high: int = MAX_INTEGER) -> int:
    """Returns a whole number; raises ValueError if it is none, or out of range."""
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError(f"{str(value)[:40]!r} is no whole number from {low} to {high}")
    return value


def checked_number(value: object, low: float, high: float = float(MAX_INTEGER)) -> float:
    """Returns a number; raises ValueError if it is none, or out of range."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError(f"{str(value)[:40]!r} is no number from {low:g} to {high:g}")
    return float(value)


def checked_text(value: object, max_chars: int) -> str:
    """Returns a text; raises ValueError if it is none, or too long."""
    if not isinstance(value, str) or len(value) > max_chars:
        raise ValueError(f"{str(value)[:40]!r} is no text of up to {max_chars} characters")
    return value


def checked_address(value: object) -> str:
    """Returns an address to connect to, as "ip:port"; raises ValueError if it is none."""
    text = checked_text(value, 80)
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} has no port from 1 to {MAX_PORT}")
    if port != str(int(port)):
        raise ValueError(f"{text!r} has a port with leading zeros")
    return text
