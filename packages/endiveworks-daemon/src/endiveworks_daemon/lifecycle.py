"""Start, stop and reload of an asyncio process."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable

from endiveworks.telemetry import logs

from .site import Site, SiteSettings

_LOGS_TIMEOUT_S = 0.5
_RELOAD_PERIOD_S = 2.0  # A settings file may change without a signal.

# Serves until the event is set, then stops without cutting off work.
Serve = Callable[[Site, SiteSettings, asyncio.Event], Awaitable[None]]


def run(role: str, serve: Serve, site: Site, started_s: float) -> None:
    """Runs a role until SIGTERM or SIGINT and ends the process.

    Args:
        role: Name of the role, for the logs.
        serve: What the role does.
        site: The platform.
        started_s: Steady time at which the process began, for the log of the start.
    """
    settings = site.read_settings()
    logs.configure(settings.host, "info", sys.stdout)
    logs.capture_others()
    logger = logs.logger("process")
    took_ms = round((time.monotonic() - started_s) * 1000)
    logger.info("started", role=role, took_ms=took_ms, region=settings.region)
    code = asyncio.run(_main(serve, site, settings))
    logger.info("stopped", role=role)
    logs.drain(_LOGS_TIMEOUT_S)
    os._exit(code)


async def _main(serve: Serve, site: Site, settings: SiteSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    reload = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop, stop, number)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    reloading = asyncio.create_task(_reload(site, settings, reload))
    try:
        await serve(site, settings, stop)
    finally:
        reloading.cancel()
    return 0


def _on_stop(stop: asyncio.Event, number: int) -> None:
    logs.logger("process").info("stopping", signal=signal.Signals(number).name)
    stop.set()


async def _reload(site: Site, settings: SiteSettings, reload: asyncio.Event) -> None:
    """Notes changes of the settings; addresses and the disk stay as they were at the start."""
    logger = logs.logger("process")
    while True:
        asked = False
        try:
            async with asyncio.timeout(_RELOAD_PERIOD_S):
                await reload.wait()
            reload.clear()
            asked = True
        except TimeoutError:
            pass
        try:
            found = site.read_settings()
        except (OSError, ValueError) as exc:
            logger.warning("reload_refused", detail=str(exc))
            continue
        if asked or found != settings:
            state = "changed" if found != settings else "unchanged"
            logger.info("reloaded", state=state)
            settings = found
