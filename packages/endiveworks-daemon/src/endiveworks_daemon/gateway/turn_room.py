"""Asks the disks for room for a turn before a replica runs it."""

import asyncio
import random

from endiveworks.errors import Code, Failure
from endiveworks.turns.room import RoomRequest
from returns.result import Result, Success

from .admission import STATUS_UNAVAILABLE
from .context import Context
from .exchange import Exchange, HttpError
from .retries import STATUS_BAD_GATEWAY

# Within this time unresponsive disks are replaced, or the load balancer picks another entry.
DISKS_UNAVAILABLE_RETRY_S = 1.0
OUTPUT_BYTES_PER_TOKEN = 8  # Bytes of output that are expected of a token.
UNKNOWN_OUTPUT_BYTES = 4 * 1024  # Bytes that are expected of a turn that names no tokens.
ROOM_MARGIN_S = 1.0  # Time beyond a turn's deadline for which room is held for it.
RETURN_SPREAD = 0.25  # Share of the time until there is room by which callers return later.

ReservationFuture = asyncio.Future[Result[bool, Failure]]


def room_request(ex: Exchange) -> RoomRequest:
    """Returns what a turn asks of the disks, which is no more than its ledger if it isn't kept."""
    output = ex.request.max_tokens * OUTPUT_BYTES_PER_TOKEN or UNKNOWN_OUTPUT_BYTES
    size = len(ex.body) + output if ex.route.retains_turns else 0
    is_first = not ex.request.previous_turn
    hold_s = max(0.0, ex.remaining_s()) + ROOM_MARGIN_S
    turn, is_tenant = ex.scoped(ex.request.id), bool(ex.request.tenant)
    return RoomRequest(turn, size, ex.sender, is_first, is_tenant, hold_s)


async def hold_room(context: Context, ex: Exchange, room: RoomRequest) -> None:
    """Holds room on the disks for a turn that reserves no tokens, unless they have ample room.

    Raises:
        HttpError: There is no room, or too few disks respond.
    """
    if not ex.route.retains_turns or context.turns.has_ample_room(room.size):
        return
    with ex.waits_for_disks("room"):
        held = await context.turns.hold_room(room, ex.remaining_s())
    if not isinstance(held, Success):
        raise disk_error(ex, held.failure())


def disk_error(ex: Exchange, failure: Failure) -> HttpError:
    """Returns the response to a request for which the disks did not do what it needs."""
    wait_s = DISKS_UNAVAILABLE_RETRY_S
    if failure.code is Code.OVERLOADED and failure.retry_after_s is not None:
        wait_s = round(failure.retry_after_s * (1.0 + RETURN_SPREAD * random.random()), 3)
    status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_UNAVAILABLE
    return HttpError(status, str(failure), wait_s)


def is_refused(reservation_fut: ReservationFuture) -> bool:
    """Returns whether a reservation was refused for want of room on the disks."""
    if not reservation_fut.done() or reservation_fut.cancelled():
        return False
    reserved = reservation_fut.result()
    return not isinstance(reserved, Success) and reserved.failure().code is Code.OVERLOADED
