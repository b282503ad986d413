"""Test how changes to the operators' table reach all hosts, on a virtual clock."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest
from pydantic import ValidationError

from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray.table.errors import TableConflictError, TableUnavailableError
from brasstray.table.row import TableRow
from brasstray.table.table import Table
from brasstray_standins.memory_system import LEAVE, SystemSize, leave_job

PROPAGATION_SECONDS = 3
THREE_DATA_CENTRES = SystemSize(data_centres=3, hosts_each=3)


def make_table(version, author="els", **cells):
    row = TableRow(service=LEAVE, **cells)
    token = f"{author}-{version}"
    return Table(version=version, rows=[row], author=author, token=token)


def versions_in_force(system):
    return {name: host.tables.table.version for name, host in system.hosts.items()}


def test_an_accepted_change_reaches_all_hosts_within_seconds(play):
    async def scenario(system):
        await system.host(0).tables.change(make_table(1, weight=2))
        await anyio.sleep(PROPAGATION_SECONDS)
        return versions_in_force(system), await system.host(2, 2).tables.versions()

    seen, reported = play(scenario, THREE_DATA_CENTRES)
    assert set(seen.values()) == {1}
    assert reported == seen


def test_concurrent_changes_lose_no_update(play):
    """Guard against a lost update when two operators edit the same version.

    Both changes are based on version 0. One is accepted, and the other is rejected
    with the current table and overwrites nothing.
    """

    async def scenario(system):
        outcomes = []

        async def change(number, author):
            try:
                wanted = make_table(1, author, weight=number + 1)
                outcomes.append(await system.host(number).tables.change(wanted))
            except TableConflictError as error:
                outcomes.append(error)

        async with anyio.create_task_group() as group:
            for number, author in enumerate(("els", "yann")):
                group.start_soon(change, number, author)
        await anyio.sleep(PROPAGATION_SECONDS)
        return outcomes, await system.host(2).tables.history()

    outcomes, history = play(scenario)
    [lost] = [o for o in outcomes if isinstance(o, TableConflictError)]
    [won] = [o for o in outcomes if isinstance(o, Table)]
    assert lost.current == won
    assert history == [won]


def test_a_change_whose_reply_is_lost_is_applied_once(play):
    """Guard against a change that is applied twice or rejected on a retry.

    The platform writes the change but its reply is lost, so the operator's command
    sends it again. The retry succeeds, and the history contains the change once.
    """

    async def scenario(system):
        system.platform.faults.lose_replies = 1
        with pytest.raises(TableUnavailableError):
            await system.host(0).tables.change(make_table(1))
        changed = await system.host(1).tables.change(make_table(1))
        return changed, await system.host(2).tables.history()

    changed, history = play(scenario)
    assert changed.version == 1
    assert [t.version for t in history] == [1]


def test_a_partitioned_data_centre_keeps_its_table_until_it_heals(play):
    """Check a change made while one data centre is partitioned from the others.

    Hosts inside the partition can't learn of the new version and keep the old one.
    They adopt the new version within seconds after the partition heals.
    """

    async def scenario(system):
        await system.host(0).tables.change(make_table(1))
        await anyio.sleep(PROPAGATION_SECONDS)
        inside = {name for name in system.hosts if name.startswith("dc-2")}
        system.isolate(inside)
        system.set_platform_unreachable_for(inside)
        await system.host(0).tables.change(make_table(2))
        await anyio.sleep(PROPAGATION_SECONDS)
        during = versions_in_force(system)
        system.network.heal()
        system.set_platform_unreachable_for(set())
        await anyio.sleep(PROPAGATION_SECONDS)
        return during, versions_in_force(system)

    during, after = play(scenario, THREE_DATA_CENTRES)
    assert {v for n, v in during.items() if n.startswith("dc-2")} == {1}
    assert {v for n, v in during.items() if not n.startswith("dc-2")} == {2}
    assert set(after.values()) == {2}


def test_a_starting_host_accepts_no_job_before_it_has_the_table(play):
    """Guard against a host that starts without the table and uses an empty one.

    An entry host restarts while the platform is down. It must accept no job until it
    has the table from the platform or a peer, since with an empty table it would run
    jobs of a service that operators have closed.
    """

    async def scenario(system):
        await system.host(0).tables.change(make_table(1, open=False))
        await anyio.sleep(PROPAGATION_SECONDS)
        system.platform.faults.down = True
        name = system.non_leader().config.host
        system.kill(name)
        host = system.start(name)
        await anyio.sleep(0)
        early = await host.jobs.submit(
            "c", system.key("a"), leave_job(1), timedelta(seconds=1)
        )
        system.platform.faults.down = False
        listed_after = timedelta(seconds=PROPAGATION_SECONDS)
        await system.clock.sleep(listed_after)
        late = await system.submit(host, system.key("b"), leave_job(1))
        return early, late, host.tables.table.version

    early, late, version = play(scenario, SystemSize(hosts_each=4))
    assert (early.outcome, early.reason) == (Outcome.NOT_YET_KNOWN, Reason.STARTING)
    assert (late.outcome, late.reason) == (Outcome.REFUSED, Reason.SERVICE_CLOSED)
    assert version == 1


def test_an_older_version_is_never_adopted(play):
    async def scenario(system):
        tables = system.host(0).tables
        await tables.change(make_table(1))
        await tables.change(make_table(2))
        tables.adopt(make_table(1))
        await anyio.sleep(PROPAGATION_SECONDS)
        return versions_in_force(system)

    assert set(play(scenario).values()) == {2}


def test_closing_a_service_keeps_the_answers_of_its_jobs(play):
    """Guard against a "refused, not run" answer for a job that has already run.

    Operators close the service after a job is complete, and the caller repeats its
    request. Every host returns the recorded answer, and only new jobs are refused.
    """

    async def scenario(system):
        key = system.key("a")
        first = await system.submit(system.non_leader(), key, leave_job(2))
        await system.host(0).tables.change(make_table(1, open=False, max_tasks=1))
        await anyio.sleep(PROPAGATION_SECONDS)
        again = [
            await system.submit(h, key, leave_job(2)) for h in system.hosts.values()
        ]
        fresh = await system.submit(system.host(1), system.key("b"), leave_job(2))
        return first, again, fresh

    first, again, fresh = play(scenario)
    assert first.outcome is Outcome.COMPLETE
    assert all(answer == first for answer in again)
    assert (fresh.outcome, fresh.reason) == (Outcome.REFUSED, Reason.SERVICE_CLOSED)


@pytest.mark.parametrize(
    ("cells", "reason"),
    [
        ({"max_tasks": 3}, Reason.LIMIT),
        ({"max_deadline_ms": 10}, Reason.LIMIT),
        ({"open": False}, Reason.SERVICE_CLOSED),
        ({"period": "2026-12", "open": False}, Reason.SERVICE_CLOSED),
    ],
)
def test_a_jobs_limits_are_those_of_its_row(play, cells, reason):
    async def scenario(system):
        await system.host(0).tables.change(make_table(1, **cells))
        await anyio.sleep(PROPAGATION_SECONDS)
        return await system.submit(system.host(1), system.key("a"), leave_job(4))

    answer = play(scenario)
    assert (answer.outcome, answer.reason) == (Outcome.REFUSED, reason)


@pytest.mark.parametrize(
    ("cells", "column"),
    [
        ({"weight": 0}, "weight"),
        ({"weight": "much"}, "weight"),
        ({"max_tasks": 1_701}, "max_tasks"),
        ({"open": "perhaps"}, "open"),
        ({"colour": "blue"}, "colour"),
        ({"period": "a b"}, "period"),
    ],
)
def test_the_error_names_the_invalid_column(cells, column):
    with pytest.raises(ValidationError) as caught:
        TableRow(service=LEAVE, **cells)
    assert [error["loc"][0] for error in caught.value.errors()] == [column]


def test_duplicate_rows_are_rejected():
    rows = [TableRow(service=LEAVE), TableRow(service=LEAVE, weight=2)]
    with pytest.raises(ValidationError, match="two rows"):
        Table(version=1, rows=rows)
