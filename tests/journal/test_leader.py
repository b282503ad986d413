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
from brasstray.journal.records import JobAnswered, KeyBound
from brasstray.journal.replica import Replica
from brasstray.journal.takeover import Takeover
from brasstray.journal.timing import JournalTiming
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.memory_system import START_TIME

# A and B lead, X and Y execute jobs, and R1 and R2 are replicas.
A, B = IncarnationId("dc.a.1"), IncarnationId("dc.b.1")
X, Y = IncarnationId("dc.x.1"), IncarnationId("dc.y.1")
R1, R2 = IncarnationId("dc.r1.1"), IncarnationId("dc.r2.1")
TIMING = JournalTiming()


class InMemoryReplicas:
    """Call replicas in memory; those in `unreachable` don't reply."""

    def __init__(self):
        self.replicas = {R1: Replica(), R2: Replica()}
        self.unreachable = set()

    def _get(self, replica):
        if replica in self.unreachable:
            raise ReplicaUnreachableError(replica)
        return self.replicas[replica]

    async def hold(self, replica, term, copies):
        return self._get(replica).hold(term, copies)

    async def drop(self, replica, term, below):
        self._get(replica).drop(term, below)

    async def fence(self, replica, term):
        return self._get(replica).fence(term)

    def candidates(self):
        return [replica for replica in self.replicas if replica not in self.unreachable]


class JournalHarness:
    """Provide a platform, replicas, and leaders that run in one task group."""

    def __init__(self, group):
        self.group = group
        self.clock = LoopClock(START_TIME)
        self.platform = MemoryPlatform(self.clock)
        self.replicas = InMemoryReplicas()
        self.journal = Journal(self.platform, DataCentreName("dc"))

    async def start_leader(self, incarnation, replaced=0):
        takeover = Takeover(self.journal, self.replicas, self.clock, Random(1), TIMING)
        leader = await takeover.run(incarnation, replaced)
        self.group.start_soon(leader.writer.run)
        return leader

    def binding(self, name, executor=X, hours=2.0):
        expires = self.clock.now() + timedelta(hours=hours)
        job = JobId(caller=CallerName("c"), key=KeyText(name))
        return KeyBound(
            job=job, digest="0d", executor=executor, task_count=1, expires=expires
        )

    def answer_to(self, binding, outcome=Outcome.COMPLETE):
        return JobAnswered(
            job=binding.job,
            executor=binding.executor,
            outcome=outcome,
            digest="0d",
            expires=binding.expires,
        )


def run_with_harness(scenario):
    async def main():
        async with anyio.create_task_group() as group:
            await scenario(JournalHarness(group))
            group.cancel_scope.cancel()

    run_virtual(main)


def test_two_hosts_that_ask_at_once_get_one_binding():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        executors = []

        async def ask(executor):
            executors.append(
                (await leader.bind(harness.binding("k", executor))).executor
            )

        async with anyio.create_task_group() as group:
            group.start_soon(ask, X)
            group.start_soon(ask, Y)
        assert len(set(executors)) == 1

    run_with_harness(scenario)


@pytest.mark.parametrize("lost_replies", [1, 2, 3])
def test_a_lost_reply_neither_loses_nor_repeats_a_record(lost_replies):
    """Guard against a record that is lost or repeated after a lost reply.

    The platform writes a segment but its reply is lost, so the leader's retry conflicts
    with its own segment. The key must be bound once, also for the next leader.
    """

    async def scenario(harness):
        leader = await harness.start_leader(A)
        harness.platform.faults.lose_replies = lost_replies
        await leader.bind(harness.binding("k", X))
        await anyio.sleep(30)
        assert not leader.writer.offline
        later = await harness.start_leader(B, leader.writer.term)
        assert (await later.bind(harness.binding("k", Y))).executor == X

    run_with_harness(scenario)


def test_a_deposed_leader_commits_nothing():
    async def scenario(harness):
        old = await harness.start_leader(A)
        new = await harness.start_leader(B, old.writer.term)
        assert (await new.bind(harness.binding("k", Y))).executor == Y
        with pytest.raises(DeposedError):
            await old.bind(harness.binding("k", X))
        with pytest.raises(DeposedError):
            await old.look_up(harness.binding("k").job)

    run_with_harness(scenario)


