"""Messages that owners and executors exchange."""

import enum
from typing import NamedTuple


class CallKey(NamedTuple):
    """One attempt at one call of one program."""

    program: str
    call: int
    attempt: int

    @property
    def partition(self) -> int:
        """Partition of the program."""
        return int(self.program.partition("-")[0], 16)

    def __str__(self) -> str:
        """Formats the key as the idempotency key that is sent to the upstream."""
        return f"{self.program}:{self.call}:{self.attempt}"


class Job(NamedTuple):
    """An attempt, as dispatched by the owner of its program.

    Attributes:
        key: The attempt.
        epoch: Epoch of the owner's partition.
        incarnation: Incarnation of the upstream process that must run the attempt.
        tenant: Tenant of the program.
        service: Service to call.
        operation: Operation of a plain service; "chat" for a model.
        class_name: Priority class of the program.
        at_most_once: Whether the call must not be repeated.
        attained_tokens: Tokens that the program has used so far.
        deadline_s: Seconds that the call may still wait in the queue.
        prompt_tokens: Upper bound of the prompt's tokens.
        max_tokens: Maximum length of the response, in tokens.
        body: Body of the request to the upstream.
    """

    key: CallKey
    epoch: int
    incarnation: int
    tenant: str
    service: str
    operation: str
    class_name: str
    at_most_once: bool
    attained_tokens: int
    deadline_s: float
    prompt_tokens: int
    max_tokens: int
    body: bytes


class RevokeOutcome(enum.StrEnum):
    """State of an attempt, as reported by its revocation."""

    REVOKED = "revoked"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"
