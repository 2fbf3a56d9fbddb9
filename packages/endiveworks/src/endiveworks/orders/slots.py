"""Slots in the key-value service that bound how many engines reload and load at once.

A slot is a key attached to its holder's lease, so that a holder that dies gives it back.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from returns.result import Result

from ..errors import Failure
from ..kvservice.kv import Entry, Kv, Swap

SLOTS_PREFIX = "/endiveworks/reloads/"


class Holder(NamedTuple):
    """The process that holds a slot."""

    host: str
    incarnation: int


class Slot(NamedTuple):
    """A slot that is taken."""

    key: str
    holder: Holder
    mod_revision: int


class Limits(NamedTuple):
    """How many slots there are.

    Attributes:
        service: Service whose replicas reload.
        reloads: Replicas of the service that may reload at once.
        loads: Loads that the weight store bears at once, of all services together.
    """

    service: str
    reloads: int
    loads: int


class SlotView(NamedTuple):
    """The slots as one process sees them.

    Attributes:
        reload: Key of the reload slot that it holds; empty for none.
        load: Key of the load slot that it holds; empty for none.
        ahead: Hosts that took a reload slot of its service before it did.
        free_reload: Key of a reload slot that is free; empty for none.
        free_load: Key of a load slot that is free; empty for none.
    """

    reload: str
    load: str
    ahead: frozenset[str]
    free_reload: str
    free_load: str


def read_slots(kv: Kv) -> Result[tuple[Slot, ...], Failure]:
    """Returns the slots that are taken; values that can't be read count as another's."""
    return kv.read_prefix(SLOTS_PREFIX).map(
        lambda snapshot: tuple(_slot(entry) for entry in snapshot.entries)
    )


def view_of(slots: Iterable[Slot], limits: Limits, me: Holder) -> SlotView:
    """Returns the slots as one process sees them."""
    taken = {slot.key: slot for slot in slots}
    reloads = [f"{SLOTS_PREFIX}service/{limits.service}/{at:04}" for at in range(limits.reloads)]
    loads = [f"{SLOTS_PREFIX}store/{at:04}" for at in range(limits.loads)]
    prefix = f"{SLOTS_PREFIX}service/{limits.service}/"
    of_service = [slot for slot in taken.values() if slot.key.startswith(prefix)]
    own = next((slot for slot in of_service if slot.holder == me), None)
    of_store = (key for key in taken if key.startswith(f"{SLOTS_PREFIX}store/"))
    ahead = (
        slot.holder.host
        for slot in of_service
        if slot.holder != me and (own is None or slot.mod_revision < own.mod_revision)
    )
    return SlotView(
        reload=own.key if own is not None else "",
        load=next((key for key in of_store if taken[key].holder == me), ""),
        ahead=frozenset(ahead),
        free_reload=next((key for key in reloads if key not in taken), ""),
        free_load=next((key for key in loads if key not in taken), ""),
    )


def take_slot(kv: Kv, key: str, me: Holder, lease: int) -> Result[bool, Failure]:
    """Takes a slot; returns whether it was free. A lost answer is settled by reading the slots."""
    swap = Swap(key, msgspec.json.encode(me), 0, lease)
    return kv.swap(swap).map(lambda swapped: swapped.done)


def free_slots(kv: Kv, slots: Iterable[Slot], me: Holder) -> None:
    """Gives back every slot of a process; one whose answer is lost is tried again or lapses."""
    for slot in slots:
        if slot.holder == me:
            kv.swap(Swap(slot.key, None, slot.mod_revision))


def _slot(entry: Entry) -> Slot:
    try:
        holder = msgspec.json.decode(entry.value, type=Holder)
    except msgspec.DecodeError:
        holder = Holder("", 0)
    return Slot(entry.key, holder, entry.mod_revision)
