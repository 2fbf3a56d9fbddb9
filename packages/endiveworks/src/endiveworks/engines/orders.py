"""Client that sends orders to an engine and reads what the engine has loaded."""

import http.client
import time
from collections.abc import Callable
from typing import NamedTuple, TypedDict
from urllib.parse import urlsplit

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from ..orders.state import EngineState, Order

_TIMEOUT_S = 2.0
_READ_STEP = "engines.read_orders"
_SEND_STEP = "engines.send_order"
_RETRY_LATER_STATUSES = (429, 503)
_STALE_FENCING_STATUS = 409


class _EngineStateBody(TypedDict):
    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    loading: str
    fencing: int


class EngineOrders(NamedTuple):
    """Functions that read and change what an engine has loaded.

    Attributes:
        read: Reads the state that the engine reports.
        send: Sends an order with its fencing number, unless the authority to send it has expired;
            the last argument is the monotonic time of expiry, in seconds. OVERLOADED means that
            the engine or the weight store requests a later retry, STALE_EPOCH that the engine has
            seen a higher fencing number, and TIMEOUT that the outcome is unknown. With not_run
            set, nothing was sent.
    """

    read: Callable[[], Result[EngineState, Failure]]
    send: Callable[[Order, int, float], Result[None, Failure]]


def engine_orders(base_url: str, clock: Callable[[], float] = time.monotonic) -> EngineOrders:
    """Returns functions that read the state of the engine at a URL and send it orders."""
    pool = urllib3.PoolManager(num_pools=1, maxsize=1)

    def read() -> Result[EngineState, Failure]:
        try:
            response = pool.request(
                "GET", f"{base_url}/orders", retries=False, redirect=False, timeout=_TIMEOUT_S
            )
            if response.status != 200:
                detail = f"the engine returned status {response.status}"
                return Err(Failure(Code.UPSTREAM_FAILED, _READ_STEP, base_url, detail))
            return Success(EngineState(**msgspec.json.decode(response.data, type=_EngineStateBody)))
        except urllib3.exceptions.HTTPError as exc:
            return Err(Failure(Code.UNREACHABLE, _READ_STEP, base_url, str(exc)))
        except DECODE_ERRORS as exc:
            return Err(Failure(Code.UPSTREAM_FAILED, _READ_STEP, base_url, str(exc)))

    def send(order: Order, fencing: int, until_s: float) -> Result[None, Failure]:
        body = msgspec.json.encode({**order._asdict(), "fencing": fencing})
        conn = http.client.HTTPConnection(urlsplit(base_url).netloc, timeout=_TIMEOUT_S)
        try:
            conn.connect()
        except OSError as exc:
            return Err(Failure(Code.UNREACHABLE, _SEND_STEP, base_url, str(exc), not_run=True))
        try:
            # Checked right before the send, because this process may have been paused.
            if clock() >= until_s:
                detail = "the authority to send orders has expired"
                return Err(Failure(Code.TIMEOUT, _SEND_STEP, base_url, detail, not_run=True))
            conn.request("POST", "/orders", body, {"Content-Type": "application/json"})
            response = conn.getresponse()
            response.read()
            return _to_result(base_url, response.status)
        except (OSError, http.client.HTTPException) as exc:
            detail = f"the response was lost: {type(exc).__name__}"
            return Err(Failure(Code.TIMEOUT, _SEND_STEP, base_url, detail))
        finally:
            conn.close()

    return EngineOrders(read, send)


def _to_result(base_url: str, status: int) -> Result[None, Failure]:
    if status in (200, 202):
        return Success(None)
    detail = f"the engine returned status {status}"
    code = Code.UPSTREAM_FAILED
    if status in _RETRY_LATER_STATUSES:
        code = Code.OVERLOADED
    elif status == _STALE_FENCING_STATUS:
        code = Code.STALE_EPOCH
    return Err(Failure(code, _SEND_STEP, base_url, detail))
