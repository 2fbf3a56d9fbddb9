"""Which connections of callers give way at their limit."""

import time
from typing import NamedTuple

from endiveworks_daemon.gateway.caller_connections import CallerConnections
from structlog.testing import capture_logs

MOST = 4


class _Conn:
    """A connection whose caller has owed progress for some time; None while it is served."""

    def __init__(self, waited_s: float | None, busy: bool = False, evictable: bool = True) -> None:
        self.waiting_since_s = None if waited_s is None else time.monotonic() - waited_s
        self.busy = busy
        self.evicted = False
        self._evictable = evictable and waited_s is not None

    def may_be_evicted(self, _: float) -> bool:
        return self._evictable

    def evict(self) -> None:
        self.evicted = True

    def close_if_idle(self) -> None:
        raise NotImplementedError

    def stop_receiving(self) -> None:
        raise NotImplementedError


class _Full(NamedTuple):
    callers: CallerConnections
    conns: list[_Conn]

    def evicted(self) -> list[_Conn]:
        return [conn for conn in self.conns if conn.evicted]


def full_of(*conns: _Conn) -> _Full:
    """Returns the connections of a listener that is at its limit."""
    callers = CallerConnections(MOST)
    for conn in conns:
        assert callers.admit(conn)
    assert len(callers.open) == MOST
    return _Full(callers, list(conns))


class TestLimit:
    def test_the_one_that_has_been_idle_longest_gives_way(self) -> None:
        full = full_of(_Conn(1.0), _Conn(9.0), _Conn(5.0), _Conn(None))
        assert full.callers.admit(_Conn(0.0))
        assert full.evicted() == [full.conns[1]]
        assert len(full.callers.open) == MOST

    def test_one_that_has_stopped_within_a_request_goes_before_idle_ones(self) -> None:
        full = full_of(_Conn(9.0), _Conn(1.0, busy=True), _Conn(None), _Conn(None))
        assert full.callers.admit(_Conn(0.0))
        assert full.evicted() == [full.conns[1]]

    def test_a_new_one_is_refused_while_none_may_be_closed(self) -> None:
        full = full_of(
            *(_Conn(0.1, busy=True, evictable=False) for _ in range(2)), _Conn(None), _Conn(None)
        )
        assert not full.callers.admit(_Conn(0.0))
        assert not full.evicted()

    def test_a_place_is_free_again_after_an_end(self) -> None:
        full = full_of(*(_Conn(None) for _ in range(MOST)))
        full.callers.remove(full.conns[0])
        assert full.callers.admit(_Conn(0.0))

    def test_many_evictions_share_a_line_of_the_log(self) -> None:
        with capture_logs() as lines:
            full = full_of(*(_Conn(1.0) for _ in range(MOST)))
            for _ in range(20):
                assert full.callers.admit(_Conn(0.0))
        assert [line["event"] for line in lines] == ["connections_evicted"]
