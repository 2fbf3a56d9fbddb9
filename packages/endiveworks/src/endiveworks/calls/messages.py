"""Messages of the executor."""

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
        """Formats the key for upstreams, which see it as an idempotency key."""
        return f"{self.program}:{self.call}:{self.attempt}"


class Job(NamedTuple):
    """An attempt as its owner dispatches it.

    Attributes:
        key: The attempt.
        epoch: Epoch of the owner's partition.
        incarnation: Incarnation of the upstream process that the attempt is meant for.
        tenant: Tenant of the program.
        service: Service that runs it.
        operation: Operation of a plain service; "chat" for a model.
        class_name: Class of the program.
        at_most_once: Whether the call must not be repeated.
        attained_tokens: Tokens that the program has used so far.
        deadline_s: Seconds that the call may still wait.
        prompt_tokens: Upper bound of the tokens of the prompt.
        max_tokens: Largest answer, in tokens.
        body: Request for the upstream.
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


class Doubt(enum.StrEnum):
    """What a revocation found."""

    REVOKED = "revoked"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"
