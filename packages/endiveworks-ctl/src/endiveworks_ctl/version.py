"""endivectl version."""

import platform

import endiveworks

from .exits import Exit
from .output import Column, Invocation, show_rows


def version(invocation: Invocation) -> int:
    """Shows the version of the project and of Python."""
    row = {"endiveworks": endiveworks.__version__, "python": platform.python_version()}
    columns = (Column("endiveworks", "ENDIVEWORKS"), Column("python", "PYTHON"))
    show_rows(invocation.terminal, [row], columns)
    return Exit.OK
