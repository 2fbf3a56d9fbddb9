import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
_SPEC = importlib.util.spec_from_file_location("guards", ROOT / "tests" / "guards.py")
assert _SPEC is not None and _SPEC.loader is not None
guards = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(guards)


class TestGuards:
    @pytest.mark.parametrize("guard", guards.read_guards(), ids=lambda guard: guard.name)
    def test_each_stands_once_in_the_code_and_names_tests_that_are_there(
        self, guard: "guards.Guard"
    ) -> None:
        assert (ROOT / guard.file).read_text().count(guard.lines) == 1
        assert guard.tests
        assert all((ROOT / test.partition("::")[0]).exists() for test in guard.tests)
