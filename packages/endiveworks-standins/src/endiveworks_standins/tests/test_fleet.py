import sys
from pathlib import Path

from endiveworks_standins.fleet import Fleet

WAITS = (sys.executable, "-c", "import time; time.sleep(600)")


class TestClose:
    def test_ends_also_processes_whose_name_another_one_took(self, tmp_path: Path) -> None:
        with Fleet(tmp_path) as fleet:
            first = fleet.start("up-1", WAITS)
            first.freeze()
            second = fleet.start("up-1", WAITS)
        assert first.popen.poll() is not None and second.popen.poll() is not None
