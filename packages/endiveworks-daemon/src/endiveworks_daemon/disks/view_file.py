"""File in a disk's data folder with the view whose predecessors the disk has agreed to refuse."""

import os
from pathlib import Path

from endiveworks.errors import Code, Failure
from endiveworks.journal.identity import sync_dir
from endiveworks.turns.view import View, decode, encode
from returns.result import Failure as Err
from returns.result import Result, Success

_FILE = "view.json"


def load_view(data_dir: Path) -> Result[View | None, Failure]:
    """Returns the saved view; None if there is none."""
    path = data_dir / _FILE
    try:
        return Success(decode(path.read_bytes()) if path.exists() else None)
    except OSError as exc:
        code, detail = Code.STORAGE, str(exc)
    except ValueError as exc:
        code, detail = Code.CORRUPT, str(exc)
    return Err(Failure(code, "turns.load_view", str(path), detail, not_run=True))


def save_view(data_dir: Path, view: View) -> None:
    """Replaces the saved view durably; raises OSError."""
    tmp_path = data_dir / (_FILE + ".tmp")
    with open(tmp_path, "wb") as file:
        file.write(encode(view))
        file.flush()
        os.fsync(file.fileno())
    tmp_path.rename(data_dir / _FILE)
    sync_dir(data_dir)
