"""Check how a host fetches a newer configuration from other hosts."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest
from tests.conftest import run_virtual

from brasstray.batch.configuration import Configuration
from brasstray.batch.ids import ConfigVersion
from brasstray.clock.loop import LoopClock
from brasstray.host.config_exchange import PART_BYTES, requested_part
from brasstray.host.config_fetch import ConfigFetch
from brasstray.host.current_config import CurrentConfig
from brasstray.host.evacuations import Evacuations
from brasstray.host.operator_feed import OperatorFeed
from brasstray.host.operator_source import OperatorEntries, UnreadableConfigError
from brasstray.host.timing import HostTiming
from brasstray.store.errors import HistoryLostError, StoreUnavailableError

TIMING = HostTiming()
SECOND = timedelta(seconds=1)
# Four parts, the last of them short.
TEXT_SIZE = 3 * PART_BYTES + 100


def configuration(version, size=TEXT_SIZE):
    text = b"%d:" % version + b"r" * (size - 2)
    return Configuration(ConfigVersion(version), (), text=text)


class EventRecorder:
    """Record the events of a host."""

    def __init__(self):
        self.recorded = []

    def __getattr__(self, name):
        return lambda *args: self.recorded.append((name, *args))

    def count(self, name):
        return sum(event[0] == name for event in self.recorded)


class ScriptedStore:
    """Answer each request with the next of `answers`, and block after the last.

    An answer is a version, None for no change, or an error.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def read(self):
        return await self._answer("read")

    async def watch(self, after, wait):
        return await self._answer("watch")

    async def _answer(self, question):
        await anyio.sleep(0.01)
        self.asked.append(question)
        if not self.answers:
            await anyio.sleep_forever()
        answer = self.answers.pop(0)
        if isinstance(answer, UnreadableConfigError):
            return OperatorEntries(None, len(self.asked), unreadable=str(answer))
        if isinstance(answer, Exception):
            raise answer
        found = None if answer is None else configuration(answer)
        return OperatorEntries(found, len(self.asked))

    def parse(self, text):
        if text.startswith(b"9"):
            raise UnreadableConfigError("nonsense")
        return Configuration(ConfigVersion(int(text.split(b":")[0])), (), text=text)


class Peer:
    """Answer at most `answers` requests to one host with parts."""

    def __init__(self, fetch, name, version, answers=1_000, delay=0.01):
        self.fetch, self.name, self.answers, self.delay = fetch, name, answers, delay
        self.current = configuration(version)
        self.asked = []

    def offer(self, group):
        def ask(wanted):
            self.asked.append(wanted.offset)
            if len(self.asked) <= self.answers:
                group.start_soon(self._answer, wanted)

        self.fetch.offer(self.name, self.current.version, ask)

    async def _answer(self, wanted):
        await anyio.sleep(self.delay)
        self.fetch.receive_part(self.name, requested_part(wanted, self.current))


def run_with_fetch(scenario, store=None):
    """Run `scenario` with a fetch, its configuration and events; return its result."""

    async def run_scenario():
        events, clock = EventRecorder(), LoopClock()
        config = CurrentConfig(store or ScriptedStore(), events)
        fetch = ConfigFetch(config, clock, TIMING, events)
        async with anyio.create_task_group() as group:
            group.start_soon(fetch.run)
            result = await scenario(fetch, config, events, group)
            group.cancel_scope.cancel()
        return result

    return run_virtual(run_scenario)


def test_a_text_is_requested_once_however_often_its_version_is_offered():
    # Heartbeats keep naming the newer version while its text is in transit over a slow
    # link. Each of them used to cause another transfer of the whole text.
    async def scenario(fetch, config, events, group):
        peer = Peer(fetch, "a", 2, delay=0.3)
        for _ in range(20):
            peer.offer(group)
            await anyio.sleep(0.15)
        return peer.asked, config.version

    asked, version = run_with_fetch(scenario)
    assert version == 2
    assert asked == [0, PART_BYTES, 2 * PART_BYTES, 3 * PART_BYTES]


