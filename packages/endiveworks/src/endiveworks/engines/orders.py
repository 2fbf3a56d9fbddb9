"""Orders to an engine and its own list of what it has loaded."""

import http.client
import time
from collections.abc import Callable
from typing import NamedTuple, TypedDict
from urllib.parse import urlsplit

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..orders.state import EngineState, Order

_TIMEOUT_S = 2.0
_READ_STEP = "engines.read_orders"
_SEND_STEP = "engines.send_order"
_TRY_LATER = (429, 503)
_OLD_NUMBER = 409


class _Listed(TypedDict):
    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    loading: str
    fencing: int


class EngineOrders(NamedTuple):
    """Access to what an engine has loaded.

    Attributes:
        read: Reads the engine's own list.
        send: Sends an order with its fencing number unless a monotonic time in seconds has
            passed. OVERLOADED means that the engine or the weight store asks to try later,
            STALE_EPOCH that it has seen a higher number, and TIMEOUT that the outcome is unknown.
            With not_run set nothing was sent.
    """

    read: Callable[[], Result[EngineState, Failure]]
    send: Callable[[Order, int, float], Result[None, Failure]]


def engine_orders(base_url: str, clock: Callable[[], float] = time.monotonic) -> EngineOrders:
    """Returns access to the orders of the engine at a URL."""
    pool = urllib3.PoolManager(num_pools=1, maxsize=1)

    def read() -> Result[EngineState, Failure]:
        try:
            response = pool.request(
                "GET", f"{base_url}/orders", retries=False, redirect=False, timeout=_TIMEOUT_S
            )
            if response.status != 200:
                detail = f"the engine answered {response.status}"
                return Err(Failure(Code.UPSTREAM_FAILED, _READ_STEP, base_url, detail))
            return Success(EngineState(**msgspec.json.decode(response.data, type=_Listed)))
        except urllib3.exceptions.HTTPError as exc:
            return Err(Failure(Code.UNREACHABLE, _READ_STEP, base_url, str(exc)))
        except msgspec.MsgspecError as exc:
            return Err(Failure(Code.UPSTREAM_FAILED, _READ_STEP, base_url, str(exc)))

    def send(order: Order, fencing: int, until_s: float) -> Result[None, Failure]:
        body = msgspec.json.encode({**order._asdict(), "fencing": fencing})
        conn = http.client.HTTPConnection(urlsplit(base_url).netloc, timeout=_TIMEOUT_S)
        try:
            conn.connect()
        except OSError as exc:
            return Err(Failure(Code.UNREACHABLE, _SEND_STEP, base_url, str(exc), not_run=True))
        try:
            # The last check before the bytes go out: this process may have been paused.
            if clock() >= until_s:
                detail = "the proof of being in charge is over"
                return Err(Failure(Code.TIMEOUT, _SEND_STEP, base_url, detail, not_run=True))
            conn.request("POST", "/orders", body, {"Content-Type": "application/json"})
            response = conn.getresponse()
            response.read()
            return _judge(base_url, response.status)
        except (OSError, http.client.HTTPException) as exc:
            detail = f"the answer was lost: {type(exc).__name__}"
            return Err(Failure(Code.TIMEOUT, _SEND_STEP, base_url, detail))
        finally:
            conn.close()

    return EngineOrders(read, send)


def _judge(base_url: str, status: int) -> Result[None, Failure]:
    if status in (200, 202):
        return Success(None)
    detail = f"the engine answered {status}"
    code = Code.UPSTREAM_FAILED
    if status in _TRY_LATER:
        code = Code.OVERLOADED
    elif status == _OLD_NUMBER:
        code = Code.STALE_EPOCH
    return Err(Failure(code, _SEND_STEP, base_url, detail))
