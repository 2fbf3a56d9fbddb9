"""A short run of the soak, and each seed that ever failed."""

import asyncio
from pathlib import Path

import pytest

from .run import FAULTS_S, soak

SHORT_S = 5.0
SEEDS = (1, 2)
# Seeds that failed once, by their cause.
FAILED = {"a connection to a disk had fallen silent and was used for good": 111}


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_promise_is_broken_under_faults(self, seed: int, tmp_path: Path) -> None:
        outcome = asyncio.run(soak(tmp_path / "run", seed, SHORT_S))
        assert not outcome.problems, outcome
        assert outcome.kept > 0

    @pytest.mark.parametrize("seed", FAILED.values(), ids=list(FAILED))
    def test_what_failed_once(self, seed: int, tmp_path: Path) -> None:
        outcome = asyncio.run(soak(tmp_path / "run", seed, FAULTS_S))
        assert not outcome.problems, outcome
