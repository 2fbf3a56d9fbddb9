from endiveworks.admission.refuse import Expected, judge


class TestRefusal:
    def test_call_that_can_be_served_in_time_waits(self) -> None:
        assert not judge(Expected(100.0, 10, 10.0, first=False), 0.0).refused

    def test_call_past_its_deadline_is_refused_at_once(self) -> None:
        refusal = judge(Expected(200.0, 10, 10.0, first=False), 0.0)
        assert refusal.refused
        assert refusal.retry_after_s == 10.0

    def test_first_call_bears_less(self) -> None:
        assert judge(Expected(60.0, 10, 10.0, first=True), 0.0).refused
        assert not judge(Expected(60.0, 10, 10.0, first=False), 0.0).refused

    def test_returns_are_spread(self) -> None:
        refusals = [judge(Expected(200.0, 10, 10.0, False), at / 10) for at in range(10)]
        assert len({refusal.retry_after_s for refusal in refusals}) == 10
