"""Reads what this host's disk lacks from the members of a view."""

import asyncio

from endiveworks.errors import Failure
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.view import Disk, View, is_cover
from returns.result import Result, Success

from ..rpc import RpcClient
from .host import DiskHost

LIST_TIMEOUT_S = 1.5  # Ten times the transfer of a list of turns between regions.
READ_TIMEOUT_S = 1.5  # Several times the transfer of one page between regions.
BATCH = 64  # Turns asked for at once; the answer may hold fewer.


async def catch_up(host: DiskHost, view: View, region: str) -> bool:
    """Makes this host hold everything that counts under a view; returns whether it does.

    Each turn is read once, from a near member first; what was read stays when this fails.

    Args:
        host: The disk of this host.
        view: A view in which this disk takes a member's place.
        region: Region of this host.
    """
    members = sorted(view.members, key=lambda disk: disk.region != region)
    own = [disk for disk in members if disk.folder == host.folder]
    others = [disk for disk in members if disk.folder != host.folder]
    clients = {disk.folder: RpcClient(disk.address) for disk in others}
    try:
        answered = await _list_enough(clients, others, view, {disk.folder for disk in own})
        if not is_cover(view, {*answered, *(disk.folder for disk in own)}):
            missing = [disk.host for disk in others if disk.folder not in answered]
            logs.logger("turns").warning("catch_up_waits", epoch=view.epoch, copies=missing)
            return False
        for found in answered.values():
            await host.keep(found.ledgers)
        for folder, found in answered.items():
            if not await _read(host, clients[folder], found.turns):
                return False
    finally:
        for client in clients.values():
            client.close()
    logs.logger("turns").info("disk_synced", epoch=view.epoch, amount=len(host.state))
    return True


async def _list_enough(
    clients: dict[str, RpcClient], others: list[Disk], view: View, own: set[str]
) -> dict[str, messages.Held]:
    """Returns what members hold by folder, as soon as enough have answered."""
    answered: dict[str, messages.Held] = {}
    asked = {asyncio.create_task(_list(clients[disk.folder], disk, view)): disk for disk in others}
    while asked and not is_cover(view, {*answered, *own}):
        done, _ = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            disk = asked.pop(task)
            found = task.result()
            if found is not None:
                answered[disk.folder] = found
    for task in asked:
        task.cancel()
    return answered


async def _list(client: RpcClient, disk: Disk, view: View) -> messages.Held | None:
    reply = await client.call(
        messages.LIST_HELD, messages.ListHeld(view), messages.Held, LIST_TIMEOUT_S
    )
    if not isinstance(reply, Success):
        _log(reply)
        return None
    return reply.unwrap() if reply.unwrap().folder == disk.folder else None


async def _read(host: DiskHost, client: RpcClient, turns: list[str]) -> bool:
    """Reads the turns that are not held yet, in order; returns whether all have come."""
    wanted = [name for name in turns if name not in host.state.turns]
    while wanted:
        batch = wanted[:BATCH]
        reply = await client.call(
            messages.READ_TURNS, messages.ReadTurns(batch), messages.TurnsRead, READ_TIMEOUT_S
        )
        if not isinstance(reply, Success):
            _log(reply)
            return False
        await host.keep(reply.unwrap().records)
        left = [name for name in wanted if name not in host.state.turns]
        if len(left) == len(wanted):
            # The member has let these go since it listed them.
            left = wanted[len(batch) :]
        wanted = left
    return True


def _log(reply: "Result[object, Failure]") -> None:
    logs.logger("turns").warning("catch_up_failed", detail=str(reply.failure()))
