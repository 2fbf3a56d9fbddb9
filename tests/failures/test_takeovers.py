import json
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import given, scenarios, then, when

scenarios("takeovers.feature")

PARTITIONS = 64
# More than the writes of a scenario.
ALL_WRITES = 1_000_000


def opened(deployment: Any) -> dict[tuple[int, int], list[str]]:
    """Returns the entries that logged the opening of each partition and epoch."""
    found: dict[tuple[int, int], list[str]] = {}
    for entry in deployment.entries:
        for line in deployment.procs[entry].events:
            if line.get("event") == "partition_opened":
                found.setdefault((line["partition"], line["epoch"]), []).append(entry)
    return found


@given("a shop and three entries")
def _three_entries(deployment: Any) -> None:
    deployment.add_upstream("up-shop", "shop", deployment.start_plain("shop-1"))
    for entry in ("entry-1", "entry-2"):
        deployment.add_entry(entry)
    # Without a data folder, so that no copy is lost with it.
    deployment.add_entry("entry-3", disk=False)
    deployment.wait_settled()


@given("a program at the third entry")
def _program(deployment: Any, world: Any) -> None:
    # An entry opens new programs in partitions that it has opened, which follows the change of the
    # table by some time; before that it picks any partition, also one of another owner.
    def has_opened_own() -> bool:
        own = [rec for rec in deployment.records() if rec.owner.host == "entry-3"]
        done = opened(deployment)
        return bool(own) and all("entry-3" in done.get((r.partition, r.epoch), []) for r in own)

    wait_until(has_opened_own, 30.0)
    world.program = deployment.open("entry-3", "shop")
    world.owner = deployment.owner_of(world.program)
    assert world.owner == "entry-3"


def lost_answers(deployment: Any) -> int:
    url = f"http://{deployment.kv_address}/standin/counters"
    counters = json.loads(deployment.http.request("GET", url, timeout=10.0).data)
    return int(counters["calls"].get("lost", 0))


@when("the key-value service loses the answers to all writes")
def _lost_answers(deployment: Any) -> None:
    deployment.set_faults(deployment.kv_address, lose_answers=ALL_WRITES)


@when("the caller sends an order that the shop executes slowly")
def _slow_order(deployment: Any, world: Any, make_order: Any) -> None:
    deployment.set_faults(deployment.upstreams["up-shop"], delay_ms=3000)
    world.request = make_order(world.program)
    world.pending = deployment.in_background(world.owner, world.request)
    wait_until(deployment.orders)


@when("the caller asks again at both other entries at once")
def _ask_both(deployment: Any, world: Any) -> None:
    others = [entry for entry in deployment.entries if entry != world.owner]
    pending = [deployment.callers.submit(deployment.ask, each, world.request) for each in others]
    world.answers = [fut.result() for fut in pending]


@then("both have the receipt of that order")
def _receipts(deployment: Any, world: Any) -> None:
    executed = deployment.orders()[0]
    assert executed["body"] == world.request.body.decode()
    for answer in world.answers:
        assert answer.status == 200, answer
        assert json.loads(answer.body)["receipt"] == executed["n"]


@then("every partition has been opened by one process at each epoch")
def _one_opening(deployment: Any, world: Any) -> None:
    def all_taken() -> bool:
        return all(record.owner.host != world.owner for record in deployment.records())

    wait_until(all_taken)
    taken = [key for key, (entry, *_) in opened(deployment).items() if entry == world.owner]
    assert lost_answers(deployment) >= len({partition for partition, _ in taken})
    assert not {key: entries for key, entries in opened(deployment).items() if len(entries) > 1}


@then("every partition is owned by the process that opened it last")
def _owners(deployment: Any) -> None:
    def is_opened() -> bool:
        done = opened(deployment)
        records = deployment.records()
        owners = [done.get((rec.partition, rec.epoch)) == [rec.owner.host] for rec in records]
        return len(owners) == PARTITIONS and all(owners)

    wait_until(is_opened)
