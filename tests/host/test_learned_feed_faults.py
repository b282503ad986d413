"""Check reports under odd tokens, and of values that are right again."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import pytest
from tests.pool.learned import NOW, value

from brasstray.batch.ids import ConfigVersion, PoolId
from brasstray.host.learned_feed import REPORT_INTERVAL, LearnedFeed
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.pool_state import PoolState
from brasstray.pool.learned_values import LearnedValues

POOL = PoolId("a")
REPORT = {"m": {"m0": [20, 20, 0]}}


class Directory:
    def __init__(self):
        self.token = None

    def owned(self, pool):
        owner = SimpleNamespace(host="owner")
        return self.token and SimpleNamespace(owner=owner, token=self.token)

    def owns_other_pool(self, _):
        return False


class Links(list):
    @property
    def powers(self):
        return {link.name: 1.0 for link in self}


class Link:
    def __init__(self, name):
        self.name, self.sent = name, []

    def send(self, message):
        self.sent.append(message)


class Owner:
    def __init__(self, token):
        self.token, self.learned = token, LearnedValues()

    def adopt(self, values):
        self.learned = values

    def adopt_remote(self, _):
        return []


class Host:
    """Hold a feed with its surroundings."""

    def __init__(self, name):
        self.now, self.directory, self.links = NOW, Directory(), Links()
        self.ignored = []
        events = SimpleNamespace(
            values_adopted=lambda *_: None,
            values_ignored=lambda *args: self.ignored.append(args),
        )
        state = PoolState(
            incarnation=IncarnationId(name),
            pool=POOL,
            token=1,
            wait_ms=0,
            free_slots=0,
            ready=True,
            config_version=ConfigVersion(1),
        )
        self.feed = LearnedFeed(
            POOL,
            name,
            self.directory,
            self.links,
            lambda: state,
            SimpleNamespace(monotonic=lambda: self.now),
            events,
        )

    def own(self, token):
        self.directory.token = token
        owner = Owner(token)
        self.feed.start_tenure(owner, None)
        return owner

    def receive(self, token, report):
        self.directory.token = self.directory.token or token
        self.feed.receive(POOL, token, report)

    @property
    def minions(self):
        return self.feed._table(POOL).values.minions


def test_owner_after_the_key_was_made_anew_is_believed():
    """Guard against a pool whose reports are ignored for ever once tokens restart."""
    host = Host("b")
    host.directory.token = 900
    host.feed.receive(POOL, 900, {"m": {"m1": [20, 20, 0]}})
    host.directory.token = 3
    host.feed.receive(POOL, 3, REPORT)
    assert set(host.minions) == {"m0", "m1"}


def test_own_values_under_a_restarted_token_are_kept():
    """Guard against a former owner that drops what it learned under a low token."""
    host = Host("b")
    host.directory.token = 900
    host.feed.receive(POOL, 900, REPORT)
    owner = host.own(3)
    owner.learned = LearnedValues({"m2": value(2.0)})
    host.feed.end_tenure()
    assert "m2" in host.minions


@pytest.mark.parametrize("report", [REPORT, "nonsense"])
def test_report_under_an_absurd_token_does_not_silence_the_owner(report):
    """Guard against one faulty message after which no report counts."""
    host = Host("b")
    host.directory.token = 7
    host.feed.receive(POOL, 2**70, report)
    host.feed.receive(POOL, 7, {"m": {"m1": [20, 20, 0]}})
    assert "m1" in host.minions


@pytest.mark.parametrize("token", [6, 7])
def test_former_owner_never_overrules_a_newer_one(token):
    """Guard against a suspended owner that reports on its return."""
    host = Host("b")
    host.directory.token = 7
    host.feed.receive(POOL, 7, REPORT)
    host.directory.token = 8
    host.feed.receive(POOL, token, {"m": {"m0": [-20, 20, 0]}})
    host.feed.receive(POOL, 8, {})
    assert host.minions["m0"].ratio > 1


def test_value_that_is_right_again_replaces_that_of_an_earlier_owner():
    """Guard against a minion that a third owner still holds for slow.

    The first owner tells both successors so; the second finds that it is not, and has
    not yet told the third when it is lost.
    """
    second, third = Host("b"), Host("c")
    for host in (second, third):
        host.directory.token = 7
        host.feed.receive(POOL, 7, REPORT)
    owner = second.own(8)
    owner.learned = LearnedValues({"m0": value(1.0)})
    link = Link("c")
    second.links.append(link)
    second.feed.report_to(link)
    third.directory.token = 8
    for message in link.sent:
        third.feed.receive(POOL, message.token, message.learned)
    assert third.minions["m0"].ratio == pytest.approx(1.0, rel=0.05)


def test_value_that_is_right_again_is_told_on_a_new_link():
    """Guard against a host that keeps a value which was corrected while it was away."""
    host, first, again = Host("a"), Link("b"), Link("b")
    owner = host.own(7)
    owner.learned = LearnedValues({"m0": value(3.0)})
    host.links.append(first)
    host.feed.report_to(first)
    assert first.sent
    host.links[:] = [again]
    host.now += 2 * REPORT_INTERVAL
    owner.learned = LearnedValues({"m0": value(1.0, now=host.now)})
    host.feed.report_to(again)
    assert [list(message.learned["m"]) for message in again.sent] == [["m0"]]


def test_nothing_is_told_of_a_value_that_never_differed():
    """Guard against bytes on a site of even minions."""
    host, link = Host("a"), Link("b")
    host.own(7).learned = LearnedValues({"m0": value(1.05)})
    host.links.append(link)
    for _ in range(40):
        host.now += timedelta(seconds=2)
        host.feed.report_to(link)
    assert link.sent == []


def test_names_that_were_told_are_dropped_with_their_minions():
    """Guard against memory that grows with each minion that ever was slow."""
    host, link = Host("a"), Link("b")
    owner = host.own(7)
    host.links.append(link)
    for number in range(20):
        host.now += REPORT_INTERVAL
        owner.learned = LearnedValues({f"m@{number}": value(3.0, now=host.now)})
        host.feed._report()
    assert len(link.sent) == 20
    assert len(host.feed._told.minions) == 1
