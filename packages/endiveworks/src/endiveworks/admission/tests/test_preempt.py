from endiveworks.admission.preempt import RunningCall, choose_victim


class TestChooseVictim:
    def test_call_of_the_lowest_class_with_most_remaining_tokens_is_chosen(self) -> None:
        running = [RunningCall("a", 1, 500, 0, True), RunningCall("b", 2, 100, 0, True)]
        running.append(RunningCall("c", 2, 200, 0, True))
        preemption = choose_victim(running, 0)
        assert preemption is not None and preemption.key == "c"

    def test_calls_of_the_same_class_almost_done_preempted_or_not_resumable_are_not_chosen(
        self,
    ) -> None:
        running = [
            RunningCall("same", 1, 500, 0, True),
            RunningCall("done", 2, 1, 0, True),
            RunningCall("again", 2, 500, 1, True),
            RunningCall("once", 2, 500, 0, False),
        ]
        assert choose_victim(running, 1) is None
