"""A short run of the soak, and each seed that ever failed."""

import asyncio
from pathlib import Path

import pytest

from .run import soak

SHORT_S = 5.0
SEEDS = (1, 2)


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_promise_is_broken_under_faults(self, seed: int, tmp_path: Path) -> None:
        outcome = asyncio.run(soak(tmp_path / "run", seed, SHORT_S))
        assert not outcome.problems, outcome
        assert outcome.kept > 0
