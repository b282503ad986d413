"""Test submissions, refusals and repeated keys without failures."""

from __future__ import annotations

import pytest

from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray_standins.memory_system import RERUN, leave_job

GOOD_KEY = "own~20261231T090000Z~dc-0~a"


@pytest.mark.parametrize("tasks", [1, 7, 100, 1_700])
def test_a_job_gets_one_complete_answer(play, tasks):
    async def scenario(system):
        key = system.key("a")
        answer = await system.submit(system.non_leader(), key, leave_job(tasks, 20))
        again = await system.submit(system.leader(), key, leave_job(tasks, 20))
        return answer, again, system.starts_of(key)

    answer, again, starts = play(scenario)
    assert answer.outcome is Outcome.COMPLETE
    assert len(answer.tasks) == tasks
    assert again == answer
    assert list(starts.values()) == [1] * tasks


@pytest.mark.parametrize(
    ("key", "request_", "reason"),
    [
        (None, leave_job(1), Reason.KEY_REQUIRED),
        ("nonsense", leave_job(1), Reason.BAD_REQUEST),
        ("own~20270101T000000Z~dc-0~a", leave_job(1), Reason.KEY_TOO_LONG_LIVED),
        ("own~20261231T090000Z~atlantis~a", leave_job(1), Reason.BAD_REQUEST),
        (GOOD_KEY, leave_job(1, service="x"), Reason.UNKNOWN_SERVICE),
        (GOOD_KEY, leave_job(1, repeatable=True), Reason.BAD_REQUEST),
    ],
)
def test_an_invalid_submission_is_refused_and_runs_nothing(play, key, request_, reason):
    async def scenario(system):
        answer = await system.submit(system.leader(), key, request_)
        return answer, sum(sum(m.starts.values()) for m in system.minions.values())

    answer, starts = play(scenario)
    assert (answer.outcome, answer.reason) == (Outcome.REFUSED, reason)
    assert answer.detail
    assert starts == 0


def test_the_same_key_with_other_content_is_refused(play):
    async def scenario(system):
        key = system.key("a")
        first = await system.submit(system.leader(), key, leave_job(3))
        answers = [
            await system.submit(host, key, leave_job(4))
            for host in system.hosts.values()
        ]
        return first, answers, system.starts_of(key)

    first, answers, starts = play(scenario)
    assert first.outcome is Outcome.COMPLETE
    assert {answer.reason for answer in answers} == {Reason.KEY_CONFLICT}
    assert len(starts) == 3


def test_a_repeatable_job_needs_no_key(play):
    async def scenario(system):
        request = leave_job(3, service=RERUN, repeatable=True)
        return await system.submit(system.leader(), None, request)

    answer = play(scenario)
    assert answer.outcome is Outcome.COMPLETE
    assert answer.key.startswith("minted~")


def test_a_job_with_an_expired_key_may_have_run(play):
    async def scenario(system):
        return await system.submit(
            system.leader(), "own~20261231T075900Z~dc-0~a", leave_job(2)
        )

    answer = play(scenario)
    assert (answer.outcome, answer.reason) == (Outcome.FAILED, Reason.KEY_EXPIRED)
    assert {task.state.value for task in answer.tasks} == {"may have run"}
