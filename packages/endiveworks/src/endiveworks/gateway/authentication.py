"""Decides who sends a request, from its credentials and the tenants of the configuration.

Only headers of the "Bearer" scheme (RFC 6750) are credentials here. A key is looked up by its
digest, so that the time of a look-up says nothing about the keys that exist.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from .routes import Route, RoutingTable, Tenant, key_digest

AUTHORIZATION = b"authorization"
_SCHEME = b"bearer"
MAX_KEY_BYTES = 1_024  # Longer keys are refused before they are hashed.
# A process in touch hears of the newest configuration within this time, over all processes between
# it and the key-value service.
CERTAIN_AGE_S = 4.0
_FIRST_VISIBLE, _LAST_VISIBLE = 0x21, 0x7E

Credentials = Sequence[tuple[bytes, bytes]]


class Refusal(enum.Enum):
    """Why a request is refused; the text is for logs and never quotes what the caller sent."""

    MISSING = "the request carries no API key"
    REPEATED = "the request carries more than one Authorization header"
    MALFORMED = "the Authorization header carries no well-formed bearer key"
    UNKNOWN = "no tenant has this API key"
    UNCERTAIN = "no tenant has this API key, and the configuration may be outdated"
    STALE = "the configuration is too old to tell whether this API key was revoked"

    def is_final(self) -> bool:
        """Returns whether the caller would be refused again after a while."""
        return self not in (Refusal.UNCERTAIN, Refusal.STALE)


class Freshness(NamedTuple):
    """How far the configuration can be relied on.

    Attributes:
        is_reachable: Whether the key-value service responds, so that the configuration is current.
        age_s: Time since the configuration was known to be the newest; None if unknown.
        max_age_s: Age from which no key is accepted any more; None if keys stay valid until a newer
            configuration is read.
    """

    is_reachable: bool
    age_s: float | None = None
    max_age_s: float | None = None

    def is_current(self) -> bool:
        """Returns whether a key that isn't in the configuration can be called unknown."""
        return self.is_reachable and (self.age_s is None or self.age_s <= CERTAIN_AGE_S)

    def is_stale(self) -> bool:
        """Returns whether a key may have been revoked for too long without this process knowing."""
        if self.max_age_s is None:
            return False
        return self.age_s is None or self.age_s > self.max_age_s


def authenticate(
    table: RoutingTable, route: Route, credentials: Credentials, freshness: Freshness
) -> Tenant | None | Refusal:
    """Returns the tenant that sends a request; None if the sender need not be known.

    Args:
        table: The configuration in force.
        route: The route that matches the request.
        credentials: Headers that state who sends the request, as the caller sent them.
        freshness: How far the configuration can be relied on.
    """
    if table.tenants is None or route.public:
        return None
    key = read_key(credentials)
    if isinstance(key, Refusal):
        return key
    tenant = table.tenants_by_key.get(key_digest(key))
    if tenant is None:
        return Refusal.UNKNOWN if freshness.is_current() else Refusal.UNCERTAIN
    return Refusal.STALE if freshness.is_stale() else tenant


def read_key(credentials: Credentials) -> bytes | Refusal:
    """Returns the API key in the credentials of a request."""
    values = [value for name, value in credentials if name.lower() == AUTHORIZATION]
    if not values:
        return Refusal.MISSING
    if len(values) > 1:
        return Refusal.REPEATED
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or not 0 < len(key) <= MAX_KEY_BYTES:
        return Refusal.MALFORMED
    if not all(_FIRST_VISIBLE <= byte <= _LAST_VISIBLE for byte in key):
        return Refusal.MALFORMED
    return key
