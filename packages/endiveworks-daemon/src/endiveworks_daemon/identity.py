"""What a process says of itself in every message."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.wire.gen import ttypes

_INCARNATION_BITS = 62


class Identity(NamedTuple):
    """A process of the deployment.

    Attributes:
        host: Name of the process, unique in the deployment.
        incarnation: Random id taken at its start.
        region: Region of its failure domain.
        failure_domain: Failure domain from its settings.
        config_version: Returns the version of the configuration in force here.
        config_age_s: Returns the seconds since the key-value service is known to have had no newer
            version; None for never.
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
    """Returns a random id for a process that starts."""
    return secrets.randbits(_INCARNATION_BITS)
