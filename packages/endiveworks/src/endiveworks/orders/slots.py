"""Slots in the key-value service that limit concurrent reloads and loads of engines.

A slot is a key attached to its holder's lease, so it is released when the holder dies.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from returns.result import Result

from ..decoding import DECODE_ERRORS
from ..errors import Failure
from ..kvservice.kv import KeyValue, Kv, Swap

SLOTS_PREFIX = "/endiveworks/reloads/"


class Holder(NamedTuple):
    """The process that holds a slot."""

    host: str
    incarnation: int


class Slot(NamedTuple):
    """A held slot."""

    key: str
    holder: Holder
    mod_revision: int


class SlotLimits(NamedTuple):
    """Numbers of slots.

    Attributes:
        service: Service whose replicas reload.
        reloads: Maximum number of replicas of the service that reload at once.
        loads: Maximum number of concurrent loads from the weight store, over all services.
    """

    service: str
    reloads: int
    loads: int


class SlotStatus(NamedTuple):
    """The slots from the viewpoint of one process.

    Attributes:
        reload: Key of the reload slot that it holds; empty for none.
        load: Key of the load slot that it holds; empty for none.
        ahead: Hosts that acquired a reload slot of its service before it did.
        free_reload: Key of a free reload slot; empty for none.
        free_load: Key of a free load slot; empty for none.
    """

    reload: str
    load: str
    ahead: frozenset[str]
    free_reload: str
    free_load: str


def read_slots(kv: Kv) -> Result[tuple[Slot, ...], Failure]:
    """Returns the held slots; one whose value can't be decoded counts as another process's."""
    return kv.read_prefix(SLOTS_PREFIX).map(
        lambda snapshot: tuple(_decode_slot(entry) for entry in snapshot.entries)
    )


def slot_status(slots: Iterable[Slot], limits: SlotLimits, me: Holder) -> SlotStatus:
    """Returns the slots from the viewpoint of one process."""
    held = {slot.key: slot for slot in slots}
    reloads = [
        f"{SLOTS_PREFIX}service/{limits.service}/{index:04}" for index in range(limits.reloads)
    ]
    loads = [f"{SLOTS_PREFIX}store/{index:04}" for index in range(limits.loads)]
    prefix = f"{SLOTS_PREFIX}service/{limits.service}/"
    service_slots = [slot for slot in held.values() if slot.key.startswith(prefix)]
    own = next((slot for slot in service_slots if slot.holder == me), None)
    store_keys = (key for key in held if key.startswith(f"{SLOTS_PREFIX}store/"))
    ahead = (
        slot.holder.host
        for slot in service_slots
        if slot.holder != me and (own is None or slot.mod_revision < own.mod_revision)
    )
    return SlotStatus(
        reload=own.key if own is not None else "",
        load=next((key for key in store_keys if held[key].holder == me), ""),
        ahead=frozenset(ahead),
        free_reload=next((key for key in reloads if key not in held), ""),
        free_load=next((key for key in loads if key not in held), ""),
    )


def acquire_slot(kv: Kv, key: str, me: Holder, lease: int) -> Result[bool, Failure]:
    """Acquires a slot; returns whether it was free.

    If the response is lost, the next read of the slots shows the outcome.
    """
    swap = Swap(key, msgspec.json.encode(me), 0, lease)
    return kv.swap(swap).map(lambda swapped: swapped.done)


def release_slots(kv: Kv, slots: Iterable[Slot], me: Holder) -> None:
    """Releases every slot of a process; a failed release is retried, or the lease expires."""
    for slot in slots:
        if slot.holder == me:
            kv.swap(Swap(slot.key, None, slot.mod_revision))


def _decode_slot(entry: KeyValue) -> Slot:
    try:
        holder = msgspec.json.decode(entry.value, type=Holder)
    except DECODE_ERRORS:
        holder = Holder("", 0)
    return Slot(entry.key, holder, entry.mod_revision)
