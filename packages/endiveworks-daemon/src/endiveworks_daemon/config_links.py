"""How this process pulls the configuration from others and tells them of its own."""

from collections.abc import Callable

from endiveworks.config.follower import Links, Pulled
from endiveworks.errors import Failure
from endiveworks.links.client import Peers
from endiveworks.wire.gen import ttypes
from returns.result import Result

_PULL_TIMEOUT_S = 2.0
_NOTIFY_TIMEOUT_S = 0.5
_NEVER_MS = -1


def config_links(peers: Peers, origin: Callable[[], ttypes.Origin]) -> Links:
    """Returns the links of a follower over Thrift."""

    def pull(address: str, newer_than: int) -> Result[Pulled, Failure]:
        answered = peers.call(
            address,
            "config.pull",
            _PULL_TIMEOUT_S,
            lambda client: client.config(origin(), newer_than),
        )
        return answered.map(_pulled)

    def notify(address: str) -> None:
        # A peer that can't be told now pulls within its period.
        peers.call(
            address, "config.notify", _NOTIFY_TIMEOUT_S, lambda client: client.ping(origin())
        )

    return Links(pull, notify)


def to_age_ms(age_s: float | None) -> int:
    """Returns the message form of an age in seconds, or of none."""
    return _NEVER_MS if age_s is None else int(age_s * 1000)


def _pulled(reply: ttypes.ConfigReply) -> Pulled:
    known = reply.age_ms is not None and reply.age_ms >= 0
    return Pulled(reply.version, reply.bundle, reply.age_ms / 1000 if known else None)
