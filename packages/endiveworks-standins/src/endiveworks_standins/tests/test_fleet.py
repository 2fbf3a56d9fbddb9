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
