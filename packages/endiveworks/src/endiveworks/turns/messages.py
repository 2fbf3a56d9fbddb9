"""Messages between the hosts that serve callers and those that keep turns."""

from typing import NamedTuple

from .ledger import Spending
from .records import Turn
from .view import View

STORE = "turns.store"
FETCH = "turns.fetch"
LIST_HELD = "turns.list_held"
READ_TURNS = "turns.read_turns"
PING = "turns.ping"


class Store(NamedTuple):
    """Asks a disk to sync records.

    Attributes:
        epoch: Epoch of the view by which the sender counts.
        records: Encoded records.
        program: Program whose ledger the answer is to hold; empty for none.
    """

    epoch: int
    records: list[bytes]
    program: str = ""


class Stored(NamedTuple):
    """Answers Store once everything is synced.

    Attributes:
        folder: Data folder that answers; a disk that was lost comes back with another.
        newer: A view that is newer than the sender's, when nothing was stored for that reason.
        spending: What the disk knows of the program's spending.
    """

    folder: str
    newer: View | None
    spending: list[Spending]


class Fetch(NamedTuple):
    """Asks for a turn and those before it that the reader lacks."""

    epoch: int
    turn: str
    known: list[str]


class Fetched(NamedTuple):
    """Answers Fetch with the chain, newest first; see Stored for folder and newer."""

    folder: str
    newer: View | None
    chain: list[Turn]


class ListHeld(NamedTuple):
    """Asks a member what it holds.

    Attributes:
        view: The view under which the reader joins; the member takes it as its own, so that it
            refuses writers that count by an older one.
    """

    view: View


class Held(NamedTuple):
    """Answers ListHeld.

    Attributes:
        folder: Data folder that answers.
        turns: Ids of all turns.
        ledgers: Encoded reservations and settlements of all programs.
    """

    folder: str
    turns: list[str]
    ledgers: list[bytes]


class ReadTurns(NamedTuple):
    """Asks for turns by their ids."""

    turns: list[str]


class TurnsRead(NamedTuple):
    """Answers ReadTurns with as many encoded turns as fit, in the order asked for."""

    folder: str
    records: list[bytes]


class Ping(NamedTuple):
    """Asks whether a host answers."""

    host: str


class Pong(NamedTuple):
    """Answers Ping."""

    folder: str
