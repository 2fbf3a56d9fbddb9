from types import SimpleNamespace
from typing import Any

from endiveworks_daemon.prefix_lease_manager import PrefixLeaseManager
from returns.result import Success


class TestMemoryTokens:
    def test_are_read_for_a_call_before_the_first_reconciliation(self) -> None:
        memory: Any = SimpleNamespace(load=lambda: Success({"memory_tokens": 1200}))
        lease_manager = PrefixLeaseManager(memory, lambda: False)
        assert lease_manager.memory_tokens() == 0
        assert lease_manager.read_memory_tokens() == 1200
