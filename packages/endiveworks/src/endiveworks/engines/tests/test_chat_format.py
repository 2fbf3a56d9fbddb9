import msgspec
import pytest
from endiveworks.engines.chat_format import (
    assemble,
    engine_request,
    parse_request,
    read_usage,
    render_events,
    token_counts,
)
from endiveworks.errors import Code

HELLO = b'{"role":"user","content":"hello"}'
EVENTS = (
    b'id: 1\ndata: {"id":"a","choices":[{"delta":{"role":"assistant","content":"good "}}]}\n\n'
    b'id: 2\ndata: {"id":"a","choices":[{"delta":{"content":"day"},"finish_reason":"stop"}]}\n\n'
    b'id: 3\ndata: {"id":"a","choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}}\n\n'
)


class TestParse:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"messages":[]}',
            b'{"messages":[{"content":"no role"}]}',
            b'{"messages":[' + HELLO + b'],"max_tokens":0}',
            b'{"messages":[' + HELLO + b'],"n":2}',
            b'{"messages":[' + HELLO + b'],"stream":"yes"}',
            b'{"messages":[{"role":"user","content":"\xff"}]}',
        ],
    )
    def test_a_malformed_request_is_refused(self, body: bytes) -> None:
        failure = parse_request(body).failure()
        assert failure.code is Code.BAD_REQUEST and failure.not_run

    def test_other_fields_are_passed_to_the_engine_unchanged(self) -> None:
        body = b'{"messages":[' + HELLO + b'],"temperature":0.50,"cache_salt":"x","model":"m"}'
        req = parse_request(body).unwrap()
        assert req.options == {"temperature": b"0.50"}

    def test_the_bound_covers_every_byte(self) -> None:
        req = parse_request(b'{"messages":[' + HELLO + b"]}").unwrap()
        assert req.new_prompt_tokens >= len(HELLO)


class TestEngineRequest:
    def test_the_history_goes_before_the_new_messages(self) -> None:
        req = parse_request(b'{"messages":[' + HELLO + b"]}").unwrap()
        request = msgspec.json.decode(engine_request("m", "p", [b'{"role":"system"}'], req, 9))
        assert [message["role"] for message in request["messages"]] == ["system", "user"]
        assert request["max_tokens"] == 9 and request["cache_salt"] == "p"

    def test_a_partial_response_is_continued(self) -> None:
        req = parse_request(b'{"messages":[' + HELLO + b"]}").unwrap()
        partial = b'{"role":"assistant","content":"good "}'
        request = msgspec.json.decode(engine_request("m", "p", [], req, 9, partial))
        assert request["messages"][-1]["content"] == "good "
        assert request["continue_final_message"] is True


class TestAssemble:
    def test_joins_the_deltas(self) -> None:
        whole = msgspec.json.decode(assemble(EVENTS))
        choice = whole["choices"][0]
        assert choice["message"] == {"role": "assistant", "content": "good day"}
        assert choice["finish_reason"] == "stop"
        assert token_counts(assemble(EVENTS)) == (7, 2, 0)

    def test_joins_the_parts_of_tool_calls(self) -> None:
        parts = (
            b'{"index":0,"id":"c1","function":{"name":"look"}}',
            b'{"index":0,"function":{"arguments":"{}"}}',
        )
        frame = b'data: {"choices":[{"delta":{"tool_calls":[%b]}}]}\n\n'
        whole = msgspec.json.decode(assemble(b"".join(frame % part for part in parts)))
        call = whole["choices"][0]["message"]["tool_calls"][0]
        assert call["id"] == "c1"
        assert call["function"] == {"name": "look", "arguments": "{}"}

    def test_a_rendered_completion_assembles_to_itself(self) -> None:
        whole = msgspec.json.decode(assemble(EVENTS))
        again = msgspec.json.decode(assemble(render_events(assemble(EVENTS))))
        assert again["choices"] == whole["choices"] and again["usage"] == whole["usage"]


class TestEventsOfEngines:
    """No response can be assembled from odd ones, which raised RecursionError and others there."""

    @pytest.mark.parametrize("event", EVENTS.split(b"\n\n")[:-1])
    def test_sound_events_become_a_response(self, event: bytes) -> None:
        data = event.partition(b"data: ")[2]
        assert read_usage(data) == msgspec.json.decode(data).get("usage", {})

    @pytest.mark.parametrize(
        "data",
        [
            b"[" * 100_000,
            b'{"x":' * 100_000,
            b"hello",
            b"null",
            b"[]",
            b'{"choices":7}',
            b'{"choices":[{"delta":7}]}',
            b'{"choices":[{"delta":{"content":7}}]}',
            b'{"choices":[{"delta":{"tool_calls":[{"index":1000000000}]}}]}',
            b'{"choices":[{"delta":{"tool_calls":[{"index":-1}]}}]}',
            b'{"usage":[1]}',
            b'{"usage":{"prompt_tokens":"x"}}',
            b'{"usage":{"prompt_tokens":-1}}',
            b'{"usage":{"prompt_tokens":1' + b"0" * 400 + b"}}",
        ],
    )
    def test_odd_events_are_refused(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            read_usage(data)
