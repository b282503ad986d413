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
from brasstray.peer.messages import Acknowledgement, FenceTerm, HoldReply
from brasstray.peer.websocket_server import WebSocketServer

CALLER, SERVER = IncarnationId("dc.a.1"), IncarnationId("dc.b.1")
PREVIOUS_SERVER = IncarnationId("dc.b.0")
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
    async def scenario():
        listener, echo, outcomes = listen("127.0.0.1", 0), Echo(), []
        uri = f"ws://127.0.0.1:{listener.getsockname()[1]}"
        async with anyio.create_task_group() as group:
            group.start_soon(WebSocketServer(SERVER, echo).run, listener)
            link = PeerLink(CALLER, uri, group)
            for receiver, term, timeout in calls:
                try:
                    message = FenceTerm(term=term)
                    outcomes.append(await link.call(receiver, message, timeout))
                except (PeerNotReachedError, PeerReplyLostError) as error:
                    outcomes.append(type(error))
            group.cancel_scope.cancel()
        return outcomes, echo.handled

    return anyio.run(scenario)


@pytest.mark.parametrize(
    ("receiver", "term", "timeout", "expected", "handled"),
    [
        (SERVER, 2, LONG_TIMEOUT, HoldReply(held=True), 1),
        (None, 1, LONG_TIMEOUT, HoldReply(held=False), 1),
        (PREVIOUS_SERVER, 1, LONG_TIMEOUT, PeerNotReachedError, 0),
        (SERVER, 0, SHORT_TIMEOUT, PeerReplyLostError, 1),
    ],
)
def test_outcome_of_a_call(receiver, term, timeout, expected, handled):
    assert call_all([(receiver, term, timeout)]) == ([expected], handled)


def test_a_call_without_reply_does_not_block_others():
    outcomes, _ = call_all([(SERVER, 0, SHORT_TIMEOUT), (SERVER, 2, LONG_TIMEOUT)])
    assert outcomes == [PeerReplyLostError, HoldReply(held=True)]


def test_a_call_to_a_host_that_does_not_listen_fails():
    async def scenario():
        with listen("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]
        async with anyio.create_task_group() as group:
            link = PeerLink(CALLER, f"ws://127.0.0.1:{port}", group)
            with pytest.raises(PeerNotReachedError):
                await link.call(None, Acknowledgement(), LONG_TIMEOUT)

    anyio.run(scenario)


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x01", b"\xa1\x61a\x01"])
def test_malformed_envelopes_are_rejected(data):
    with pytest.raises(ValueError):  # noqa: PT011 -- any subclass of it
        Envelope.decode(data)


def test_envelope_round_trip():
    envelope = Envelope(
        kind=EnvelopeKind.CALL, number=7, sender=CALLER, message=FenceTerm(term=3)
    )
    assert Envelope.decode(envelope.encode()) == envelope
