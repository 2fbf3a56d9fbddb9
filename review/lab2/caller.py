"""Stand-in for clients."""

import asyncio
import secrets
import time
from collections.abc import Mapping

from . import http

HOSTNAME = "ficu95.example"


def new_id() -> str:
    """Returns a new id, as clients give to each attempt."""
    return secrets.token_hex(8)


async def ask(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> http.Message:
    """Sends one request on a new connection and returns the answer; status 0 for none."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(encode(method, target, headers, body))
            return await http.read_response(reader)
    except (OSError, TimeoutError) as exc:
        return http.NOTHING._replace(error=type(exc).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


async def ask_kept(
    address: str,
    first: tuple[str, str, Mapping[str, str], bytes],
    second: tuple[str, str, Mapping[str, str], bytes],
    timeout_s: float = 6.0,
) -> tuple[http.Message, http.Message]:
    """Sends two requests on one connection, the second after the answer to the first.

    Args:
        address: Where to connect to.
        first: Method, target, headers and body of the first request.
        second: The same of the second one.
        timeout_s: Time to wait for the answer to the second one.
    """
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    answers = [http.NOTHING, http.NOTHING]
    try:
        for at, request in enumerate((first, second)):
            async with asyncio.timeout(timeout_s):
                writer.write(encode(*request))
                answers[at] = await http.read_response(reader)
    except (OSError, TimeoutError) as exc:
        answers[1] = http.NOTHING._replace(error=type(exc).__name__)
    finally:
        writer.transport.abort()
    return answers[0], answers[1]


def encode(method: str, target: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Returns an encoded request."""
    pairs = [("Host", HOSTNAME), *headers.items()]
    if body or method == "POST":
        pairs.append(("Content-Length", str(len(body))))
    return http.head(f"{method} {target} HTTP/1.1", pairs) + body


def turn_headers(
    request: str,
    program: str,
    previous: str,
    budget: int,
    usage: str,
    deadline_ms: int = 4000,
) -> dict[str, str]:
    """Returns the headers of a turn of a program."""
    headers = {
        "Request-Id": request,
        "Program-Id": program,
        "Session-Id": program,
        "Program-Deadline-Ms": "60000",
        "Token-Budget": str(budget),
        "Token-Usage": usage,
        "Deadline-Ms": str(deadline_ms),
    }
    return headers | ({"Previous-Turn": previous} if previous else {})


def data_of(body: bytes) -> list[str]:
    """Returns the data of the events of a stream."""
    blocks = body.decode("latin-1").split("\n\n")
    return [block.partition("data: ")[2] for block in blocks if "data: " in block]


async def until(condition, timeout_s: float, pause_s: float = 0.1) -> bool:
    """Waits until a coroutine function returns true; returns whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(pause_s)
    return False
