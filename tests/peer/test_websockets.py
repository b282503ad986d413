"""Check calls between entry hosts over real websockets on loopback."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray.http.server import listen
from brasstray.job.ids import IncarnationId
from brasstray.peer.envelope import Envelope, EnvelopeKind
from brasstray.peer.errors import PeerNotReachedError, PeerReplyLostError
from brasstray.peer.link import PeerLink
from brasstray.peer.messages import Done, FenceTerm, HoldReply
from brasstray.peer.websocket_server import WebSocketServer

CALLER, SERVER = IncarnationId("dc.a.1"), IncarnationId("dc.b.1")
REPLACED = IncarnationId("dc.b.0")
LONG_TIMEOUT, SHORT_TIMEOUT = timedelta(seconds=5), timedelta(seconds=0.05)


class Echo:
    """Reply immediately, except to term 0, which never gets a reply."""

    def __init__(self):
        self.handled = 0

    async def handle(self, sender, message):
        self.handled += 1
        if message.term == 0:
            await anyio.sleep_forever()
        return HoldReply(held=message.term == 2)


def call_all(calls):
    async def whole():
        listener, echo, ended = listen("127.0.0.1", 0), Echo(), []
        uri = f"ws://127.0.0.1:{listener.getsockname()[1]}"
        async with anyio.create_task_group() as group:
            group.start_soon(WebSocketServer(SERVER, echo).run, listener)
            link = PeerLink(CALLER, uri, group)
            for receiver, term, timeout in calls:
                try:
                    message = FenceTerm(term=term)
                    ended.append(await link.call(receiver, message, timeout))
                except (PeerNotReachedError, PeerReplyLostError) as error:
                    ended.append(type(error))
            group.cancel_scope.cancel()
        return ended, echo.handled

    return anyio.run(whole)


@pytest.mark.parametrize(
    ("receiver", "term", "timeout", "expected", "handled"),
    [
        (SERVER, 2, LONG_TIMEOUT, HoldReply(held=True), 1),
        (None, 1, LONG_TIMEOUT, HoldReply(held=False), 1),
        (REPLACED, 1, LONG_TIMEOUT, PeerNotReachedError, 0),
        (SERVER, 0, SHORT_TIMEOUT, PeerReplyLostError, 1),
    ],
)
def test_a_call_ends_as_it_should(receiver, term, timeout, expected, handled):
    assert call_all([(receiver, term, timeout)]) == ([expected], handled)


def test_a_call_without_reply_does_not_hold_up_others():
    ended, _ = call_all([(SERVER, 0, SHORT_TIMEOUT), (SERVER, 2, LONG_TIMEOUT)])
    assert ended == [PeerReplyLostError, HoldReply(held=True)]


def test_a_host_that_does_not_listen_is_not_reached():
    async def whole():
        with listen("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]
        async with anyio.create_task_group() as group:
            link = PeerLink(CALLER, f"ws://127.0.0.1:{port}", group)
            with pytest.raises(PeerNotReachedError):
                await link.call(None, Done(), LONG_TIMEOUT)

    anyio.run(whole)


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x01", b"\xa1\x61a\x01"])
def test_bytes_that_are_no_envelope_are_refused(data):
    with pytest.raises(ValueError):  # noqa: PT011 -- any subclass of it
        Envelope.decode(data)


def test_an_envelope_survives_the_wire():
    envelope = Envelope(
        kind=EnvelopeKind.CALL, number=7, sender=CALLER, message=FenceTerm(term=3)
    )
    assert Envelope.decode(envelope.encode()) == envelope
