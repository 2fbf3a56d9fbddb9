"""Writes record.txt of a case."""

import time
from pathlib import Path


class Record:
    """Lines with the time since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line to the file."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line to the file and the standard output."""
        self.line(text)
        print(text, flush=True)
