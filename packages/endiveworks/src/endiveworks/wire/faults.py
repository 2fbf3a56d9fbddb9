"""Conversion between failures and their Thrift messages."""

from ..errors import Code, Failure
from .gen.ttypes import Fault

_CODES = frozenset(code.value for code in Code)
_NO_RETRY_MS = -1


def to_fault(failure: Failure) -> Fault:
    """Converts a failure to its message."""
    retry_ms = _NO_RETRY_MS if failure.retry_after_s is None else int(failure.retry_after_s * 1000)
    return Fault(
        failure.code.value,
        failure.step,
        failure.peer,
        failure.detail,
        failure.not_run,
        retry_ms,
    )


def from_fault(fault: Fault) -> Failure:
    """Converts a message to a failure; an unknown code becomes INTERNAL."""
    code = Code(fault.code) if fault.code in _CODES else Code.INTERNAL
    retry_s = None if fault.retry_after_ms == _NO_RETRY_MS else fault.retry_after_ms / 1000
    return Failure(code, fault.step, fault.peer, fault.detail, fault.not_run, retry_s)
