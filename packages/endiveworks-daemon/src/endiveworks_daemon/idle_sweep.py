"""Closes programs whose callers have gone."""

import threading

from endiveworks.programs.owner import Owner

_SWEEPS_PER_LIMIT = 10
_LONGEST_PERIOD_S = 60.0


def start_idle_sweep(owner: Owner, idle_s: float) -> None:
    """Starts closing this host's programs that have done nothing for a number of seconds."""
    period_s = min(_LONGEST_PERIOD_S, idle_s / _SWEEPS_PER_LIMIT)
    pause = threading.Event()

    def sweep() -> None:
        while not pause.wait(period_s):
            owner.close_idle(idle_s)

    threading.Thread(target=sweep, name="idle-sweep", daemon=True).start()
