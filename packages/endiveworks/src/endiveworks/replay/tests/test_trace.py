from pathlib import Path

import pytest
from endiveworks.config.bundle import CostWeights
from endiveworks.replay.engine import Rates
from endiveworks.replay.trace import (
    Call,
    Header,
    ReplicaLocation,
    Trace,
    TraceError,
    UpstreamLoss,
    read_trace,
    write_trace,
)

HEADER = Header(
    "d",
    "",
    1,
    1.0,
    (ReplicaLocation("r0", "east"), ReplicaLocation("r1", "east")),
    Rates(memory_tokens=10_000),
    {"t": 1.0},
    {"front": 0, "back": 1},
    CostWeights(1.0, 1.0),
    60.0,
    1.9e6,
    0.02,
    {"done_share": (1.0, 1.0)},
)


def call(program: str, number: int, **fields: object) -> Call:
    defaults = {"at_s": 0.0, "pause_s": 0.0, "tool": "", "new_tokens": 100, "output_tokens": 20}
    defaults |= {"tenant": "t", "class_name": "front", "region": "east"}
    return Call(program=program, call=number, **{**defaults, **fields})


class TestFormat:
    def test_trace_reads_back_as_written(self, tmp_path: Path) -> None:
        calls = (call("a", 0, at_s=1.5), call("a", 1, tool="x", pause_s=2.0))
        trace = Trace(HEADER, calls, (UpstreamLoss("r0", 3.0),))
        write_trace(tmp_path / "t.jsonl", trace)
        assert read_trace(tmp_path / "t.jsonl") == trace

    def test_error_contains_the_number_of_the_invalid_line(self, tmp_path: Path) -> None:
        path = tmp_path / "t.jsonl"
        write_trace(path, Trace(HEADER, (), ()))
        path.write_bytes(path.read_bytes() + b'{"colour": 1}\n')
        with pytest.raises(TraceError, match=":2: "):
            read_trace(path)

    def test_other_version_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "t.jsonl"
        path.write_text('{"trace": 99}\n')
        with pytest.raises(TraceError, match="version"):
            read_trace(path)
