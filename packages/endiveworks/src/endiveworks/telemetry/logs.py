"""Logs: one JSON line for each event, with fields from a fixed table."""

import datetime
import json
import logging
import re
import sys
import threading
import traceback
from collections.abc import MutableMapping
from types import TracebackType
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict, WrappedLogger

from .fields import LOG_FIELDS
from .writer import LineWriter

LEVELS = ("debug", "info", "warning", "error", "critical")
MAX_VALUE_CHARS = 400
MAX_FRAMES = 6

_EVENT_NAME = re.compile(r"[a-z][a-z0-9_]{0,63}\Z")
_INVALID_EVENT = "invalid_event"
_EXCEPTION_FIELD = "exc_info"

_writer: LineWriter | None = None


def configure(host: str, level: str, stream: TextIO) -> None:
    """Sends the logs of this process to a stream, without blocking on a slow reader.

    Args:
        host: Name of the process, written with every event.
        level: Lowest level written, one of LEVELS.
        stream: Open text stream, such as sys.stderr.
    """
    global _writer
    _writer = LineWriter(stream, lambda amount: _dropped_line(host, amount))

    def add_host(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        event["host"] = host
        return event

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.stdlib.add_log_level,
            add_host,
            _describe_exception,
            drop_unlisted_fields,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.JSONRenderer(ensure_ascii=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(_writer),  # type: ignore[arg-type]
        cache_logger_on_first_use=False,
    )


def install_log_hooks() -> None:
    """Logs the warnings of libraries and uncaught exceptions of threads, without their texts.

    These texts may hold callers' content.
    """
    handler = _LibraryHandler(logging.WARNING)
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)
    threading.excepthook = _log_thread_exception


def drain(timeout_s: float) -> bool:
    """Waits until all events are written; returns False on timeout."""
    return _writer is None or _writer.drain(timeout_s)


def logger(part: str) -> Any:  # structlog's loggers have no common static type
    """Returns the logger of one part of the program, such as "journal"."""
    return structlog.get_logger(part=part)


def drop_unlisted_fields(
    _logger: WrappedLogger, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Drops every field that is not in the table, since it could hold a caller's content."""
    dropped = sorted(name for name in event if name not in LOG_FIELDS)
    kept = {name: _truncate(value) for name, value in event.items() if name in LOG_FIELDS}
    if not _EVENT_NAME.match(str(kept.get("event", ""))):
        kept["event"] = _INVALID_EVENT
    if dropped:
        kept["refused_fields"] = [name[:MAX_VALUE_CHARS] for name in dropped]
    return kept


class _LibraryHandler(logging.Handler):
    """Converts the log records of libraries to events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the logger's name and the source line; the text of the record is left out."""
        exc = record.exc_info[1] if record.exc_info else None
        location = f"{record.pathname}:{record.lineno}"
        logger("library").warning(
            "library_warning", reason=record.name, path=location, exc_info=exc
        )


def _log_thread_exception(args: threading.ExceptHookArgs) -> None:
    logger("threads").error("thread_failed", exc_info=args.exc_value)


def _dropped_line(host: str, amount: int) -> str:
    time = datetime.datetime.now(datetime.UTC).isoformat()
    event = {"event": "logs_dropped", "amount": amount, "host": host, "level": "warning"}
    return json.dumps({**event, "part": "telemetry", "time": time}) + "\n"


def _truncate(value: object) -> object:
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, list | tuple | set | frozenset):
        return [str(part)[:MAX_VALUE_CHARS] for part in value]
    return str(value)[:MAX_VALUE_CHARS]


def _describe_exception(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Replaces an exception by its type and location; its message may hold a caller's content."""
    info = event.pop(_EXCEPTION_FIELD, None)
    exc = info if isinstance(info, BaseException) else None
    if info is True:
        exc = sys.exc_info()[1]
    if exc is not None:
        event["error_type"] = type(exc).__name__
        event["error_at"] = _locations(exc.__traceback__)
    return event


def _locations(trace: TracebackType | None) -> list[str]:
    frames = traceback.extract_tb(trace)[-MAX_FRAMES:]
    return [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]
