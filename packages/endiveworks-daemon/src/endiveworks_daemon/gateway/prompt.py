"""Builds the prompt of a turn from the turns that it continues."""

import random

from endiveworks.errors import Code
from endiveworks.gateway.memory_budget import Claim
from endiveworks.gateway.request_queue import retry_after_s
from returns.result import Success

from .admission import STATUS_UNAVAILABLE
from .callers import Responder
from .context import Context
from .exchange import Exchange, HttpError
from .held_memory import Item
from .turn_room import DISKS_UNAVAILABLE_RETRY_S

STATUS_TURN_NOT_FOUND = 404


async def build_prompt(context: Context, ex: Exchange, responder: Responder) -> bytes:
    """Returns the body for the replica: the preceding turns in order, then the new input."""
    if not ex.route.retains_turns or not ex.request.previous_turn:
        return ex.body
    account, claimed = responder.account, 0

    def claim(size: int) -> bool:
        nonlocal claimed
        # For the turns, and for the prompt that is joined from them.
        if not account.claim(Item.RESPONSE, 2 * size, Claim.BEHIND):
            return False
        claimed += size
        return True

    name = ex.scoped(ex.request.previous_turn)
    with ex.waits_for_disks("history"):
        read = await context.turns.read_chain(name, ex.remaining_s(), claim)
    if not isinstance(read, Success):
        if read.failure().code is Code.OVERLOADED:
            raise _no_memory(responder, len(ex.body))
        raise HttpError(STATUS_UNAVAILABLE, str(read.failure()), DISKS_UNAVAILABLE_RETRY_S)
    chain = read.unwrap()
    if chain is None:
        raise HttpError(STATUS_TURN_NOT_FOUND, "the previous turn does not exist")
    size = sum(len(turn.prompt) + len(turn.output) for turn in chain) + len(ex.body)
    if not account.claim(Item.RESPONSE, max(0, size - claimed), Claim.BEHIND):
        raise _no_memory(responder, size)
    parts = [part for turn in chain for part in (turn.prompt, turn.output)]
    body = b"".join([*parts, ex.body])
    del read, chain, parts
    account.release(Item.RESPONSE, claimed)
    return body


def _no_memory(responder: Responder, size: int) -> HttpError:
    """Returns the refusal of a request for which this process has too little memory."""
    wait_s = retry_after_s(responder.account.retry_wait_s(size), random.random())
    return HttpError(STATUS_UNAVAILABLE, "too little memory is free", wait_s)
