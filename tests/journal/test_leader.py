"""Test the journal's leader with lost replies, outages, takeovers and expiry."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import anyio
import pytest
from tests.conftest import run_virtual

from brasstray.clock.loop import LoopClock
from brasstray.job.ids import CallerName, DataCentreName, IncarnationId, KeyText
from brasstray.job.job_id import JobId
from brasstray.job.outcome import Outcome
from brasstray.journal.errors import (
    CommitUnavailableError,
    DeposedError,
    JournalInDoubtError,
    KeyForgottenError,
    NewerTermError,
    ReplicaUnreachableError,
)
from brasstray.journal.journal import Journal
from brasstray.journal.records import Answered, Bound
from brasstray.journal.replica import Replica
from brasstray.journal.takeover import Takeover
from brasstray.journal.timing import JournalTiming
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.memory_system import STARTED

# A and B lead, X and Y execute jobs, and R1 and R2 are replicas.
A, B = IncarnationId("dc.a.1"), IncarnationId("dc.b.1")
X, Y = IncarnationId("dc.x.1"), IncarnationId("dc.y.1")
R1, R2 = IncarnationId("dc.r1.1"), IncarnationId("dc.r2.1")
TIMING = JournalTiming()


class DirectReplicas:
    """Call replicas in memory; those in `lost` don't reply."""

    def __init__(self):
        self.held = {R1: Replica(), R2: Replica()}
        self.lost = set()

    def _get(self, replica):
        if replica in self.lost:
            raise ReplicaUnreachableError(replica)
        return self.held[replica]

    async def hold(self, replica, term, copies):
        return self._get(replica).hold(term, copies)

    async def drop(self, replica, term, below):
        self._get(replica).drop(term, below)

    async def fence(self, replica, term):
        return self._get(replica).fence(term)

    def live(self):
        return [replica for replica in self.held if replica not in self.lost]


class Bench:
    """Provide a platform, replicas, and leaders that run in one task group."""

    def __init__(self, group):
        self.group = group
        self.clock = LoopClock(STARTED)
        self.platform = MemoryPlatform(self.clock)
        self.replicas = DirectReplicas()
        self.journal = Journal(self.platform, DataCentreName("dc"))

    async def lead(self, incarnation, replaced=0):
        takeover = Takeover(self.journal, self.replicas, self.clock, Random(1), TIMING)
        leader = await takeover.run(incarnation, replaced)
        self.group.start_soon(leader.writer.run)
        return leader

    def bound(self, name, executor=X, hours=2.0):
        expires = self.clock.now() + timedelta(hours=hours)
        job = JobId(caller=CallerName("c"), key=KeyText(name))
        return Bound(
            job=job, digest="0d", executor=executor, task_count=1, expires=expires
        )

    def answered(self, bound, outcome=Outcome.COMPLETE):
        return Answered(
            job=bound.job,
            executor=bound.executor,
            outcome=outcome,
            digest="0d",
            expires=bound.expires,
        )


def on_bench(story):
    async def whole():
        async with anyio.create_task_group() as group:
            await story(Bench(group))
            group.cancel_scope.cancel()

    run_virtual(whole)


def test_two_hosts_that_ask_at_once_get_one_binding():
    async def story(bench):
        leader = await bench.lead(A)
        got = []

        async def ask(executor):
            got.append((await leader.bind(bench.bound("k", executor))).executor)

        async with anyio.create_task_group() as group:
            group.start_soon(ask, X)
            group.start_soon(ask, Y)
        assert len(set(got)) == 1

    on_bench(story)


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_lost_reply_neither_loses_nor_repeats_a_record(lost):
    """Guard against a record that is lost or repeated after a lost reply.

    The platform writes a segment but its reply is lost, so the leader's retry conflicts
    with its own segment. The key must be bound once, also for the next leader.
    """

    async def story(bench):
        leader = await bench.lead(A)
        bench.platform.switches.lose_replies = lost
        await leader.bind(bench.bound("k", X))
        await anyio.sleep(30)
        assert not leader.writer.offline
        later = await bench.lead(B, leader.writer.term)
        assert (await later.bind(bench.bound("k", Y))).executor == X

    on_bench(story)


def test_a_deposed_leader_commits_nothing():
    async def story(bench):
        old = await bench.lead(A)
        new = await bench.lead(B, old.writer.term)
        assert (await new.bind(bench.bound("k", Y))).executor == Y
        with pytest.raises(DeposedError):
            await old.bind(bench.bound("k", X))
        with pytest.raises(DeposedError):
            await old.look_up(bench.bound("k").job)

    on_bench(story)


def test_a_candidate_that_missed_a_term_deposes_nobody():
    async def story(bench):
        leader = await bench.lead(A)
        with pytest.raises(NewerTermError) as caught:
            await bench.lead(B, leader.writer.term - 1)
        assert (caught.value.term, caught.value.leader) == (leader.writer.term, A)

    on_bench(story)


