"""Command line of endiveworksd: starts the role that the settings select."""

import os
import signal
import sys
from collections.abc import Callable

from endiveworks.settings.flags import EXIT_USAGE, Values, load
from endiveworks.telemetry import logs

from .allocator import return_large_blocks
from .entry import start_entry
from .file_limit import raise_file_limit
from .options import daemon_flags, role_errors
from .upstream import start_upstream

_LOG_DRAIN_TIMEOUT_S = 2.0
EXIT_DRAINED = 0
EXIT_DRAIN_TIMEOUT = 1
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run() -> None:
    """Runs until SIGTERM or SIGINT, then drains and exits."""
    cfg = load(daemon_flags(), sys.argv[1:], os.environ)
    errors = role_errors(cfg)
    file_limit_error = raise_file_limit(cfg)
    for error in (*errors, *([file_limit_error] if file_limit_error else [])):
        print(f"endiveworksd: {error}", file=sys.stderr)
    if errors or file_limit_error:
        raise SystemExit(EXIT_USAGE)
    logs.configure(cfg.text("host"), cfg.text("log_level"), sys.stderr)
    logs.install_log_hooks()
    return_large_blocks()
    # Blocked in every thread and received by sigwait: a Python handler runs only in the main
    # thread, which isn't woken when the signal is delivered to another thread.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    stop = _start(cfg)
    received = _wait_for_signal()
    log = logs.logger("daemon")
    log.info("stopping", signal=received)
    drained = stop()
    log.info("stopped", state="drained" if drained else "cut off")
    logs.drain(_LOG_DRAIN_TIMEOUT_S)
    # Threads blocked on peers or upstreams must not keep the process alive.
    os._exit(EXIT_DRAINED if drained else EXIT_DRAIN_TIMEOUT)


def _start(cfg: Values) -> Callable[[], bool]:
    if cfg.text("role") == "entry":
        return start_entry(cfg)
    return start_upstream(cfg)


def _wait_for_signal() -> str:
    return signal.Signals(signal.sigwait(_STOP_SIGNALS)).name


if __name__ == "__main__":
    run()
