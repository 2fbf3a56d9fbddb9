import json
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import scenarios, then, when

scenarios("owners.feature")


@when("the other entry has taken over")
def _taken_over(deployment: Any, world: Any) -> None:
    other = deployment.other_entry(world.owner)
    wait_until(lambda: deployment.owner_of(world.program) == other)


@when("the caller makes its next order at the other entry")
def _next_order(deployment: Any, world: Any, make_order: Any) -> None:
    other = deployment.other_entry(world.owner)
    world.request = make_order(world.program)._replace(call=2)
    world.answers.append(deployment.ask(other, world.request))


@then("the last answer is the receipt of the second order")
def _second_receipt(deployment: Any, world: Any) -> None:
    first, second = deployment.orders()
    answer = world.answers[-1]
    assert answer.status == 200 and json.loads(answer.body)["receipt"] == second["n"]
    assert second["body"] == world.request.body.decode() != first["body"]


@then("the last outcome is given as unknown")
def _last_unknown(world: Any) -> None:
    assert world.answers[-1].code == "outcome_unknown", world.answers[-1]
    assert world.answers[-1].problem["not_run"] is False


@then("the last answer is the receipt of that order, or says nothing of it")
def _receipt_or_nothing(deployment: Any, world: Any) -> None:
    answer = world.answers[-1]
    if answer.status == 200:
        assert json.loads(answer.body)["receipt"] == deployment.orders()[0]["n"]
    else:
        assert not answer.problem.get("not_run"), answer


@then("asking again at each entry gives the receipt")
def _receipt_everywhere(deployment: Any, world: Any) -> None:
    for entry in deployment.entries:
        answer = deployment.ask(entry, world.request)
        assert answer.status == 200, answer
        assert json.loads(answer.body)["receipt"] == deployment.orders()[0]["n"]


@when("a sub-agent opened at the other entry has its order executed")
def _order_at_successor(deployment: Any, world: Any, make_order: Any) -> None:
    other = deployment.other_entry(world.owner)
    child = deployment.open(other, "shop", parent=world.program)
    world.request = make_order(child)
    answer = deployment.ask(other, world.request)
    assert answer.status == 200, answer


@when("the caller repeats that order at the frozen owner")
def _repeat_at_frozen(deployment: Any, world: Any) -> None:
    # The request waits in the frozen process and is the first thing it sees.
    world.pending = deployment.in_background(world.owner, world.request)
    wait_until(world.pending.running)