def test_a_candidate_with_an_outdated_term_deposes_no_leader():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        with pytest.raises(NewerTermError) as caught:
            await harness.start_leader(B, leader.writer.term - 1)
        assert (caught.value.term, caught.value.leader) == (leader.writer.term, A)

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ("unreachable", "bound_key", "other_key"),
    [
        ((), X, Y),
        ((R1,), X, JournalInDoubtError),
        ((R2,), X, JournalInDoubtError),
        ((R1, R2), JournalInDoubtError, JournalInDoubtError),
    ],
)
def test_a_key_bound_in_an_outage_is_never_bound_again(
    unreachable, bound_key, other_key
):
    """Guard against a second binding of a key that was bound in an outage.

    The leader binds a key through its replicas, and another host takes over when the
    platform is back. If it reaches all replicas it knows all bindings. If not, any
    unknown key is in doubt, since it may have been bound on a missing replica.
    """

    async def scenario(harness):
        old = await harness.start_leader(A)
        harness.platform.faults.down = True
        assert (await old.bind(harness.binding("k", X))).executor == X
        assert old.writer.offline
        harness.replicas.unreachable.update(unreachable)
        harness.platform.faults.down = False
        new = await harness.start_leader(B, old.writer.term)
        for name, expected in (("k", bound_key), ("l", other_key)):
            if expected in (X, Y):
                assert (await new.bind(harness.binding(name, Y))).executor == expected
            else:
                with pytest.raises(expected):
                    await new.bind(harness.binding(name, Y))

    run_with_harness(scenario)


@pytest.mark.parametrize("unreachable", [(), (R1,), (R2,)])
def test_without_an_outage_one_replica_is_enough(unreachable):
    async def scenario(harness):
        old = await harness.start_leader(A)
        await old.bind(harness.binding("j", X))
        harness.replicas.unreachable.update(unreachable)
        new = await harness.start_leader(B, old.writer.term)
        assert (await new.bind(harness.binding("k", Y))).executor == Y
        assert (await new.bind(harness.binding("j", Y))).executor == X

    run_with_harness(scenario)


def test_offline_commits_wait_until_every_replica_has_the_marker():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        harness.replicas.unreachable.add(R2)
        harness.platform.faults.down = True
        with pytest.raises(CommitUnavailableError):
            await leader.bind(harness.binding("k", X))
        harness.replicas.unreachable.clear()
        await anyio.sleep(1)
        assert (await leader.bind(harness.binding("k", X))).executor == X
        harness.replicas.unreachable.add(R1)
        assert (await leader.bind(harness.binding("l", X))).executor == X

    run_with_harness(scenario)


def test_a_fence_and_an_answer_exclude_each_other():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        first, second = harness.binding("j", X), harness.binding("k", X)
        assert await leader.commit_answer(harness.answer_to(first)) is not None
        await leader.fence(X)
        assert await leader.commit_answer(harness.answer_to(second)) is None
        again = await leader.commit_answer(harness.answer_to(first, Outcome.FAILED))
        assert again.outcome is Outcome.COMPLETE
        later = await harness.start_leader(B, leader.writer.term)
        assert later.is_fenced(X)
        assert await later.commit_answer(harness.answer_to(second)) is None

    run_with_harness(scenario)


def test_fencing_fails_while_the_platform_is_down():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        harness.platform.faults.down = True
        await leader.bind(harness.binding("k", X))
        with pytest.raises(CommitUnavailableError):
            await leader.fence(X)
        assert not leader.is_fenced(X)

    run_with_harness(scenario)


def test_an_expired_key_is_never_bound_again():
    """Guard against a second binding of an expired key.

    A caller repeats a request after the leader and the journal have removed the key's
    binding. Both this leader and the next must reject the key.
    """

    async def scenario(harness):
        leader = await harness.start_leader(A)
        old = harness.binding("k", X, hours=0.05)
        await leader.bind(old)
        await anyio.sleep(1_200)
        assert leader.key_count == 0
        assert len(await harness.journal.read(after=-1)) <= 3
        with pytest.raises(KeyForgottenError):
            await leader.bind(old)
        later = await harness.start_leader(B, leader.writer.term)
        with pytest.raises(KeyForgottenError):
            await later.bind(old)

    run_with_harness(scenario)


def test_segments_of_earlier_terms_are_deleted():
    """Guard against a journal that grows with each change of leader.

    The list of segments was kept only in memory, so a new leader never deleted the
    segments of earlier terms, and each takeover had to read them all.
    """

    async def scenario(harness):
        term = 0
        for number in range(6):
            leader = await harness.start_leader(A if number % 2 else B, term)
            await leader.bind(harness.binding(f"k{number}", X, hours=0.05))
            term = leader.writer.term
        before = len(await harness.journal.read(after=-1))
        await anyio.sleep(1_200)
        after = await harness.journal.read(after=-1)
        assert before > 12
        assert len(after) <= 3

    run_with_harness(scenario)


def test_a_released_term_leaves_no_key_in_doubt():
    async def scenario(harness):
        leader = await harness.start_leader(A)
        await leader.bind(harness.binding("j", X))
        await leader.release()
        await anyio.sleep(1)
        assert leader.writer.deposed
        harness.replicas.unreachable.update((R1, R2))
        later = await harness.start_leader(B, leader.writer.term)
        assert (await later.bind(harness.binding("k", Y))).executor == Y

    run_with_harness(scenario)
