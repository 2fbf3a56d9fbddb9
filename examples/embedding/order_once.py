"""Embeds the parts of the library in one process: an order outlives the owner that sent it."""

import threading

from endiveworks.calls.executor import Executor
from endiveworks.calls.fifo import fifo_queue
from endiveworks.calls.messages import CallKey, Job, RevokeOutcome
from endiveworks.calls.poll_client import ReadRequest
from endiveworks.calls.stream import Chunk, FinalStatus, Stream
from endiveworks.config.bundle import EMPTY, CostWeights, Service, TenantSettings
from endiveworks.errors import Code, Failure
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.programs.plan import PlacementRequest, Upstreams
from endiveworks.programs.requests import CallRequest, OpenRequest
from returns.result import Failure as Err
from returns.result import Result, Success

PARTITION = 1
TENANT = "signs"
HOST = "shop-1"
INCARNATION = 7
WAIT_S = 10.0
SHOP = Service(
    name="shop",
    kind="plain",
    model="",
    classes={"front": 0},
    default_class="front",
    tenants={"*": TenantSettings(1.0, 1000)},
    at_most_once=frozenset({"order"}),
    checks_fencing=False,
    weights=CostWeights(1.0, 1.0),
    deadline_s=30.0,
    max_tokens=1,
    slots=2,
)
BUNDLE = EMPTY._replace(version=1, services={"shop": SHOP})
MEMBER = Member(HOST, "in this process", "upstream", "shop", "west", "west-1", INCARNATION)


class Shop:
    """A service that takes orders, and holds each until it is told to go on.

    Attributes:
        orders: Bodies of the orders executed.
        begun: Set once an order has been executed.
        go_on: Lets the answers out.
    """

    def __init__(self) -> None:
        self.orders: list[bytes] = []
        self.begun = threading.Event()
        self.go_on = threading.Event()

    def run(self, job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        """Executes one order and appends its receipt to the answer."""
        self.orders.append(job.body)
        self.begun.set()
        self.go_on.wait(WAIT_S)
        stream.append(b'{"receipt": %d}' % len(self.orders))
        return FinalStatus(200, "application/json")


def links_to(executor: Executor) -> Upstreams:
    """Returns the functions by which an owner reaches an executor in the same process."""

    def choose(wanted: PlacementRequest) -> Result[Member, Failure]:
        return Success(MEMBER)

    def submit(member: Member, job: Job) -> Result[None, Failure]:
        return executor.submit(job)

    def read(host: str, key: CallKey, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        return executor.read(key, offset, wait_s)

    def tail(host: str, want: ReadRequest, *_: object) -> Result[Chunk, Failure]:
        detail = "answers are read whole in this example"
        return Err(Failure(Code.UNREACHABLE, "example.tail", host, detail))

    def revoke(
        host: str, key: CallKey, incarnation: int, epoch: int
    ) -> Result[RevokeOutcome, Failure]:
        return Success(executor.revoke(key, incarnation, epoch))

    return Upstreams(choose, submit, read, tail, revoke, lambda *ended: None)


def answer_of(owner: Owner, program: str) -> bytes:
    """Waits for the end of a program's first call and returns its answer."""
    while True:
        chunk = owner.read(program, 1, 0, WAIT_S).unwrap()
        if chunk.final_status is not None:
            return chunk.data


def main() -> None:
    """Dispatches an order at one owner and has its answer from the next."""
    shop = Shop()
    executor = Executor(HOST, INCARNATION, fifo_queue(HOST, 16), shop.run, lambda: SHOP.slots)
    logs = open_memory_logs()
    first, second = (Owner(links_to(executor), lambda: BUNDLE) for _ in range(2))
    first.add_partition(PARTITION, 1, logs(PARTITION, 1).unwrap()).unwrap()
    opening = OpenRequest(
        service="shop", class_name="", budget_tokens=0, parent="", request_key="open-1"
    )
    program = first.open(PARTITION, TENANT, opening).unwrap()["id"]
    order = CallRequest(program, 1, TENANT, "shop", "order", "order-1", b'{"item": "fascia"}')
    first.submit(order).unwrap()
    shop.begun.wait(WAIT_S)
    # A higher epoch seals the log; the first owner can't store anything any more.
    second.add_partition(PARTITION, 2, logs(PARTITION, 2).unwrap()).unwrap()
    second.submit(order).unwrap()
    shop.go_on.set()
    print("answer:", answer_of(second, program).decode())
    print("orders executed:", len(shop.orders))


if __name__ == "__main__":
    main()
