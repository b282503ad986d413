"""Check how a channel sends queued messages, and how it ends."""

from __future__ import annotations

from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest
from tests.conftest import run_virtual

from brasstray.batch.ids import BatchId
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message_channel import MessageChannel
from brasstray.peer.pool_messages import FULL_FRAME_MESSAGES

SECOND = timedelta(seconds=1)
MESSAGES = [StopTasks(batch=BatchId(f"{number:016x}")) for number in range(5)]


class Stream:
    """Deliver `frames`, then stay silent; `sent` holds the frames sent."""

    def __init__(self, frames=()):
        self.frames = list(frames)
        self.sent = []
        self.oversized = []
        self.closed = False

    async def send(self, messages):
        self.sent.append(messages)
        return [each for each in messages if each in self.oversized]

    async def receive(self):
        if not self.frames:
            await anyio.sleep_forever()
        return self.frames.pop(0)

    async def aclose(self):
        self.closed = True


class FailingStream(Stream):
    """Raise `error` in `method`."""

    def __init__(self, method, error):
        super().__init__()
        self._method = method
        self._error = error

    async def _fail_in(self, method):
        await anyio.sleep(0.01)
        if self._method == method:
            raise self._error

    async def send(self, messages):
        await self._fail_in("send")
        return await super().send(messages)

    async def receive(self):
        await self._fail_in("receive")
        return await super().receive()

    async def aclose(self):
        await self._fail_in("aclose")
        await super().aclose()


def make_channel(stream, on_message=lambda _: None, on_oversized=lambda _: None):
    return MessageChannel(stream, SECOND, on_message, on_oversized)


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
        channel = make_channel(stream, handle)
        await channel.run()

    channel, stream = None, Stream([MESSAGES[:split], MESSAGES[split:]])
    run_virtual(run)
    assert handled == MESSAGES[: last + 1]
    assert not channel.open
    assert stream.closed


# Guards against one failed connection that ends the process, and all jobs in it.
@pytest.mark.parametrize(
    "error",
    [
        AttributeError("'NoneType' object has no attribute 'call_soon'"),
        RuntimeError("unable to perform operation on closed transport"),
        OverflowError("too large"),
        MemoryError(),
        OSError("broken pipe"),
        RecursionError(),
    ],
    ids=lambda error: type(error).__name__,
)
@pytest.mark.parametrize("method", ["send", "receive", "aclose"])
def test_an_error_of_a_stream_ends_its_connection_alone(method, error):
    async def run():
        channel = make_channel(FailingStream(method, error))
        channel.send(MESSAGES[0])
        return await channel.run()

    assert repr(error) in run_virtual(run)


# Guards against errors of the host itself that would be taken for those of a link.
def test_an_error_of_a_handler_is_passed_on():
    def handle(message):
        raise ValueError(message)

    async def run():
        await make_channel(Stream([MESSAGES]), handle).run()

    with pytest.raises(ExceptionGroup):
        run_virtual(run)


# Guards against a message that cannot be sent and takes others with it, or is dropped
# without a trace.
@pytest.mark.parametrize("place", range(len(MESSAGES)))
def test_a_message_that_is_too_large_is_reported_alone(place):
    reported, stream = [], Stream()
    stream.oversized = [MESSAGES[place]]

    async def run():
        channel = make_channel(stream, on_oversized=reported.append)
        for message in MESSAGES:
            channel.send(message)
        return await channel.run()

    assert run_virtual(run) == "silent"
    assert reported == [MESSAGES[place]]
    assert [m for part in stream.sent for m in part] == MESSAGES


# Guards against a host that does nothing else while it sends what a large job needs.
@pytest.mark.parametrize("count", [1, 199, 200, 201, 4_000, 13_000])
def test_many_messages_are_sent_in_parts_with_pauses_between(count):
    stream, turns = Stream(), 0

    async def count_turns():
        nonlocal turns
        while True:
            await anyio.lowlevel.checkpoint()
            turns += 1

    async def run():
        async with anyio.create_task_group() as group:
            channel = make_channel(stream)
            for number in range(count):
                channel.send(StopTasks(batch=BatchId(f"{number:016x}")))
            group.start_soon(channel.run)
            group.start_soon(count_turns)
            while sum(map(len, stream.sent)) < count:
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()

    anyio.run(run)
    parts = -(-count // FULL_FRAME_MESSAGES)
    assert len(stream.sent) == parts
    assert turns >= parts - 1


# Guards against requests of an ended job that still go out, and keep an owner busy.
def test_withdrawn_messages_are_not_sent():
    stream = Stream()

    async def run():
        channel = make_channel(stream)
        for message in MESSAGES:
            channel.send(message)
        channel.withdraw(lambda message: message in MESSAGES[1:3])
        return await channel.run()

    run_virtual(run)
    assert stream.sent == [[MESSAGES[0], *MESSAGES[3:]]]