def test_the_store_is_given_time_to_deliver_the_change():
    # A heartbeat names a version that the store is about to deliver to every host.
    async def scenario(fetch, config, events, group):
        peer = Peer(fetch, "a", 2)
        peer.offer(group)
        await anyio.sleep(TIMING.config_fetch_delay.total_seconds() / 2)
        config.adopt(configuration(2), "store")
        await anyio.sleep(1)
        return peer.asked

    assert run_with_fetch(scenario) == []


def test_another_host_continues_a_fetch_that_timed_out():
    # The first host fails after two parts. Received parts are not fetched again.
    async def scenario(fetch, config, events, group):
        first, second = Peer(fetch, "a", 2, answers=2), Peer(fetch, "b", 2)
        first.offer(group)
        second.offer(group)
        await anyio.sleep(2)
        return (
            first.asked,
            second.asked,
            config.version,
            events.count("config_not_told"),
        )

    first, second, version, silent = run_with_fetch(scenario)
    assert first == [0, PART_BYTES, 2 * PART_BYTES]
    assert second == [2 * PART_BYTES, 3 * PART_BYTES]
    assert (version, silent) == (2, 1)


def test_a_host_that_timed_out_is_retried_after_its_next_offer():
    async def scenario(fetch, config, events, group):
        peer = Peer(fetch, "a", 2, answers=1)
        peer.offer(group)
        await anyio.sleep(2)
        asked = list(peer.asked)
        peer.answers = 1_000
        peer.offer(group)
        await anyio.sleep(2)
        return asked, peer.asked[len(asked) :], config.version

    before, after, version = run_with_fetch(scenario)
    assert before == [0, PART_BYTES]
    assert after == [PART_BYTES, 2 * PART_BYTES, 3 * PART_BYTES]
    assert version == 2


def test_a_newer_version_replaces_the_one_being_fetched():
    async def scenario(fetch, config, events, group):
        peer = Peer(fetch, "a", 2)
        peer.offer(group)
        start = TIMING.config_fetch_delay.total_seconds()
        await anyio.sleep(start + 0.025)
        peer.current = configuration(3)
        await anyio.sleep(2)
        return config.current

    assert run_with_fetch(scenario).text == configuration(3).text


def test_a_text_that_cannot_be_read_is_not_fetched_again():
    # Every heartbeat still names the version, and every fetch of it would fail again.
    async def scenario(fetch, config, events, group):
        peers = [Peer(fetch, "a", 9), Peer(fetch, "b", 9)]
        for _ in range(10):
            for peer in peers:
                peer.offer(group)
            await anyio.sleep(0.3)
        return len(peers[0].asked) + len(peers[1].asked), config.current

    assert run_with_fetch(scenario) == (4, None)


def test_a_delayed_part_does_not_revert_a_change():
    # A delayed part arrives after a newer configuration is in force.
    async def scenario(fetch, config, events, group):
        config.adopt(configuration(3), "store")
        old = configuration(2, size=100)
        wanted = type("Wanted", (), {"version": 2, "offset": 0})
        fetch.receive_part("a", requested_part(wanted, old))
        await anyio.sleep(1)
        return config.version, events.count("config_unneeded")

    assert run_with_fetch(scenario) == (3, 1)


@pytest.mark.parametrize(
    ("answers", "reads"),
    [
        ((1, None, 2), 1),
        ((1, StoreUnavailableError("busy"), StoreUnavailableError("reset"), 2), 1),
        ((1, HistoryLostError("config"), 2), 2),
        ((StoreUnavailableError("busy"), 1, 2), 2),
        ((UnreadableConfigError("nonsense"), 2), 1),
    ],
)
def test_the_store_is_read_in_full_only_where_nothing_else_helps(answers, reads):
    # While the store fails repeatedly, each retry used to read the whole text again:
    # hundreds of kilobytes for every host, seven times a second.
    store = ScriptedStore(*answers)

    async def scenario(fetch, config, events, group):
        clock = LoopClock()
        evacuations = Evacuations(frozenset(), clock, events)
        feed = OperatorFeed(store, config, evacuations, clock, TIMING, events)
        group.start_soon(feed.follow)
        await anyio.sleep(3)
        return config.version

    assert run_with_fetch(scenario, store) == 2
    assert store.asked.count("read") == reads
