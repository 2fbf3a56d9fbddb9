import json
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import given, scenarios, then, when

scenarios("memory.feature")

# More than the lease, the grace and two sweeps, 47 s together.
FREED_WITHIN_S = 60.0


def prefixes(deployment: Any) -> dict[str, int]:
    """Returns the engine's own list of the programs in its memory, with their tokens."""
    url = f"http://{deployment.upstreams['up-engine']}/cache/list"
    listed = json.loads(deployment.http.request("GET", url, timeout=10.0).data)
    return {**listed["prefixes"], **listed["exported"]}


@given("an engine, the process beside it and one entry")
def _engine(deployment: Any) -> None:
    deployment.add_upstream("up-engine", "assistant", deployment.start_engine("engine-1"))
    deployment.add_entry("entry-1")


@given("a program that has made a chat")
def _program(deployment: Any, world: Any, converse: Any) -> None:
    world.program = deployment.open("entry-1", "assistant")
    converse(deployment, world.program).say("entry-1", "a fascia board, please")


@when("the engine lists the program's prefix")
def _listed(deployment: Any, world: Any) -> None:
    assert set(prefixes(deployment)) == {world.program}


@when("entry-1 is killed")
def _killed(deployment: Any) -> None:
    deployment.procs["entry-1"].kill()


@then("the engine lists nothing once the lease has run out")
def _freed(deployment: Any) -> None:
    wait_until(lambda: not prefixes(deployment), FREED_WITHIN_S)


@then("the engine has released the program's prefix once")
def _released(deployment: Any, world: Any) -> None:
    released = [line for line in deployment.executed("engine-1") if line["event"] == "released"]
    assert [line["salt"] for line in released] == [world.program]
