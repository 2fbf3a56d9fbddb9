from pathlib import Path

import pytest
from endiveworks.replay.measures import check
from endiveworks.replay.policy import FULL
from endiveworks.replay.run import replay
from endiveworks.replay.trace import read_trace

TRACES = sorted((Path(__file__).parents[1] / "bench" / "traces").glob("*.jsonl"))


class TestCommittedTraces:
    def test_both_deployments_at_four_loads_and_with_a_lost_replica(self) -> None:
        assert len(TRACES) == 10

    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_outcomes_are_as_stated(self, path: Path) -> None:
        trace = read_trace(path)
        assert trace.header.outcomes
        assert check(trace.header.outcomes, replay(trace, FULL)) == []
