from types import SimpleNamespace
from typing import Any

from endiveworks_daemon.engine_keeper import EngineKeeper
from returns.result import Success


class TestMemoryTokens:
    def test_are_asked_for_when_the_first_call_comes_before_the_first_sweep(self) -> None:
        memory: Any = SimpleNamespace(load=lambda: Success({"memory_tokens": 1200}))
        keeper = EngineKeeper(memory, lambda: False)
        assert keeper.memory_tokens() == 0
        assert keeper.read_memory_tokens() == 1200
