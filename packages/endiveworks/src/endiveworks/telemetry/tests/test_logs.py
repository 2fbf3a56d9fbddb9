import io
import json
from typing import Any

import pytest
from endiveworks.telemetry.logs import configure, logger


@pytest.fixture
def stream() -> io.StringIO:
    stream = io.StringIO()
    configure("entry-1", "info", stream)
    return stream


def _events(stream: io.StringIO) -> list[dict[str, Any]]:
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

    def test_exception_gives_type_and_place_only(self, stream: io.StringIO) -> None:
        try:
            raise ValueError("prompt text")
        except ValueError:
            logger("http").exception("request_failed")
        (event,) = _events(stream)
        assert event["error_type"] == "ValueError"
        assert "test_exception_gives" in event["error_at"][-1]
        assert "prompt text" not in stream.getvalue()


class TestRefusal:
    def test_fields_outside_the_table_are_dropped_and_named(self, stream: io.StringIO) -> None:
        logger("http").info("answered", messages=["secret"], api_key="secret", status=200)
        (event,) = _events(stream)
        assert event["refused_fields"] == ["api_key", "messages"]
        assert event["status"] == 200
        assert "secret" not in stream.getvalue()

    def test_event_must_be_a_name(self, stream: io.StringIO) -> None:
        logger("http").info("caller said secret things")
        assert _events(stream)[0]["event"] == "invalid_event"

    def test_values_are_bounded(self, stream: io.StringIO) -> None:
        logger("http").info("answered", detail="x" * 10_000, peer={"a": "b"})
        assert len(stream.getvalue()) < 1000
