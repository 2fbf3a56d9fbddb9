"""Exit codes of endivectl; scripts may rely on them."""

import enum

from endiveworks.errors import Code, Failure


class Exit(enum.IntEnum):
    """Why the command ended."""

    OK = 0
    REFUSED = 1
    CONFLICT = 2
    UNREACHABLE = 3
    PARTIAL = 4
    DIFFERENT = 5
    UNKNOWN = 6
    USAGE = 64


MEANING: dict[Exit, str] = {
    Exit.OK: "Done.",
    Exit.REFUSED: "The files or the request have errors, which are listed.",
    Exit.CONFLICT: "Somebody else published meanwhile; look at the result and publish again.",
    Exit.UNREACHABLE: "The key-value service or the asked process did not answer.",
    Exit.PARTIAL: "Some processes did not answer; the rest is printed.",
    Exit.DIFFERENT: "A replayed trace had another outcome than the one it states.",
    Exit.UNKNOWN: "The key-value service did not say whether the publication took effect.",
    Exit.USAGE: "The command line or the environment has errors, which are listed.",
}

_BY_CODE = {
    Code.CONFLICT: Exit.CONFLICT,
    Code.OUTCOME_UNKNOWN: Exit.UNKNOWN,
    Code.UNREACHABLE: Exit.UNREACHABLE,
    Code.TIMEOUT: Exit.UNREACHABLE,
    Code.UPSTREAM_FAILED: Exit.UNREACHABLE,
}


def exit_for(failure: Failure) -> Exit:
    """Returns the exit code for a failure."""
    return _BY_CODE.get(failure.code, Exit.REFUSED)
