"""Serves requests whose response is read completely before it is sent to the caller.

If the process has no memory for the whole response, the rest is passed on as the caller reads it.
"""

from endiveworks.gateway.messages import Headers
from endiveworks.gateway.routes import RouteType

from .callers import Responder
from .context import Context
from .exchange import Exchange
from .held_memory import Item
from .retries import (
    FIRST_SERVER_ERROR,
    Response,
    handle_lost_response,
    may_try_elsewhere,
    record_loss,
    record_outcome,
    send_with_retries,
)
from .upstreams import MAX_RESPONSE_BYTES, ResponseError

_OK = range(200, 300)


async def serve_buffered(context: Context, ex: Exchange, responder: Responder) -> int:
    """Sends a replica's complete response to the caller and returns its status.

    Raises:
        HttpError: No replica gave a complete response.
        ResponseError: The response ended too early, after a part of it had been passed on.
    """
    while True:
        response = await send_with_retries(context, ex, ex.body)
        status = response.head.status
        will_retry = status >= FIRST_SERVER_ERROR and may_try_elsewhere(context, ex)
        body = await read_body(context, ex, response, None if will_retry else responder)
        if body is None and responder.started:
            return status
        if body is None:
            continue
        context.quarantine.record_response(ex)
        if will_retry:
            ex.excluded.add(response.replica)
            continue
        await responder.respond(status, response.head.headers, body)
        return status


async def read_body(
    context: Context, ex: Exchange, response: Response, responder: Responder | None
) -> bytes | bytearray | None:
    """Returns the body of a response; None when another replica should be tried.

    None is also returned if there was no memory for the whole body and it has been passed on, so
    that the responder has started.

    Args:
        context: The components that serve requests.
        ex: The request.
        response: The response, whose head has been read.
        responder: Holds the body for the caller; None if the body is to be dropped.

    Raises:
        HttpError: The response is incomplete, and the request may not be sent again.
        ResponseError: It is incomplete, and a part of it has been passed on.
    """
    complete = False
    body = bytearray()
    try:
        if response.head.status in _OK and not response.head.signed:
            raise ResponseError("a successful response lacks the replica's signature")
        if responder is None:
            complete = await response.conn.discard_body()
        else:
            if not await _hold(response, responder, body):
                await _pass_on(response, responder, body)
            complete = True
        if ex.route.type is not RouteType.STREAMING:
            response.in_flight_request.record_response()
        record_outcome(context, ex, response)
    except (OSError, ResponseError) as exc:
        if responder is not None and responder.started:
            record_loss(context, ex, response.replica, exc)
            raise ResponseError(str(exc)) from exc
        if responder is not None:
            responder.account.set(Item.RESPONSE, 0)
        handle_lost_response(context, ex, response.replica, exc)
        return None
    finally:
        response.close(complete)
    if responder is None or not responder.started:
        return body
    context.quarantine.record_response(ex)
    return None


async def _hold(response: Response, responder: Responder, body: bytearray) -> bool:
    """Reads the body; returns False as soon as there is no memory for more of it."""
    while (chunk := await response.conn.read_data()) is not None:
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ResponseError("the response body is too long")
        if not responder.account.claim_response(len(chunk)):
            return False
    return True


async def _pass_on(response: Response, responder: Responder, body: bytearray) -> None:
    """Sends what has been read of the response, and the rest as the caller reads it."""
    headers = without_content_length(response.head.headers)
    if response.head.length is not None:
        headers.append((b"content-length", str(response.head.length).encode()))
    size = len(body)
    await responder.start(response.head.status, headers)
    await responder.send(body)
    body.clear()
    responder.account.set(Item.RESPONSE, 0)
    while (chunk := await response.conn.read_data()) is not None:
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ResponseError("the response body is too long")
        await responder.send(chunk)
    await responder.end()


def without_content_length(headers: Headers) -> Headers:
    """Returns the headers without Content-Length, for a body that is sent in chunks."""
    return [(k, v) for k, v in headers if k.lower() != b"content-length"]
