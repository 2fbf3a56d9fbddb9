"""Start, stop and reload of an asyncio process."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable

from endiveworks.telemetry import logs

from .platform_adapter import PlatformAdapter, ProcessSettings

_LOGS_TIMEOUT_S = 0.5
_RELOAD_PERIOD_S = 2.0  # The settings file may change without a SIGHUP.

# Serves until the event is set, then finishes running work and returns.
Serve = Callable[[PlatformAdapter, ProcessSettings, asyncio.Event], Awaitable[None]]


def run(role: str, serve: Serve, platform: PlatformAdapter, started_s: float) -> None:
    """Runs a role until SIGTERM or SIGINT, then exits the process.

    Args:
        role: Name of the role, for the logs.
        serve: Coroutine function that runs the role.
        platform: The platform adapter.
        started_s: Monotonic time at which the process started, to log the startup time.
    """
    settings = platform.read_settings()
    logs.configure(settings.host, "info", sys.stdout)
    logs.install_log_hooks()
    logger = logs.logger("process")
    took_ms = round((time.monotonic() - started_s) * 1000)
    logger.info("started", role=role, took_ms=took_ms, region=settings.region)
    exit_code = asyncio.run(_main(serve, platform, settings))
    logger.info("stopped", role=role)
    logs.drain(_LOGS_TIMEOUT_S)
    os._exit(exit_code)


async def _main(serve: Serve, platform: PlatformAdapter, settings: ProcessSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    reload = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _on_stop, stop, signum)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    reload_task = asyncio.create_task(_reload(platform, settings, reload))
    try:
        await serve(platform, settings, stop)
    finally:
        reload_task.cancel()
    return 0


def _on_stop(stop: asyncio.Event, signum: int) -> None:
    logs.logger("process").info("stopping", signal=signal.Signals(signum).name)
    stop.set()


async def _reload(
    platform: PlatformAdapter, settings: ProcessSettings, reload: asyncio.Event
) -> None:
    """Logs changes of the settings; addresses and the disk in use stay until a restart."""
    logger = logs.logger("process")
    while True:
        signaled = False
        try:
            async with asyncio.timeout(_RELOAD_PERIOD_S):
                await reload.wait()
            reload.clear()
            signaled = True
        except TimeoutError:
            pass
        try:
            new_settings = platform.read_settings()
        except (OSError, ValueError) as exc:
            logger.warning("reload_refused", detail=str(exc))
            continue
        if signaled or new_settings != settings:
            state = "changed" if new_settings != settings else "unchanged"
            logger.info("reloaded", state=state)
            settings = new_settings
