from typing import Any, cast

import msgspec
from endiveworks.calls.stream import Stream
from endiveworks.config.bundle import EMPTY, CostWeights, Service
from endiveworks.engines.chat_format import parse_request
from endiveworks.members.member import Member
from endiveworks.programs.plan import CallContext, PlacementRequest, Plan, Upstreams, make_job
from endiveworks.programs.records import CHAT, CallStarted

BODY = b'{"messages":[{"role":"user","content":"hello"}]}'
SERVICE = Service(
    "m", "model", "m1", {"a": 0}, "a", {}, frozenset(), False, CostWeights(1, 1), 9.0, 50, 1
)
STARTED = CallStarted("0001-a", 1, "m", CHAT, "", "", 80, False, BODY)
PLACEMENT = PlacementRequest(SERVICE, "0001-a", "t", "a", "", 10, 20, 50, 0, frozenset())
PLAN = Plan(
    STARTED, PLACEMENT, (b'{"role":"system","content":"s"}',), 3, parse_request(BODY).unwrap()
)
MEMBER = Member("u", "", "upstream", "m", "", "", 7)
CTX = CallContext(cast(Any, None), 4, cast(Upstreams, None), lambda: EMPTY, lambda: False)


class TestMakeJob:
    def test_sends_the_history_and_the_maximum_length(self) -> None:
        job = make_job(CTX, PLAN, MEMBER, Stream())
        sent = msgspec.json.decode(job.body)
        assert job.key == ("0001-a", 1, 3) and job.epoch == 4 and job.incarnation == 7
        assert [message["role"] for message in sent["messages"]] == ["system", "user"]
        assert job.max_tokens == sent["max_tokens"] == 50

    def test_a_partial_response_is_continued_up_to_the_maximum_length(self) -> None:
        stream = Stream()
        for word in ("one ", "two "):
            event = msgspec.json.encode({"choices": [{"delta": {"content": word}}]})
            stream.append(b"data: " + event + b"\n\n", 1)
        job = make_job(CTX, PLAN, MEMBER, stream)
        sent = msgspec.json.decode(job.body)
        assert sent["messages"][-1] == {"role": "assistant", "content": "one two "}
        assert job.max_tokens == sent["max_tokens"] == 48
