"""Check how the client handles replies, over HTTP on loopback."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray.client.client import Client
from brasstray.client.errors import UnreachableError
from brasstray.clock.loop import LoopClock
from brasstray.http.exchange import HttpResponse, read_body
from brasstray.http.server import HttpServer, listen
from brasstray.job.answer import Answer, not_yet_known_answer, refused_answer
from brasstray.job.ids import CallerName, KeyText
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason

KEY = KeyText("own~20261231T090000Z~dc-0~a")
PENDING = not_yet_known_answer(KEY, Reason.RUNNING, 1)
COMPLETE = Answer(key=KEY, outcome=Outcome.COMPLETE).with_digest()
REFUSED = refused_answer(None, Reason.BAD_REQUEST, "body: Invalid JSON")
TIMEOUT = timedelta(seconds=30)


def submit_with_replies(replies, timeout=TIMEOUT):
    """Return the client's answer when it gets `replies`, and its number of requests."""
    requested_paths = []

    async def app(scope, receive, send):
        await read_body(receive, 1_000)
        reply = replies[min(len(requested_paths), len(replies) - 1)]
        requested_paths.append(scope["path"])
        if isinstance(reply, Answer):
            body = reply.model_dump_json(exclude_none=True).encode()
            await HttpResponse(200, body).send(send)
        else:
            await HttpResponse(502, reply).send(send)

    async def main():
        listener = listen("127.0.0.1", 0)
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        async with anyio.create_task_group() as group:
            group.start_soon(HttpServer(app).run, listener)
            client = Client(url, CallerName("c"), LoopClock())
            try:
                return await client.submit_until_final(b"{}", KEY, timeout)
            finally:
                group.cancel_scope.cancel()

    return anyio.run(main), len(requested_paths)


@pytest.mark.parametrize(
    ("replies", "expected", "asked"),
    [
        ([COMPLETE], COMPLETE, 1),
        ([REFUSED], REFUSED, 1),
        ([PENDING, PENDING, COMPLETE], COMPLETE, 3),
        ([b"bad gateway", COMPLETE], COMPLETE, 2),
    ],
)
def test_a_submission_is_repeated_until_its_answer_is_final(replies, expected, asked):
    assert submit_with_replies(replies) == (expected, asked)


def test_no_valid_answer_raises_unreachable_error():
    with pytest.raises(BaseExceptionGroup) as caught:
        submit_with_replies([b"bad gateway"], timedelta(0))
    assert caught.group_contains(UnreachableError)
