import subprocess
import sys
from pathlib import Path

EMBEDDING = Path(__file__).parents[1] / "examples" / "embedding"


class TestEmbedding:
    def test_an_order_outlives_its_owner_and_is_executed_once(self) -> None:
        command = [sys.executable, str(EMBEDDING / "order_once.py")]
        ran = subprocess.run(command, capture_output=True, text=True, check=False)
        assert (ran.returncode, ran.stderr) == (0, "")
        assert ran.stdout.splitlines() == ['answer: {"receipt": 1}', "orders executed: 1"]
