"""Copies the records that this host's disk is missing from the members of a view."""

import asyncio
import time
from collections.abc import Mapping

from endiveworks.errors import Failure
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.view import Disk, View, is_recovery_quorum
from returns.result import Result, Success

from ..rpc import RpcClient
from .disk_store import DiskStore

LIST_TIMEOUT_S = 1.5  # Ten times the transfer time of a list of turns between regions.
READ_TIMEOUT_S = 1.5  # Several times the transfer time of one page between regions.
BATCH_TURNS = 64  # Turns requested per call; the reply may contain fewer.
# Calls for the same turns; if all fail, the lists that were read are given up.
MAX_READ_ATTEMPTS = 4


async def catch_up(disk_store: DiskStore, view: View, region: str) -> bool:
    """Copies every committed record of a view to this host's disk; returns whether that succeeded.

    Each turn is read once, from members in the same region first. Records read before a failure
    are kept.

    Args:
        disk_store: The store on this host's disk.
        view: A view that this disk joins as a member.
        region: Region of this host.
    """
    started_s = time.monotonic()
    members = sorted(view.members, key=lambda disk: disk.region != region)
    own = [disk for disk in members if disk.folder == disk_store.folder]
    others = [disk for disk in members if disk.folder != disk_store.folder]
    clients = {disk.folder: RpcClient(disk.address) for disk in others}
    try:
        replies = await _list_until_quorum(clients, others, view, {disk.folder for disk in own})
        if not is_recovery_quorum(view, {*replies, *(disk.folder for disk in own)}):
            absent = [disk.host for disk in others if disk.folder not in replies]
            logs.logger("turns").warning("catch_up_waits", epoch=view.epoch, copies=absent)
            return False
        _log_start(disk_store, view, replies)
        for held in replies.values():
            await disk_store.persist(held.ledgers)
        for disk in others:
            if disk.folder not in replies:
                continue
            turns = replies[disk.folder].turns
            if not await _read_turns(disk_store, clients[disk.folder], turns):
                return False
    finally:
        for client in clients.values():
            client.close()
    logs.logger("turns").info(
        "disk_synced",
        epoch=view.epoch,
        amount=len(disk_store.state),
        took_ms=round((time.monotonic() - started_s) * 1000),
    )
    return True


def _log_start(disk_store: DiskStore, view: View, replies: Mapping[str, messages.Held]) -> None:
    listed = {turn_id for held in replies.values() for turn_id in held.turns}
    logs.logger("turns").info(
        "catch_up_started",
        epoch=view.epoch,
        copies=[disk.host for disk in view.members if disk.folder in replies],
        amount=len(listed - disk_store.state.turns.keys()),
    )


async def _list_until_quorum(
    clients: dict[str, RpcClient], others: list[Disk], view: View, own: set[str]
) -> dict[str, messages.Held]:
    """Returns what each member holds, by folder; stops once a recovery quorum has replied."""
    replies: dict[str, messages.Held] = {}
    pending = {
        asyncio.create_task(_list_held(clients[disk.folder], disk, view)): disk for disk in others
    }
    while pending and not is_recovery_quorum(view, {*replies, *own}):
        done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            disk = pending.pop(task)
            held = task.result()
            if held is not None:
                replies[disk.folder] = held
    for task in pending:
        task.cancel()
    return replies


async def _list_held(client: RpcClient, disk: Disk, view: View) -> messages.Held | None:
    reply = await client.call(
        messages.LIST_HELD, messages.ListHeld(view), messages.Held, LIST_TIMEOUT_S
    )
    if not isinstance(reply, Success):
        _log_failure(reply)
        return None
    return reply.unwrap() if reply.unwrap().folder == disk.folder else None


async def _read_turns(disk_store: DiskStore, client: RpcClient, turns: list[str]) -> bool:
    """Reads the turns missing here, in order; returns whether all were read."""
    missing = [turn_id for turn_id in turns if turn_id not in disk_store.state.turns]
    failures = 0
    while missing:
        batch = missing[:BATCH_TURNS]
        reply = await client.call(
            messages.READ_TURNS, messages.ReadTurns(batch), messages.TurnsRead, READ_TIMEOUT_S
        )
        if not isinstance(reply, Success):
            _log_failure(reply)
            failures += 1
            if failures == MAX_READ_ATTEMPTS:
                return False
            continue
        failures = 0
        page = reply.unwrap().records
        if not disk_store.fits(sum(map(len, page))):
            logs.logger("turns").error("catch_up_no_room", amount=len(missing))
            return False
        await disk_store.persist(page)
        remaining = [turn_id for turn_id in missing if turn_id not in disk_store.state.turns]
        if len(remaining) == len(missing):
            # These turns have expired at the member since it listed them.
            remaining = missing[len(batch) :]
        missing = remaining
    return True


def _log_failure(reply: "Result[object, Failure]") -> None:
    logs.logger("turns").warning("catch_up_failed", detail=str(reply.failure()))
