"""The platform's list of live and leaving hosts; it is updated with a delay."""

from typing import NamedTuple

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure

LIVE, LEAVING = "live", "leaving"


class ListedHost(NamedTuple):
    """A host in the platform's list; state is "live" or "leaving"."""

    host: str
    state: str


def read_host_list(address: str, timeout_s: float) -> Result[tuple[ListedHost, ...], Failure]:
    """Reads the list at "http://ip:port/hosts", a JSON array of objects with host and state.

    Args:
        address: "ip:port" of the platform's service.
        timeout_s: Deadline in seconds.
    """
    step = "platform.host_list"
    try:
        resp = urllib3.request(
            "GET", f"http://{address}/hosts", timeout=timeout_s, retries=False, redirect=False
        )
        if resp.status != 200:
            return Err(Failure(Code.UPSTREAM_FAILED, step, address, f"HTTP {resp.status}"))
        rows = msgspec.json.decode(resp.data, type=list[dict[str, str]])
        return Success(tuple(ListedHost(row["host"], row["state"]) for row in rows))
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(Failure(Code.UNREACHABLE, step, address, f"{type(exc).__name__}: {exc}"))
    except DECODE_ERRORS as exc:
        return Err(Failure(Code.CORRUPT, step, address, f"{type(exc).__name__}: {exc}"))
