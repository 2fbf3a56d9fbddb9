from endiveworks.links.link_share import LinkShare

RATE = 1000.0


class Clock:
    """A clock that advances only in sleep."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def sleep(self, seconds: float) -> None:
        self.now_s += seconds


def share_at(clock: Clock) -> LinkShare:
    return LinkShare(RATE, lambda: clock.now_s, clock.sleep)


class TestBulk:
    def test_a_size_above_the_burst_waits_and_is_not_refused(self) -> None:
        clock = Clock()
        assert share_at(clock).wait(50_000)
        assert 45.0 < clock.now_s <= 50.0

    def test_leaves_the_reserve_for_control(self) -> None:
        clock = Clock()
        share = share_at(clock)
        share.wait(50_000)
        assert share.available_bytes() >= RATE / 2

    def test_waits_for_the_debt_of_earlier_control(self) -> None:
        clock = Clock()
        share = share_at(clock)
        share.record_control(10_000)
        assert share.available_bytes() < 0
        share.wait(1)
        assert clock.now_s > 8.0

    def test_stops_waiting_when_the_callback_returns_false(self) -> None:
        clock = Clock()
        assert not share_at(clock).wait(50_000, lambda: clock.now_s < 5.0)
        assert clock.now_s < 10.0
