"""Refusal of requests, before a replica is chosen for them."""

import random

from endiveworks.gateway.request_queue import retry_after_s

from .context import Context
from .exchange import Exchange, HttpError
from .refusals import RefusedError

STATUS_UNAVAILABLE = 503
# Lower bound of the expected wait from which Retry-After is computed for a request that no replica
# ran; used alone if no wait can be predicted.
MIN_EXPECTED_WAIT_S = 0.2


def refuse_on_arrival(context: Context, ex: Exchange) -> None:
    """Refuses a request that can't be served before anything else is done for it.

    Raises:
        HttpError: The request can't be served in time.
    """
    gate = context.fleet.rooms.gate_of(ex.service)
    if gate is None or ex.request.resume_after is not None:
        return
    try:
        gate.refuse_on_arrival(ex.service, ex.request, ex.queued_request())
    except RefusedError as refused:
        raise refusal_error(refused) from refused


def refusal_error(refused: RefusedError) -> HttpError:
    """Returns the response to a request that no replica takes in time."""
    wait_s = refused.retry_after_s
    if wait_s is None:
        wait_s = retry_after_s(max(refused.wait_s, MIN_EXPECTED_WAIT_S), random.random())
    return HttpError(STATUS_UNAVAILABLE, refused.reason, wait_s)
