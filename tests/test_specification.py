import os
import subprocess
import sys
from pathlib import Path

import pytest

CHECK = Path(__file__).parents[1] / "spec" / "check.py"
NOT_INSTALLED = 2


class TestSpecification:
    def test_holds_whole_and_breaks_without_each_guard(self) -> None:
        done = subprocess.run([sys.executable, CHECK], capture_output=True, text=True, check=False)
        print(done.stdout, done.stderr)
        if done.returncode == NOT_INSTALLED and not os.environ.get("CI"):
            pytest.skip(f"the specification was not checked: {done.stderr.strip()}; run .ci/run")
        assert done.returncode == 0, done.stdout + done.stderr
