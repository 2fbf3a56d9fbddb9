import json
import threading
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import scenarios, then, when

scenarios("ordering.feature")

CALLS = 8
OUT_OF_ORDER = "call_out_of_order"


@when("a caller for each call sends it until it is served, the last calls first")
def _out_of_order(deployment: Any, world: Any, make_order: Any) -> None:
    requests = [
        make_order(world.program)._replace(
            call=number, key=f"call-{number}", body=json.dumps({"item": number}).encode()
        )
        for number in range(CALLS, 0, -1)
    ]

    def send(entry: str, request: Any) -> None:
        def served() -> bool:
            answer = deployment.ask(entry, request)
            world.answers.append(answer)
            return answer.status == 200

        wait_until(served)

    threads = [
        threading.Thread(target=send, args=(entry, request))
        for request in requests
        for entry in deployment.entries
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("the shop has executed them once each, in the order of their numbers")
def _in_order(deployment: Any) -> None:
    items = [json.loads(line["body"])["item"] for line in deployment.orders()]
    assert items == list(range(1, CALLS + 1))


@then("every refusal said that the call was not run")
def _refusals(world: Any) -> None:
    refused = [answer for answer in world.answers if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.code == OUT_OF_ORDER and answer.problem["not_run"], answer
