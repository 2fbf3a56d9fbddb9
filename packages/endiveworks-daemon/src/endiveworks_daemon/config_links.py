"""Exchanges configuration bundles with other processes over Thrift."""

from collections.abc import Callable

from endiveworks.config.follower import PeerCalls, PulledBundle
from endiveworks.errors import Failure
from endiveworks.links.client import Peers
from endiveworks.wire.gen import ttypes
from returns.result import Result

_PULL_TIMEOUT_S = 2.0
_NOTIFY_TIMEOUT_S = 0.5
_UNKNOWN_AGE_MS = -1


def config_links(peers: Peers, origin: Callable[[], ttypes.Origin]) -> PeerCalls:
    """Returns the Thrift calls with which a follower reaches its peers."""

    def pull(address: str, newer_than: int) -> Result[PulledBundle, Failure]:
        reply = peers.call(
            address,
            "config.pull",
            _PULL_TIMEOUT_S,
            lambda client: client.config(origin(), newer_than),
        )
        return reply.map(_to_pulled)

    def notify(address: str) -> None:
        # A failure is ignored: the peer pulls within its period anyway.
        peers.call(
            address, "config.notify", _NOTIFY_TIMEOUT_S, lambda client: client.ping(origin())
        )

    return PeerCalls(pull, notify)


def to_age_ms(age_s: float | None) -> int:
    """Encodes an age in seconds as milliseconds; None becomes -1."""
    return _UNKNOWN_AGE_MS if age_s is None else int(age_s * 1000)


def _to_pulled(reply: ttypes.ConfigReply) -> PulledBundle:
    has_age = reply.age_ms is not None and reply.age_ms >= 0
    return PulledBundle(reply.version, reply.bundle, reply.age_ms / 1000 if has_age else None)
