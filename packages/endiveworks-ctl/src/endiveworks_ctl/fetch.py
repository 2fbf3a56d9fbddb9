"""Reads from the operators' HTTP addresses of processes, several at once."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import urllib3
from endiveworks.errors import Code, Failure
from endiveworks.members.member import Member
from returns.result import Failure as Failed
from returns.result import Result, Success

_MAX_PARALLEL = 16
_STEP = "endivectl.fetch"

T = TypeVar("T")


def fetch(
    address: str, path: str, timeout_s: float, decode: Callable[[bytes, str], Result[T, Failure]]
) -> Result[T, Failure]:
    """Returns the decoded answer of one process, or UNREACHABLE or UPSTREAM_FAILED."""
    try:
        with urllib3.PoolManager() as http:
            answer = http.request(
                "GET",
                f"http://{address}{path}",
                timeout=timeout_s,
                retries=False,
                redirect=False,
            )
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Failed(Failure(Code.UNREACHABLE, _STEP, address, str(exc)))
    if answer.status != 200:
        detail = f"the answer has status {answer.status}"
        return Failed(Failure(Code.UPSTREAM_FAILED, _STEP, address, detail))
    return decode(answer.data, address)


def fetch_all(
    members: Sequence[Member],
    path: str,
    timeout_s: float,
    decode: Callable[[bytes, str], Result[T, Failure]],
) -> tuple[list[T], list[Failure]]:
    """Returns the answers of all members that gave one, and the failures of the others."""

    def ask(member: Member) -> Result[T, Failure]:
        if not member.admin:
            detail = f"{member.host} names no operators' address"
            return Failed(Failure(Code.UNREACHABLE, _STEP, member.address, detail))
        return fetch(member.admin, path, timeout_s, decode)

    with ThreadPoolExecutor(_MAX_PARALLEL) as pool:
        outcomes = list(pool.map(ask, members))
    answers = [outcome.unwrap() for outcome in outcomes if isinstance(outcome, Success)]
    failures = [outcome.failure() for outcome in outcomes if not isinstance(outcome, Success)]
    return answers, failures
