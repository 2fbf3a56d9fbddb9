import sys
from pathlib import Path

from endiveworks_standins.fleet import Fleet

SLEEP = (sys.executable, "-c", "import time; time.sleep(600)")


class TestClose:
    def test_kills_processes_whose_name_was_reused_too(self, tmp_path: Path) -> None:
        with Fleet(tmp_path) as fleet:
            first = fleet.start("up-1", SLEEP)
            first.freeze()
            second = fleet.start("up-1", SLEEP)
        assert first.popen.poll() is not None and second.popen.poll() is not None


class TestExecuted:
    def test_a_line_that_is_being_written_is_left_for_later(self, tmp_path: Path) -> None:
        # Guards against tests that failed as they read a log while a line was written.
        with Fleet(tmp_path) as fleet:
            path = fleet.log_file("up-1")
            path.write_text('{"event": "ran"}\n{"event": "as')
            assert fleet.executed("up-1") == [{"event": "ran"}]
            path.write_text('{"event": "ran"}\n{"event": "asked"}\n')
            assert fleet.executed("up-1") == [{"event": "ran"}, {"event": "asked"}]
