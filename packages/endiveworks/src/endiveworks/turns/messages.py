"""Messages between the hosts that serve callers and the hosts that store turns."""

from typing import NamedTuple

from .ledger import Spending
from .records import Turn
from .room import RoomRequest
from .view import View

# Bytes of turns in one message, beyond which it holds only one more. A page takes a sixth of a
# second on the link between regions.
PAGE_BYTES = 256 * 1024

STORE = "turns.store"
FETCH = "turns.fetch"
LIST_HELD = "turns.list_held"
READ_TURNS = "turns.read_turns"
PING = "turns.ping"


class Store(NamedTuple):
    """Request to sync records to disk.

    Attributes:
        epoch: Epoch of the view that the sender uses.
        records: Encoded records.
        program: Program whose ledger the reply is to contain; empty for none.
        room: Room that must be there for the records to be stored; None for none.
    """

    epoch: int
    records: list[bytes]
    program: str = ""
    room: RoomRequest | None = None


class Stored(NamedTuple):
    """Reply to Store, sent once all records are synced.

    Attributes:
        folder: Id of the replying disk's data folder; a lost disk returns with a new id.
        newer_view: A view newer than the sender's if the request was refused because of it; else
            None.
        spending: The program's spending, as stored on this disk.
        refused_s: Time after which there may be room, if nothing was stored for want of it; 0 if
            the records were stored.
        used_share: Share of the disk's room that is taken.
    """

    folder: str
    newer_view: View | None
    spending: list[Spending]
    refused_s: float = 0.0
    used_share: float = 0.0


class Fetch(NamedTuple):
    """Request for a turn and its ancestors, except those that the reader has cached.

    Without a turn, the retention of the turns in known starts again.

    Attributes:
        epoch: Epoch of the view that the sender uses.
        turn: Id of the turn; empty for none.
        known: Ids of the turns that the reader has cached.
        max_bytes: Bytes of turns that the reader has memory for.
    """

    epoch: int
    turn: str
    known: list[str]
    max_bytes: int = PAGE_BYTES


class Fetched(NamedTuple):
    """Reply to Fetch. See Stored for the other fields.

    Attributes:
        chain: The newest part of the chain, newest turn first. Empty if the turn isn't held, or if
            the reader has too little memory for it.
        chain_bytes: Bytes of the chain on this disk, as far as it holds it without a gap.
    """

    folder: str
    newer_view: View | None
    chain: list[Turn]
    chain_bytes: int = 0


class ListHeld(NamedTuple):
    """Request for the ids and ledgers that a member stores.

    Attributes:
        view: The view in which the reader joins. The member adopts it and from then on refuses
            writers with an older one.
    """

    view: View


class Held(NamedTuple):
    """Reply to ListHeld.

    Attributes:
        folder: Id of the replying disk's data folder.
        turns: Ids of all turns.
        ledgers: Encoded reservations and settlements of all programs.
    """

    folder: str
    turns: list[str]
    ledgers: list[bytes]


class ReadTurns(NamedTuple):
    """Request for turns by id."""

    turns: list[str]


class TurnsRead(NamedTuple):
    """Reply to ReadTurns: as many encoded turns as fit, in the requested order."""

    folder: str
    records: list[bytes]


class Ping(NamedTuple):
    """Liveness check of a host."""

    host: str


class Pong(NamedTuple):
    """Reply to Ping."""

    folder: str
