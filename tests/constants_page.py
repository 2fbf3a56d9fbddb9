"""Writes docs/operating/CONSTANTS.md: each named limit of the gateway and the disks.

Run as `python tests/constants_page.py`; a test compares the page with what this would write.
"""

import ast
import tokenize
from collections.abc import Iterator, Mapping
from io import StringIO
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "operating" / "CONSTANTS.md"
FOLDERS = (
    "packages/endiveworks/src/endiveworks/gateway",
    "packages/endiveworks/src/endiveworks/turns",
    "packages/endiveworks-daemon/src/endiveworks_daemon/gateway",
    "packages/endiveworks-daemon/src/endiveworks_daemon/disks",
    "platform/endiveworks_site",
)
UNITS = {
    "S": "seconds",
    "MS": "milliseconds",
    "BYTES": "bytes",
    "X": "multiple",
    "TOKENS": "tokens",
    "PORT": "port",
    "SHARE": "share",
    "WEIGHT": "weight",
}
HEAD = """# Constants

Named limits of the processes on the users' platform, written by `python tests/constants_page.py`
from the sources. They are no settings: the platform's settings file gives what depends on a
deployment.

| Constant | Module | Value | Unit | Meaning |
| --- | --- | --- | --- | --- |
"""


class Constant(NamedTuple):
    """A module's named number, with the comment before or beside it."""

    name: str
    module: str
    value: str
    meaning: str


def page() -> str:
    """Returns the text of the page."""
    rows = [
        f"| `{found.name}` | `{found.module}` | {found.value} | {_unit(found.name)} | "
        f"{found.meaning} |\n"
        for found in sorted(_constants())
    ]
    return HEAD + "".join(rows)


def _constants() -> Iterator[Constant]:
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).glob("*.py")):
            source = path.read_text()
            comments = _comments(source)
            for node in ast.parse(source).body:
                if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
                    name = node.targets[0].id
                    value = ast.unparse(node.value)
                    if (
                        name.isupper()
                        and not name.startswith(("_", "STATUS"))
                        and _is_number(value)
                    ):
                        meaning = _meaning(node, comments, source.splitlines())
                        yield Constant(name, f"{path.parent.name}/{path.stem}", value, meaning)


def _is_number(value: str) -> bool:
    return value.replace("_", "").replace(" * ", "").replace(".", "").isdigit()


def _comments(source: str) -> dict[int, str]:
    tokens = tokenize.generate_tokens(StringIO(source).readline)
    return {t.start[0]: t.string.lstrip("# ") for t in tokens if t.type == tokenize.COMMENT}


def _meaning(node: ast.Assign, comments: Mapping[int, str], lines: list[str]) -> str:
    """Returns the comment beside a constant, or the block of comments before it."""
    if node.lineno in comments:
        return comments[node.lineno]
    block: list[str] = []
    at = node.lineno - 1
    while at in comments and lines[at - 1].startswith("#"):
        block.insert(0, comments[at])
        at -= 1
    return " ".join(block)


def _unit(name: str) -> str:
    what, _, unit = name.rpartition("_")
    found = UNITS.get(unit, "count")
    return f"per {found.removesuffix('s')}" if what.endswith("_PER") else found


if __name__ == "__main__":
    PAGE.write_text(page())
