"""Requests that are answered as a whole."""

from endiveworks.gateway.messages import Headers
from endiveworks.gateway.routes import Repeat

from .callers import Responder
from .exchange import Context, Exchange
from .obtain import Answer, failed, obtain
from .upstreams import AnswerError

_FIRST_SERVER_ERROR = 500
_OK = range(200, 300)


async def serve_plain(context: Context, ex: Exchange, responder: Responder) -> int:
    """Answers a request with a replica's whole answer and returns the status.

    Raises:
        UnservedError: There is none.
    """
    while True:
        answer = await obtain(context, ex, ex.body)
        body = await read_whole(context, ex, answer)
        if body is None:
            continue
        again = ex.route.may_repeat() and len(ex.ran_on) < ex.route.max_attempts
        if answer.head.status >= _FIRST_SERVER_ERROR and again:
            ex.excluded.add(answer.replica)
            context.fleet.blame(answer.replica)
            continue
        await responder.answer(answer.head.status, answer.head.headers, body)
        return answer.head.status


async def read_whole(context: Context, ex: Exchange, answer: Answer) -> bytes | None:
    """Returns the body of an answer; None when another replica should be tried.

    Raises:
        UnservedError: The answer is not whole, and the request may not be sent again.
    """
    whole = False
    try:
        if answer.head.status in _OK and not answer.head.signed:
            raise AnswerError("a success without the replica's signature")
        body = await answer.conn.body()
        whole = True
        if ex.route.repeat is not Repeat.STREAM:
            answer.work.note_answer()
        return body
    except (OSError, AnswerError) as exc:
        failed(context, ex, answer.replica, exc)
        return None
    finally:
        answer.close(whole)


def without_framing(headers: Headers) -> Headers:
    """Returns headers without those that say how the body ends."""
    return [(k, v) for k, v in headers if k.lower() != b"content-length"]
