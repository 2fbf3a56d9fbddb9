from endiveworks.errors import Code, Failure
from endiveworks.wire.faults import from_fault, to_fault


class TestFaults:
    def test_round_trip(self) -> None:
        failure = Failure(Code.TIMEOUT, "links.call", "127.0.0.1:1", "no answer", True, 0.25)
        assert from_fault(to_fault(failure)) == failure