@pytest.mark.parametrize(
    ("lost", "bound_key", "other_key"),
    [
        ((), X, Y),
        ((R1,), X, JournalInDoubtError),
        ((R2,), X, JournalInDoubtError),
        ((R1, R2), JournalInDoubtError, JournalInDoubtError),
    ],
)
def test_a_key_bound_in_an_outage_is_never_bound_again(lost, bound_key, other_key):
    """Guard against a second binding of a key that was bound in an outage.

    The leader binds a key through its replicas, and another host takes over when the
    platform is back. If it reaches all replicas it knows all bindings. If not, any
    unknown key is in doubt, since it may have been bound on a missing replica.
    """

    async def story(bench):
        old = await bench.lead(A)
        bench.platform.switches.down = True
        assert (await old.bind(bench.bound("k", X))).executor == X
        assert old.writer.offline
        bench.replicas.lost.update(lost)
        bench.platform.switches.down = False
        new = await bench.lead(B, old.writer.term)
        for name, expected in (("k", bound_key), ("l", other_key)):
            if expected in (X, Y):
                assert (await new.bind(bench.bound(name, Y))).executor == expected
            else:
                with pytest.raises(expected):
                    await new.bind(bench.bound(name, Y))

    on_bench(story)


@pytest.mark.parametrize("lost", [(), (R1,), (R2,)])
def test_without_an_outage_one_replica_is_enough(lost):
    async def story(bench):
        old = await bench.lead(A)
        await old.bind(bench.bound("j", X))
        bench.replicas.lost.update(lost)
        new = await bench.lead(B, old.writer.term)
        assert (await new.bind(bench.bound("k", Y))).executor == Y
        assert (await new.bind(bench.bound("j", Y))).executor == X

    on_bench(story)


def test_offline_nothing_counts_before_every_replica_has_the_notice():
    async def story(bench):
        leader = await bench.lead(A)
        bench.replicas.lost.add(R2)
        bench.platform.switches.down = True
        with pytest.raises(CommitUnavailableError):
            await leader.bind(bench.bound("k", X))
        bench.replicas.lost.clear()
        await anyio.sleep(1)
        assert (await leader.bind(bench.bound("k", X))).executor == X
        bench.replicas.lost.add(R1)
        assert (await leader.bind(bench.bound("l", X))).executor == X

    on_bench(story)


def test_a_fence_and_an_answer_exclude_each_other():
    async def story(bench):
        leader = await bench.lead(A)
        first, second = bench.bound("j", X), bench.bound("k", X)
        assert await leader.answer(bench.answered(first)) is not None
        await leader.fence(X)
        assert await leader.answer(bench.answered(second)) is None
        again = await leader.answer(bench.answered(first, Outcome.FAILED))
        assert again.outcome is Outcome.COMPLETE
        later = await bench.lead(B, leader.writer.term)
        assert later.is_fenced(X)
        assert await later.answer(bench.answered(second)) is None

    on_bench(story)


def test_nobody_is_fenced_while_the_platform_is_down():
    async def story(bench):
        leader = await bench.lead(A)
        bench.platform.switches.down = True
        await leader.bind(bench.bound("k", X))
        with pytest.raises(CommitUnavailableError):
            await leader.fence(X)
        assert not leader.is_fenced(X)

    on_bench(story)


def test_a_forgotten_key_is_never_taken_for_a_new_one():
    """Guard against a second binding of an expired key.

    A caller repeats a request after the leader and the journal have removed the key's
    binding. Both this leader and the next must reject the key.
    """

    async def story(bench):
        leader = await bench.lead(A)
        old = bench.bound("k", X, hours=0.05)
        await leader.bind(old)
        await anyio.sleep(1_200)
        assert leader.remembered == 0
        assert len(await bench.journal.read(after=-1)) <= 3
        with pytest.raises(KeyForgottenError):
            await leader.bind(old)
        later = await bench.lead(B, leader.writer.term)
        with pytest.raises(KeyForgottenError):
            await later.bind(old)

    on_bench(story)


def test_segments_of_earlier_terms_are_dropped_too():
    """Guard against a journal that grows with each change of leader.

    The list of segments was kept only in memory, so a new leader never deleted the
    segments of earlier terms, and each takeover had to read them all.
    """

    async def story(bench):
        term = 0
        for number in range(6):
            leader = await bench.lead(A if number % 2 else B, term)
            await leader.bind(bench.bound(f"k{number}", X, hours=0.05))
            term = leader.writer.term
        before = len(await bench.journal.read(after=-1))
        await anyio.sleep(1_200)
        after = await bench.journal.read(after=-1)
        assert before > 12
        assert len(after) <= 3

    on_bench(story)


def test_a_released_term_leaves_no_doubt():
    async def story(bench):
        leader = await bench.lead(A)
        await leader.bind(bench.bound("j", X))
        await leader.release()
        await anyio.sleep(1)
        assert leader.writer.deposed
        bench.replicas.lost.update((R1, R2))
        later = await bench.lead(B, leader.writer.term)
        assert (await later.bind(bench.bound("k", Y))).executor == Y

    on_bench(story)
