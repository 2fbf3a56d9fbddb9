"""Waits until every process of the deployment has a version of the configuration in force."""

import time
from concurrent.futures import ThreadPoolExecutor

from endiveworks.members.member import Member
from endiveworks.settings.flags import Values
from endiveworks.telemetry.status import STATUS_PATH, decode_status
from returns.result import Success

from .deployment import find_members
from .fetch import fetch

_PERIOD_S = 0.2
_MAX_PARALLEL = 16
_NO_LIST = "the list of processes could not be read"


def wait_for(values: Values, version: int, wait_s: float) -> tuple[str, ...]:
    """Waits until no process is behind a version, for a time in seconds at most.

    Returns:
        The hosts that are still behind or did not answer, by name.
    """
    deadline = time.monotonic() + wait_s
    while True:
        behind = _behind(values, version)
        if not behind or time.monotonic() > deadline:
            return behind
        time.sleep(_PERIOD_S)


def _behind(values: Values, version: int) -> tuple[str, ...]:
    found = find_members(values)
    if not isinstance(found, Success):
        return (_NO_LIST,)
    members = found.unwrap()

    def is_behind(member: Member) -> bool:
        answer = fetch(member.admin, STATUS_PATH, values.number("timeout_s"), decode_status)
        return answer.map(lambda row: row["config_version"] < version).value_or(True)

    with ThreadPoolExecutor(_MAX_PARALLEL) as pool:
        found_behind = list(pool.map(is_behind, members))
    pairs = zip(members, found_behind, strict=True)
    return tuple(sorted(member.host for member, late in pairs if late))
