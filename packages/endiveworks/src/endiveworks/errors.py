"""The failure value that every fallible operation returns."""

import enum
from typing import NamedTuple


class Code(enum.StrEnum):
    """Stable error codes, shown to callers and operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_SERVICE = "unknown_service"
    WRONG_TENANT = "wrong_tenant"
    CALL_OUT_OF_ORDER = "call_out_of_order"
    CALL_MISMATCH = "call_mismatch"
    PROGRAM_CLOSED = "program_closed"
    BUDGET_EXCEEDED = "budget_exceeded"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    NOT_OWNER = "not_owner"
    STALE_EPOCH = "stale_epoch"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REVOKED = "revoked"
    CONFLICT = "conflict"
    STORAGE = "storage"
    CORRUPT = "corrupt"
    INTERNAL = "internal"


class Failure(NamedTuple):
    """An error with the step and the peer at which it occurred.

    Attributes:
        code: What went wrong.
        step: The operation that failed, such as "journal.append".
        peer: The host, address or file concerned; empty for this process.
        detail: A human-readable sentence without prompt text or keys.
        not_run: True only when the request certainly did not run.
        retry_after_s: Delay before a retry, in seconds; None when a retry is of no use.
    """

    code: Code
    step: str
    peer: str
    detail: str
    not_run: bool = False
    retry_after_s: float | None = None

    def __str__(self) -> str:
        """Formats the failure for logs and terminals."""
        where = f" at {self.peer}" if self.peer else ""
        return f"{self.code} in {self.step}{where}: {self.detail}"
