"""Starts a local deployment, runs a sample program on it and prints a report."""

import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple, TypeVar

from endiveworks.client.caller import Message, Program, connect
from endiveworks.client.transport import Deployment
from endiveworks.errors import Failure
from returns.result import Result, Success

from .callers import open_when_ready
from .fleet import Fleet, HostLocation

SERVICES = Path(__file__).parents[4] / "examples" / "services"
EAST = HostLocation("east", "east-1")
WEST = HostLocation("west", "west-1")
_TOOL_PAUSE_S = 0.5

T = TypeVar("T")


class Report(NamedTuple):
    """Duration and counts of the sample program."""

    seconds: float
    calls: int
    tokens: int
    orders_sent: int
    orders_executed: int


def start(fleet: Fleet) -> tuple[str, ...]:
    """Starts two entries, an engine, a plain service and the stand-ins that they need.

    Returns:
        The addresses of the entries for callers.
    """
    fleet.start_kv()
    fleet.publish(SERVICES)
    engine = fleet.start_engine("engine-1")
    shop = fleet.start_plain("shop-1")
    fleet.start_upstream("up-engine-1", EAST, "assistant", engine)
    fleet.start_upstream("up-shop-1", EAST, "shop", shop)
    return (fleet.start_entry("entry-1", EAST), fleet.start_entry("entry-2", WEST))


def run_sample(deployment: Deployment) -> Report:
    """Runs a program of dependent calls with a tool pause, a sub-agent and an order."""
    began = time.monotonic()
    program = _ready(deployment)
    print(f"program {program.id} opened")
    _say(program, "A customer wants a fascia board of 3 m by 60 cm. What do you need to know?")
    stock = _unwrap(program.call("shop", "lookup", {"item": "fascia", "width_cm": 300}))
    print(f"  tool: shop lookup -> {stock.body.decode()}")
    time.sleep(_TOOL_PAUSE_S)
    helper = _unwrap(program.open_sub_agent("assistant", budget_tokens=20_000))
    print(f"  sub-agent {helper.id} draws on the same budget")
    _say(helper, "Work out the price of the board from the stock list.")
    _unwrap(helper.close())
    _say(program, f"The stock list says: {stock.body.decode()}. Please make the offer.")
    number = program.next_call
    for _ in range(2):
        # The second request simulates a caller that lost the first response.
        program.next_call = number
        receipt = _unwrap(program.call("shop", "order", {"item": "fascia"}, key="order-1"))
        print(f"  order -> {receipt.body.decode()}")
    _say(program, "The order is placed. Please write a short confirmation.")
    status = _unwrap(program.close())
    seconds = time.monotonic() - began
    return Report(seconds, status["next_call"] - 1, status["attained_tokens"], 2, 0)


def main() -> int:
    """Runs the sample and prints the report; returns the exit status."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        print("starting the key-value service, one engine, one plain service and two entries")
        entries = start(fleet)
        report = run_sample(connect(entries, "signs"))
        executed = [line for line in fleet.executed("shop-1") if line["operation"] == "order"]
        report = report._replace(orders_executed=len(executed))
    print(
        f"done: {report.calls} calls and {report.tokens} tokens in {report.seconds:.2f} s; "
        f"the order was sent {report.orders_sent} times and executed {report.orders_executed} time"
    )
    return 0 if report.orders_executed == 1 else 1


def _ready(deployment: Deployment) -> Program:
    """Opens the program once the deployment has received its configuration."""
    return open_when_ready(deployment, "assistant", "front", 200_000)


def _say(program: Program, text: str) -> None:
    print(f"  > {text}")
    shown = 0

    def show(offset: int, part: str) -> None:
        nonlocal shown
        sys.stdout.write(part if offset >= shown else "")
        sys.stdout.flush()
        shown = offset + len(part)

    message = Message(role="user", content=text)
    sys.stdout.write("  < ")
    _unwrap(program.chat("assistant", [message], max_tokens=48, on_text=show))
    print()


def _unwrap(outcome: Result[T, Failure]) -> T:
    if not isinstance(outcome, Success):
        raise SystemExit(f"the sample failed: {outcome.failure()}")
    return outcome.unwrap()


if __name__ == "__main__":
    sys.exit(main())
