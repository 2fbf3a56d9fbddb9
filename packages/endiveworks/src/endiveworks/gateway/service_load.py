"""Requests of all entries for a service, as entries tell each other."""

from typing import NamedTuple


class ServiceLoad(NamedTuple):
    """Requests for a service.

    Attributes:
        in_flight: Requests at replicas.
        queued: Requests that wait at entries.
    """

    in_flight: int
    queued: int

    def __add__(self, other: object) -> "ServiceLoad":
        """Returns the sums."""
        if not isinstance(other, ServiceLoad):
            return NotImplemented
        return ServiceLoad(self.in_flight + other.in_flight, self.queued + other.queued)


NO_SERVICE_LOAD = ServiceLoad(0, 0)
