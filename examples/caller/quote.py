"""Runs one agent program: a question, a look into the catalogue, and an order placed once."""

import sys

from endiveworks.client.caller import Program, connect, open_program
from returns.pipeline import is_successful


def show(offset: int, text: str) -> None:
    """Prints the answer as it grows."""
    sys.stdout.write(text)
    sys.stdout.flush()


def run(program: Program) -> None:
    """Makes the program's calls, each after the one before has ended."""
    question = {"role": "user", "content": "What does a fascia board of 3 m cost?"}
    program.chat("assistant", [question], max_tokens=200, on_text=show).unwrap()
    print()
    stock = program.call("shop", "lookup", {"item": "fascia"}).unwrap()
    print("stock:", stock.body.decode())
    # "order" stands in the service's at_most_once: a repeat never places a second order.
    order = program.call("shop", "order", {"item": "fascia"})
    if not is_successful(order):
        print("order:", order.failure())
        return
    print("order:", order.unwrap().body.decode())


def main() -> None:
    """Runs the program at the entries named on the command line."""
    deployment = connect(sys.argv[1:] or ["127.0.0.1:8080"], tenant="signs")
    program = open_program(deployment, "assistant", "front", budget_tokens=20_000).unwrap()
    run(program)
    program.close().unwrap()


if __name__ == "__main__":
    main()
