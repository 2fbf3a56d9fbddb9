"""Starts a process of the deployment in the role that its settings give."""

import os
import signal
import sys
from collections.abc import Callable

from endiveworks.settings.flags import EXIT_USAGE, Values, load
from endiveworks.telemetry import logs

from .entry import start_entry
from .files import raise_file_limit
from .options import daemon_flags, role_problems
from .upstream import start_upstream

_LOGS_TIMEOUT_S = 2.0
EXIT_DRAINED = 0
EXIT_CUT_OFF = 1
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run() -> None:
    """Runs until SIGTERM or SIGINT, then stops without cutting off work."""
    cfg = load(daemon_flags(), sys.argv[1:], os.environ)
    problems = role_problems(cfg)
    file_problem = raise_file_limit(cfg)
    for problem in (*problems, *([file_problem] if file_problem else [])):
        print(f"endiveworksd: {problem}", file=sys.stderr)
    if problems or file_problem:
        raise SystemExit(EXIT_USAGE)
    logs.configure(cfg.text("host"), cfg.text("log_level"), sys.stderr)
    logs.capture_others()
    # Blocked in every thread and taken by sigwait: a handler would run only when the main thread
    # is interrupted, and the signal may be delivered to another thread.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    stop = _start(cfg)
    received = _wait_for_signal()
    log = logs.logger("daemon")
    log.info("stopping", signal=received)
    drained = stop()
    log.info("stopped", state="drained" if drained else "cut off")
    logs.drain(_LOGS_TIMEOUT_S)
    # Threads that wait on peers or upstreams must not keep a stopped process alive.
    os._exit(EXIT_DRAINED if drained else EXIT_CUT_OFF)


def _start(cfg: Values) -> Callable[[], bool]:
    if cfg.text("role") == "entry":
        return start_entry(cfg)
    return start_upstream(cfg)


def _wait_for_signal() -> str:
    return signal.Signals(signal.sigwait(_STOP_SIGNALS)).name


if __name__ == "__main__":
    run()
