"""Closes programs that their callers have abandoned."""

import threading

from endiveworks.links.threads import start_forever
from endiveworks.programs.owner import Owner

_CHECKS_PER_IDLE_TIME = 10
_MAX_INTERVAL_S = 60.0


def start_idle_expiry(owner: Owner, idle_s: float) -> None:
    """Starts a daemon thread that closes this host's programs after idle_s of inactivity."""
    interval_s = min(_MAX_INTERVAL_S, idle_s / _CHECKS_PER_IDLE_TIME)
    timer = threading.Event()

    def close_idle_programs() -> None:
        while not timer.wait(interval_s):
            owner.close_idle(idle_s)

    start_forever("idle-sweep", close_idle_programs)
