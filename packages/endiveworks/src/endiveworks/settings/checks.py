"""Checks shared by the settings of all programs; each returns an error sentence or None."""

import ipaddress
from collections.abc import Callable

MAX_PORT = 65535


def at_least(low: float) -> Callable[[object], str | None]:
    """Returns a check that a number is at least `low`."""

    def check(value: object) -> str | None:
        assert isinstance(value, int | float)
        return None if value >= low else f"{value} is below {low}, the lowest allowed."

    return check


def between(low: float, high: float) -> Callable[[object], str | None]:
    """Returns a check that a number is between two bounds, inclusive."""

    def check(value: object) -> str | None:
        assert isinstance(value, int | float)
        return None if low <= value <= high else f"{value} is not between {low} and {high}."

    return check


def not_empty(value: object) -> str | None:
    """Checks that a value is not empty."""
    return None if value else "a value is required."


def address(value: object) -> str | None:
    """Checks an address such as 127.0.0.1:8080 or [::1]:8080."""
    host, colon, port = str(value).rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return f"{value!r} is not an IP number and port, such as 127.0.0.1:8080."
    if not colon or not port.isdecimal() or int(port) > MAX_PORT:
        return f"{value!r} needs a port between 0 and {MAX_PORT}."
    return None


def optional_address(value: object) -> str | None:
    """Checks an address that may be empty."""
    return address(value) if value else None


def addresses(value: object) -> str | None:
    """Checks one or more addresses separated by commas."""
    problems = [address(part.strip()) for part in str(value).split(",")]
    return next((problem for problem in problems if problem), None)


def split_address(value: str) -> tuple[str, int]:
    """Returns the IP address and port of a validated address."""
    host, _, port = value.rpartition(":")
    return host.strip("[]"), int(port)
