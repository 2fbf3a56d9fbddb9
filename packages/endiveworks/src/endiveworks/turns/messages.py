"""Messages between the hosts that serve callers and those that keep turns."""

from typing import NamedTuple

from .ledger import Spending
from .records import Turn
from .view import View

STORE = "turns.store"
FETCH = "turns.fetch"
SYNC = "turns.sync"


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


class Sync(NamedTuple):
    """Asks a member for everything that it holds, in pages.

    Attributes:
        view: The view under which the reader joins; the member takes it as its own.
        reader: Folder of the disk that reads.
        page: Number of the page, from 0.
    """

    view: View
    reader: str
    page: int


class Synced(NamedTuple):
    """A page of encoded records; the last one is marked."""

    folder: str
    records: list[bytes]
    last: bool
