"""The error that ends the search for a replica."""

import enum


class RefusalKind(enum.Enum):
    """Why no replica takes a request."""

    NO_REPLICA = "no replica"
    NO_VERSION = "no replica of the version"
    NO_ROOM = "no room"


class RefusedError(Exception):
    """Raised when no replica can take a request in time.

    Attributes:
        wait_s: Expected time until a replica has capacity, in seconds.
        reason: Reason for the logs.
        kind: The kind of reason.
        retry_after_s: Time after which the caller may come back, in seconds; None if it depends on
            the wait only.
    """

    def __init__(
        self,
        wait_s: float,
        reason: str,
        kind: RefusalKind = RefusalKind.NO_ROOM,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.wait_s = wait_s
        self.reason = reason
        self.kind = kind
        self.retry_after_s = retry_after_s
