"""Sender identity that a process includes in every message."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.wire.gen import ttypes

_INCARNATION_BITS = 62


class Identity(NamedTuple):
    """A process of the deployment.

    Attributes:
        host: Name of the process, unique in the deployment.
        incarnation: Random id generated at startup.
        region: Region of its failure domain.
        failure_domain: Failure domain from the settings.
        config_version: Returns the version of the configuration in force in this process.
        config_age_s: Returns the seconds since the key-value service last confirmed that there is
            no newer version; None if it never has.
    """

    host: str
    incarnation: int
    region: str
    failure_domain: str
    config_version: Callable[[], int]
    config_age_s: Callable[[], float | None] = lambda: None

    def origin(self) -> ttypes.Origin:
        """Returns the sender part of a message."""
        return ttypes.Origin(self.host, self.incarnation, self.config_version())


def new_incarnation() -> int:
    """Returns a random incarnation id."""
    return secrets.randbits(_INCARNATION_BITS)
