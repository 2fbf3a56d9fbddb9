import io
import json
import logging
import threading
from typing import Any

import pytest
from endiveworks.telemetry.logs import configure, drain, install_log_hooks, logger
from endiveworks.telemetry.writer import MAX_WAITING_LINES


@pytest.fixture
def stream() -> io.StringIO:
    stream = io.StringIO()
    configure("entry-1", "info", stream)
    return stream


def _events(stream: io.StringIO) -> list[dict[str, Any]]:
    assert drain(20)
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLines:
    def test_one_json_line_for_each_event(self, stream: io.StringIO) -> None:
        logger("journal").info("sealed", partition=3, epoch=2, peer="entry-2")
        logger("journal").debug("not_written")
        logger("journal").warning("lost", peer="two\nlines")
        first, second = _events(stream)
        assert first.pop("time").endswith("Z")
        assert first == {
            "event": "sealed",
            "part": "journal",
            "partition": 3,
            "epoch": 2,
            "peer": "entry-2",
            "host": "entry-1",
            "level": "info",
        }
        assert second["level"] == "warning"

    def test_exceptions_are_logged_by_type_and_location_only(self, stream: io.StringIO) -> None:
        try:
            raise ValueError("prompt text")
        except ValueError:
            logger("http").exception("request_failed")
        (event,) = _events(stream)
        assert event["error_type"] == "ValueError"
        assert "test_exceptions_are_logged" in event["error_at"][-1]
        assert "prompt text" not in stream.getvalue()


class TestFieldFilter:
    def test_fields_outside_the_table_are_dropped_and_named(self, stream: io.StringIO) -> None:
        logger("http").info("answered", messages=["secret"], api_key="secret", status=200)
        (event,) = _events(stream)
        assert event["refused_fields"] == ["api_key", "messages"]
        assert event["status"] == 200
        assert "secret" not in stream.getvalue()

    def test_an_event_that_is_not_a_name_is_replaced(self, stream: io.StringIO) -> None:
        logger("http").info("caller said secret things")
        assert _events(stream)[0]["event"] == "invalid_event"

    def test_values_are_truncated(self, stream: io.StringIO) -> None:
        logger("http").info("answered", detail="x" * 10_000, peer={"a": "b"})
        assert len(_events(stream)) == 1
        assert len(stream.getvalue()) < 1000


class TestLogHooks:
    def test_library_warnings_and_thread_exceptions_are_logged_without_texts(
        self, stream: io.StringIO, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(threading, "excepthook", threading.excepthook)
        monkeypatch.setattr(logging.root, "handlers", [])
        monkeypatch.setattr(logging.root, "level", logging.root.level)
        install_log_hooks()

        def fail() -> None:
            raise ValueError("prompt text")

        thread = threading.Thread(target=fail)
        thread.start()
        thread.join()
        logging.getLogger("urllib3").warning("prompt text %s", "of a caller")
        failed, warned = _events(stream)
        assert (failed["event"], failed["error_type"]) == ("thread_failed", "ValueError")
        assert (warned["event"], warned["reason"]) == ("library_warning", "urllib3")
        assert "prompt" not in stream.getvalue()


class _StuckStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


class TestStuckReader:
    def test_events_are_dropped_and_counted(self) -> None:
        stream = _StuckStream()
        configure("entry-1", "info", stream)
        for number in range(MAX_WAITING_LINES + 100):
            logger("http").info("answered", index=number)
        assert not drain(0.01)
        stream.released.set()
        logger("http").info("answered", index=-1)
        events = _events(stream)
        lost = [event["amount"] for event in events if event["event"] == "logs_dropped"]
        assert sum(lost) + len(events) - len(lost) == MAX_WAITING_LINES + 101

    def test_logging_to_a_closed_stream_does_not_raise(self) -> None:
        stream = io.StringIO()
        configure("entry-1", "info", stream)
        stream.close()
        logger("http").info("answered")
        assert drain(20)
