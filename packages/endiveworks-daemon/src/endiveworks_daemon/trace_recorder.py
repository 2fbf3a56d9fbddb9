"""Records the chats of this host's programs as traces that endivectl replay reads."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

from endiveworks.calls.stream import Ending
from endiveworks.config.bundle import Service
from endiveworks.errors import Failure
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest, Upstreams
from endiveworks.replay.engine import Rates
from endiveworks.replay.trace import Call, Header, Place, encode_call, encode_header
from returns.result import Result

_MAX_PROGRAMS = 65_536
_MODEL = "model"


class _Past(NamedTuple):
    """What a program has done so far: chats, the end of the last, and the tool called since."""

    calls: int
    ended_s: float
    tool: str


class TraceRecorder:
    """Writes one file for each model service: the path given, a dot and the service's name.

    Lines hold lengths, times and names, never prompt text. Sub-agents are recorded as programs of
    their own, and the rates of the header are those of Rates.

    Args:
        path: Path that the service's name is added to.
        region: Region of this host.
        members: Returns the live processes by host.
    """

    def __init__(
        self, path: Path, region: str, members: Callable[[], Mapping[str, Member]]
    ) -> None:
        self._path = path
        self._region = region
        self._members = members
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self._past: OrderedDict[str, _Past] = OrderedDict()
        self._sent_s: OrderedDict[str, float] = OrderedDict()

    def sent(self, wanted: PlacementRequest) -> None:
        """Notes that a call is about to be sent; a repeated attempt keeps the first time."""
        with self._lock:
            self._sent_s.setdefault(wanted.program, time.monotonic())
            if len(self._sent_s) > _MAX_PROGRAMS:
                self._sent_s.popitem(last=False)

    def ended(self, wanted: PlacementRequest, ending: Ending) -> None:
        """Records a whole answer."""
        if ending.failure is not None:
            return
        with self._lock:
            now_s = time.monotonic()
            sent_s = self._sent_s.pop(wanted.program, now_s)
            past = self._past.pop(wanted.program, _Past(0, self._began_s, ""))
            if wanted.service.kind == _MODEL:
                self._write(wanted.service, _line(wanted, ending, past, sent_s, self._region))
                past = _Past(past.calls + 1, now_s, "")
            else:
                past = past._replace(tool=wanted.service.name)
            self._past[wanted.program] = past
            if len(self._past) > _MAX_PROGRAMS:
                self._past.popitem(last=False)

    def _write(self, service: Service, call: Call) -> None:
        path = self._path.with_name(f"{self._path.name}.{service.name}")
        begins = not path.exists()
        with path.open("ab") as file:
            if begins:
                file.write(encode_header(self._header(service)) + b"\n")
            file.write(encode_call(call) + b"\n")

    def _header(self, service: Service) -> Header:
        members = self._members().values()
        return Header(
            deployment=service.name,
            assumed="",
            seed=0,
            load=0.0,
            replicas=tuple(Place(m.host, m.region) for m in members if m.service == service.name),
            rates=Rates(),
            tenants={name: terms.weight for name, terms in service.tenants.items()},
            classes=dict(service.classes),
            weights=service.weights,
            deadline_s=service.deadline_s,
            link_bytes_per_s=15e6 / 8,
            link_delay_s=0.02,
            outcomes={},
        )


def recorded_upstreams(upstreams: Upstreams, recorder: TraceRecorder) -> Upstreams:
    """Returns the same functions, which also record the calls that pass through them."""

    def choose(wanted: PlacementRequest) -> Result[Member, Failure]:
        recorder.sent(wanted)
        return upstreams.choose(wanted)

    def on_ended(host: str, wanted: PlacementRequest, ending: Ending) -> None:
        upstreams.on_ended(host, wanted, ending)
        recorder.ended(wanted, ending)

    return upstreams._replace(choose=choose, on_ended=on_ended)


def _line(
    wanted: PlacementRequest, ending: Ending, past: _Past, sent_s: float, region: str
) -> Call:
    since_s = round(max(0.0, sent_s - past.ended_s), 3)
    first = past.calls == 0
    return Call(
        program=wanted.program,
        call=past.calls,
        at_s=since_s if first else 0.0,
        pause_s=0.0 if first else since_s,
        tool=past.tool,
        new_tokens=max(1, ending.prompt_tokens - wanted.history_tokens),
        output_tokens=max(1, ending.completion_tokens),
        tenant=wanted.tenant,
        class_name=wanted.class_name,
        region=region,
    )
