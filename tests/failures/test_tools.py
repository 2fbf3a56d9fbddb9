import json
import shutil
from pathlib import Path
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("tools.feature")

SERVICES = Path(__file__).parents[2] / "examples" / "services"
DEADLINE = "deadline_s = 30.0"
HANGS_MS = 3_600_000
BYTE_MS = 1_000


def lookups(deployment: Any) -> list[dict[str, Any]]:
    return [line for line in deployment.executed("shop-1") if line["operation"] == "lookup"]


@given(parsers.parse("the shop's deadline is {seconds:d} seconds"))
def _deadline(deployment: Any, seconds: int) -> None:
    folder = deployment.folder / "services"
    shutil.copytree(SERVICES, folder)
    path = folder / "shop.toml"
    text = path.read_text()
    assert DEADLINE in text
    path.write_text(text.replace(DEADLINE, f"deadline_s = {seconds}.0"))
    deployment.publish(folder)
    for entry in deployment.entries:
        adopted = deployment.procs[entry].events
        wait_until(lambda adopted=adopted: any(line.get("config_version") == 2 for line in adopted))


@given("the shop hangs")
def _hangs(deployment: Any) -> None:
    deployment.set_faults(deployment.upstreams["up-shop"], delay_ms=HANGS_MS)


@given("the shop sends its answers byte by byte")
def _byte_by_byte(deployment: Any) -> None:
    deployment.set_faults(deployment.upstreams["up-shop"], byte_ms=BYTE_MS)


@when("the shop answers again")
def _answers(deployment: Any) -> None:
    deployment.set_faults(deployment.upstreams["up-shop"])


@when("the caller sends a lookup")
def _lookup(deployment: Any, world: Any, make_order: Any) -> None:
    path = "/v1/services/shop/lookup"
    world.request = make_order(world.program)._replace(path=path)
    world.pending = deployment.in_background(world.owner, world.request)


@when("the shop has begun it")
def _begun(deployment: Any) -> None:
    wait_until(lambda: lookups(deployment))


@then("the program's next order gets its receipt")
def _next(deployment: Any, world: Any, make_order: Any) -> None:
    answer = deployment.ask(world.owner, make_order(world.program, 2))
    assert answer.status == 200, answer
    assert json.loads(answer.body)["receipt"] == deployment.orders()[1]["n"]


@then("the caller is refused with a time to ask again, and not as not run")
def _refused(world: Any) -> None:
    refusal = world.pending.result()
    assert refusal.status == 503, refusal
    assert refusal.problem["retry_after_s"] > 0, refusal
    assert refusal.problem["not_run"] is False, refusal


@then("the last answer is the receipt of its last execution")
def _last_receipt(deployment: Any, world: Any) -> None:
    answer = world.answers[-1]
    assert answer.status == 200, answer
    assert json.loads(answer.body)["receipt"] == lookups(deployment)[-1]["n"]
