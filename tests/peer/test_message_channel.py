"""Check how a channel sends queued messages, and how it ends."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest
from tests.conftest import run_virtual

from brasstray.batch.ids import BatchId
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message_channel import MessageChannel

SECOND = timedelta(seconds=1)
MESSAGES = [StopTasks(batch=BatchId(f"{number:016x}")) for number in range(5)]


class Stream:
    """Deliver `frames`, then stay silent; `sent` holds the frames sent."""

    def __init__(self, frames=()):
        self.frames = list(frames)
        self.sent = []
        self.closed = False

    async def send(self, messages):
        self.sent.append(messages)

    async def receive(self):
        if not self.frames:
            await anyio.sleep_forever()
        return self.frames.pop(0)

    async def aclose(self):
        self.closed = True


# Guards against a request that is read from a link after it was closed, and whose
# sender has sent it elsewhere since.
@pytest.mark.parametrize("last", range(len(MESSAGES)))
@pytest.mark.parametrize("split", range(len(MESSAGES)))
def test_messages_that_were_not_handled_before_the_close_are_ignored(last, split):
    handled = []

    def handle(message):
        handled.append(message)
        if message is MESSAGES[last]:
            channel.close()

    async def run():
        nonlocal channel
        channel = MessageChannel(stream, SECOND, handle)
        await channel.run()

    channel, stream = None, Stream([MESSAGES[:split], MESSAGES[split:]])
    run_virtual(run)
    assert handled == MESSAGES[: last + 1]
    assert not channel.open
    assert stream.closed
