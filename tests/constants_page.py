"""Generates docs/operating/CONSTANTS.md, the list of named constants of the gateway and the disks.

Run as `python tests/constants_page.py`; a test compares the page with the generated text.
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
    "FACTOR": "multiple",
    "X": "multiple",
    "TOKENS": "tokens",
    "PORT": "port",
    "SHARE": "share",
    "WEIGHT": "weight",
}
HEAD = """# Constants

Named constants of the processes on the users' platform, generated from the sources by
`python tests/constants_page.py`. They are not configurable: values that depend on a deployment are
in the platform's settings file.

| Constant | Module | Value | Unit | Meaning |
| --- | --- | --- | --- | --- |
"""


class Constant(NamedTuple):
    """A numeric constant of a module, with the comment above or beside it."""

    name: str
    module: str
    value: str
    meaning: str


def page() -> str:
    """Generates the text of the page."""
    rows = [
        f"| `{constant.name}` | `{constant.module}` | {constant.value} | {_unit(constant.name)} | "
        f"{constant.meaning} |\n"
        for constant in sorted(_constants())
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
    """Returns the comment beside a constant, or the comment block above it."""
    if node.lineno in comments:
        return comments[node.lineno]
    block: list[str] = []
    line = node.lineno - 1
    while line in comments and lines[line - 1].startswith("#"):
        block.insert(0, comments[line])
        line -= 1
    return " ".join(block)


def _unit(name: str) -> str:
    prefix, _, suffix = name.rpartition("_")
    unit = UNITS.get(suffix, "count")
    return f"per {unit.removesuffix('s')}" if prefix.endswith("_PER") else unit


if __name__ == "__main__":
    PAGE.write_text(page())
