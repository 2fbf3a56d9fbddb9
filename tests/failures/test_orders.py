import json
import socket
from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import scenarios, then, when

scenarios("orders.feature")


@when("the caller sends the same order to both entries at once")
def _both(deployment: Any, world: Any, make_order: Any) -> None:
    world.request = make_order(world.program)
    pending = [deployment.in_background(entry, world.request) for entry in deployment.entries]
    world.answers = [fut.result(60.0) for fut in pending]


@then("both answers are the same receipt")
def _same_receipt(deployment: Any, world: Any) -> None:
    first, second = world.answers
    assert first.status == second.status == 200
    assert first.body == second.body
    assert json.loads(first.body)["receipt"] == deployment.orders()[0]["n"]


@when("the caller sends an order and closes its connection")
def _gone(deployment: Any, world: Any, make_order: Any) -> None:
    req = world.request = make_order(world.program)
    host, port = deployment.entries["entry-1"].split(":")
    head = (
        f"POST {req.path} HTTP/1.1\r\nHost: {host}\r\nEndive-Tenant: signs\r\n"
        f"Endive-Program: {req.program}\r\nEndive-Call: {req.call}\r\n"
        f"Idempotency-Key: {req.key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(req.body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(head.encode() + req.body)
        wait_until(deployment.orders)
