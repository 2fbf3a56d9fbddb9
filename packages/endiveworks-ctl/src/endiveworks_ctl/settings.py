"""Settings of endivectl."""

import getpass

from endiveworks.settings.checks import address, addresses, at_least, between, not_empty
from endiveworks.settings.flags import Flags
from endiveworks.settings.shared import DAEMON_SETTINGS
from endiveworks.telemetry.status import MAX_PROGRAM_ROWS

PROGRAM = "endivectl"
FORMATS = ("table", "json")
_MAX_TIMEOUT_S = 600.0


def define() -> Flags:
    """Returns the settings of endivectl, not yet parsed."""
    flags = Flags(PROGRAM, shared=DAEMON_SETTINGS)
    flags.define_string("kv", "127.0.0.1:2379", "Address of the key-value service.", address)
    flags.define_string(
        "admins",
        "",
        "Operators' addresses of the processes to ask, separated by commas; empty asks all that "
        "the key-value service lists. Use it while that service is down.",
        lambda value: addresses(value) if value else None,
    )
    flags.define_choice("format", "table", FORMATS, "Form of the output.")
    flags.define_float(
        "timeout_s", 5, "Deadline of each call, in seconds.", between(0.1, _MAX_TIMEOUT_S)
    )
    flags.define_string("publisher", _user(), "Name noted with a publication.", not_empty)
    flags.define_integer(
        "expect",
        -1,
        "Version that the published files were made from; publish refuses when another is in "
        "force. -1 takes the one in force when the command starts.",
        at_least(-1),
    )
    flags.define_float(
        "wait_s",
        0,
        "Time for which publish waits until every process has the version in force, in seconds; "
        "0 does not wait.",
        between(0.0, _MAX_TIMEOUT_S),
    )
    flags.define_boolean("histograms", False, "Whether status shows histograms.")
    flags.define_integer(
        "limit", 100, "Programs shown of each entry.", between(1, MAX_PROGRAM_ROWS)
    )
    return flags


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
