"""Check that jobs survive failures of hosts, minions and the store.

In every scenario, no task may run twice at the same time and no minion may exceed its
capacity: `system.book.broken` lists violations of both rules.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from tests.host.load import Load, under_load

from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray.batch.task_name import TaskName
from brasstray.peer.message.run_tasks import RunTasks
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import (
    CONFIG_KEY,
    TASK_NEEDS,
    PoolSystemSize,
    make_batch,
)

SECOND = timedelta(seconds=1)


def ms(count):
    return timedelta(milliseconds=count)


def test_a_calm_system_serves_every_job_in_time(play_pools):
    async def scenario(system):
        async def nothing():
            return None

        return await under_load(system, nothing)

    load, system = play_pools(scenario)
    assert load.outcomes() == [BatchOutcome.SUCCEEDED] * 100
    assert max(took for _, _, took in load.results.values()) < ms(150)
    assert system.book.broken == []
    assert len(system.book.starts) == 300


@pytest.mark.parametrize(
    "failure", ["killed", "frozen", "cut off", "drained", "revoked"]
)
def test_jobs_survive_the_failure_of_an_owner(play_pools, failure):
    # The owner of a pool crashes, freezes, is partitioned, drains or loses its entry in
    # the store while jobs run. Another host must take the pool over and extend the
    # leases of the runs, so that jobs of callers at other hosts still succeed.
    async def scenario(system):
        async def inject_fault():
            name = system.owner()
            if failure == "killed":
                system.kill(name)
            elif failure == "frozen":
                system.hosts[name].gate.close()
                await system.clock.sleep(3 * SECOND)
                system.hosts[name].gate.open()
            elif failure == "cut off":
                system.network.cut({name: 1})
                system.store.cut.add(name)
                await system.clock.sleep(3 * SECOND)
                system.network.cut({})
                system.store.cut.clear()
            elif failure == "drained":
                system.hosts[name].host.drain()
            else:
                system.store.remove("brasstray/pools/dc0")

        name = system.owner()
        return name, await under_load(system, inject_fault)

    (failed_host, load), system = play_pools(scenario)
    elsewhere = [
        result.outcome
        for name, result, _ in load.results.values()
        if name != failed_host
    ]
    assert system.book.broken == []
    assert elsewhere.count(BatchOutcome.SUCCEEDED) == len(elsewhere)
    if failure in ("drained", "revoked"):
        assert load.succeeded == 100


def test_a_killed_owner_costs_its_data_centre_less_than_a_second(play_pools):
    # The owner is killed under load. Callers at the other hosts of its data centre may
    # wait for the takeover, but no longer than a second in all.
    async def scenario(system):
        async def inject_fault():
            system.kill(system.owner())

        return await under_load(system, inject_fault)

    load, _ = play_pools(scenario)
    assert max(took for _, _, took in load.results.values()) < SECOND


def test_a_cut_off_data_centre_serves_its_own_callers(play_pools):
    # A data centre is partitioned from the store and from the other data centres. Its
    # own minions must go on serving its callers.
    async def scenario(system):
        inside = {f"dc0-h{n}": 1 for n in range(3)}

        async def inject_fault():
            system.network.cut(inside)
            system.store.cut.update(inside)
            await system.clock.sleep(2 * SECOND)
            system.network.cut({})
            system.store.cut.clear()

        return await under_load(system, inject_fault)

    load, system = play_pools(scenario)
    assert system.book.broken == []
    assert load.succeeded >= 97


def test_the_owner_leaves_while_nobody_can_take_its_pool(play_pools):
    # The store becomes unavailable just as the owner is told to drain. If it left at
    # once, no host could take the pool over, and all callers of the data centre would
    # be refused. It must stay until it has a successor.
    async def scenario(system):
        async def inject_fault():
            system.store.down = True
            system.hosts[system.owner()].host.drain()
            await system.clock.sleep(2 * SECOND)
            system.store.down = False
            await system.clock.sleep(SECOND)

        name = system.owner()
        load = await under_load(system, inject_fault)
        return load, name, system.owner()

    (load, before, after), system = play_pools(scenario)
    assert load.succeeded == 100
    assert after != before
    assert system.book.broken == []


@pytest.mark.parametrize("seconds", [1, 4])
def test_jobs_survive_an_outage_of_the_store(play_pools, seconds):
    # The store is unavailable for seconds. Owners go on with their fencing tokens, as
    # no minion has seen a higher one, and no caller is affected.
    async def scenario(system):
        async def inject_fault():
            system.store.down = True
            await system.clock.sleep(seconds * SECOND)
            system.store.down = False

        return await under_load(system, inject_fault, jobs=150)

    load, system = play_pools(scenario)
    assert load.succeeded == 150
    assert system.book.broken == []


def test_runs_of_a_killed_host_end_before_its_jobs_are_sent_again(play_pools):
    # A host is killed with a job running, and clients resubmit such a job to another
    # host 1.3 s later. By then no task of the first try may still run, or the same task
    # would run twice at the same time.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(2_500))
        name = system.non_owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.submit, "a" * 16, name)
            await system.clock.sleep(ms(300))
            system.kill(name)
            await system.clock.sleep(ms(1_250))
            return [m.running for m in system.minions.values() if m.running]

    still_running, system = play_pools(scenario)
    assert still_running == []
    assert len(system.book.starts) == 3


def test_a_frozen_host_resumes_without_running_tasks_twice(play_pools):
    # A host freezes for three seconds with a job running, and the pool stops the tasks
    # of that job. When it resumes, it must neither start them again beside the job that
    # the client has resubmitted elsewhere, nor answer that they did not run.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(900))
        name = system.non_owner()
        gate = system.hosts[name].gate
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.submit, "b" * 16, name)
            await system.clock.sleep(ms(200))
            gate.close()
            await system.clock.sleep(ms(1_500))
            again = system.owner()
            group.start_soon(load.submit, "b" * 16, again)
            await system.clock.sleep(ms(1_500))
            gate.open()
        return load

    load, system = play_pools(scenario)
    assert system.book.broken == []


@pytest.mark.parametrize(
    ("what", "count"),
    [
        ("lost_responses", 1),
        ("lost_responses", 5),
        ("delayed_starts", 1),
        ("delayed_starts", 6),
    ],
)
def test_answers_of_minions_are_lost_or_orders_come_late(play_pools, what, count):
    # A minion does not answer a start: it has started the task, or starts it seconds
    # later, after the task was retried elsewhere. The run must be stopped, or the late
    # start must be refused, before the task starts again.
    async def scenario(system):
        async def inject_fault():
            for running in system.hosts.values():
                setattr(running.calls, what, count)
            await system.clock.sleep(5 * SECOND)

        return await under_load(system, inject_fault)

    load, system = play_pools(scenario)
    assert system.book.broken == []
    assert load.succeeded == 100


@pytest.mark.parametrize("failure", ["crashed", "cut off", "stuck", "slow", "failing"])
def test_jobs_survive_the_failure_of_a_minion(play_pools, failure):
    # One of four minions crashes, is partitioned, hangs, becomes slow or fails every
    # task. Its tasks must run elsewhere, once it is certain that their runs have ended,
    # and it must get no more tasks until it has proved to work.
    async def scenario(system):
        async def inject_fault():
            minion = system.minions["dc0-m1"]
            if failure == "crashed":
                minion.crash()
            elif failure == "cut off":
                for running in system.hosts.values():
                    running.calls.cut.add(minion.entry.id)
                await system.clock.sleep(2 * SECOND)
                for running in system.hosts.values():
                    running.calls.cut.clear()
            elif failure == "stuck":
                minion.stuck = True
            elif failure == "slow":
                minion.slowdown = 8.0
            else:
                minion.failing = True

        return await under_load(system, inject_fault)

    load, system = play_pools(scenario)
    assert system.book.broken == []
    assert load.succeeded >= 99
    late = sum(took > ms(400) for _, _, took in load.results.values())
    assert late <= 8


def test_a_job_that_fails_everywhere_is_answered_as_failed(play_pools):
    # A task that always fails is answered as failed after its last attempt, and the
    # minions that ran it are not suspected because of one bad job.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(60), fails=True)
        result = await system.submit(system.non_owner(), make_batch("c" * 16, 1))
        owner = system.hosts[system.owner()].host.owner
        return result, [m.health.suspected for m in owner.minions]

    (result, suspected), system = play_pools(scenario)
    assert result.outcome is BatchOutcome.FAILED
    assert result.reason is GiveUpReason.TASK_FAILED
    assert len(system.book.starts) == 3
    assert not any(suspected)


def test_tasks_of_a_disconnected_caller_are_stopped(play_pools):
    # A caller disconnects, so the result is no longer needed. Its queued tasks are
    # dropped and its running tasks are stopped, which frees capacity for other jobs.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(2_000))
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.submit, "d" * 16, system.non_owner())
            await system.clock.sleep(ms(200))
            group.cancel_scope.cancel()
        await system.clock.sleep(ms(100))
        return [m.running for m in system.minions.values() if m.running]

    still_running, _ = play_pools(scenario)
    assert still_running == []


def test_capacity_is_not_reused_before_a_stopped_run_has_ended(play_pools):
    # Minions are full when a caller disconnects. Its runs that are being stopped are no
    # longer reported as active, but take up to 50 ms to end. A task that starts in
    # their place before that makes the minion exceed its capacity.
    size = PoolSystemSize(data_centres=1, minions_each=2)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(400))
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()

            async def disconnect():
                with scope:
                    await system.submit(system.non_owner(), make_batch("d" * 16, 4))

            group.start_soon(disconnect)
            await system.clock.sleep(ms(50))
            load = Load(system, group)
            group.start_soon(load.submit, "e" * 16, system.non_owner())
            await system.clock.sleep(ms(50))
            scope.cancel()
            await system.clock.sleep(SECOND)
        return load

    load, system = play_pools(scenario, size)
    assert load.succeeded == 1
    assert system.book.broken == []


def test_unclaimed_runs_use_capacity_until_they_have_ended(play_pools):
    # The owner crashes with a job of its own caller running. Its successor finds runs
    # that no host claims, and whose size is unknown. It stops them, which takes up to
    # 50 ms, and new tasks must wait until they have ended.
    size = PoolSystemSize(data_centres=1, minions_each=2)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(2_000))
        name = system.owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group, width=4)
            group.start_soon(load.submit, "a" * 16, name)
            await system.clock.sleep(ms(50))
            system.kill(name)
            system.book.default_work = Work(TASK_NEEDS, ms(100))
            other = sorted(system.hosts)[0]
            group.start_soon(load.submit, "b" * 16, other)
            await system.clock.sleep(2 * SECOND)
        return load

    load, system = play_pools(scenario, size)
    assert load.succeeded == 1
    assert system.book.broken == []


@pytest.mark.parametrize("owner_is_new", [False, True])
def test_minions_missing_from_the_list_may_still_run_tasks(play_pools, owner_is_new):
    # A data centre was partitioned from the store, and the entries of most of its
    # minions have expired. Its owner is killed before they are back, and the successor
    # reads a list of one minion. If it assumes that there are no others, it starts the
    # tasks of a running job again, beside their runs on the unlisted minions.
    size = PoolSystemSize(data_centres=1, hosts_each=2)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(1_500))
        name, other = system.owner(), system.non_owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group, width=4)
            group.start_soon(load.submit, "a" * 16, other)
            await system.clock.sleep(ms(100))
            idle = next(m for m in system.minions.values() if not m.running)
            system.listed[:] = [idle.entry]
            await system.clock.sleep(ms(600))
            if owner_is_new:
                system.hosts[other].host.drain()
                system.start("dc0-h9", "dc0")
            system.kill(name)
            await system.clock.sleep(2 * SECOND)
        return load

    load, system = play_pools(scenario, size)
    assert system.book.broken == []
    if not owner_is_new:
        assert load.succeeded == 1
        assert len(system.book.starts) == 4


def test_an_owner_that_was_replaced_does_not_run_expired_tasks_again(play_pools):
    # The owner of a pool is partitioned from the store, the other hosts and the minion
    # that runs a task of its own caller. The successor reaches only that minion and
    # extends the lease of the run. The first owner, which assumes that the lease has
    # expired, must not start the task on the other minion while the run goes on.
    size = PoolSystemSize(data_centres=1, minions_each=2)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(4_000))
        name = system.owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group, width=1)
            group.start_soon(load.submit, "a" * 16, name)
            await system.clock.sleep(ms(50))
            busy = [m.entry.id for m in system.minions.values() if m.running]
            for host, running in system.hosts.items():
                cut = set(busy) if host == name else set(system.minions) - set(busy)
                running.calls.cut |= cut
            system.network.cut({name: 1})
            system.store.cut.add(name)
            await system.clock.sleep(2 * SECOND)
            group.cancel_scope.cancel()

    _, system = play_pools(scenario, size)
    assert system.book.broken == []


def test_wide_jobs_spill_to_the_other_data_centre(play_pools):
    # A job has more tasks than its data centre has free slots. The rest of its tasks go
    # to another data centre instead of waiting for the first ones to end.
    async def scenario(system):
        result = await system.submit(system.non_owner(), make_batch("e" * 16, 14))
        return result, {m.entry.data_centre for m in system.minions.values()}

    (result, _), system = play_pools(scenario)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert system.book.broken == []
    assert len(system.book.starts) == 14


def test_a_job_that_cannot_be_in_time_is_refused_as_not_run(play_pools):
    # Minions are full of long tasks, so a job with a short timeout cannot end in time.
    # It is refused at once as not run, with the time after which to retry.
    size = PoolSystemSize(data_centres=1, minions_each=1)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(2_000))
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.submit, "f" * 16, system.non_owner())
            await system.clock.sleep(ms(100))
            began = system.clock.monotonic()
            result = await system.submit(
                system.non_owner(), make_batch("0" * 16, 4), ms(200)
            )
            took = system.clock.monotonic() - began
            group.cancel_scope.cancel()
        return result, took

    (result, took), system = play_pools(scenario, size)
    assert result.outcome is BatchOutcome.NOT_RUN
    assert result.reason is GiveUpReason.OVERLOADED
    assert result.retry_after >= SECOND
    assert took < ms(200)
    assert not any(name.batch == "0" * 16 for name in system.book.starts)


def test_a_draining_minion_gets_no_new_tasks(play_pools):
    # A minion whose entry is marked as draining must get no more tasks.
    async def scenario(system):
        from dataclasses import replace

        async def drain_minion():
            target = system.minions["dc0-m1"]
            index = system.listed.index(target.entry)
            system.listed[index] = replace(target.entry, draining=True)
            await system.clock.sleep(SECOND)
            system.book.default_work = Work(TASK_NEEDS, ms(60))
            before = len(system.book.starts)
            drained = [len(target.running)]
            for _ in range(20):
                await system.clock.sleep(ms(50))
                drained.append(len(target.running))
            return before, drained

        seen = []

        async def record_drained():
            seen.append(await drain_minion())

        load = await under_load(system, record_drained)
        return load, seen[0][1]

    (load, drained), _ = play_pools(scenario)
    assert load.succeeded == 100
    assert not any(drained)


def test_a_minion_that_has_left_is_not_called_any_more(play_pools):
    # A minion crashes permanently and its entry is removed. Its owner probes it for a
    # while, as it may come back, and then must forget it. Otherwise each minion that
    # was ever replaced would be called ten times a second for as long as the host runs.
    async def scenario(system):
        minion = system.minions["dc0-m1"]
        minion.crash()
        system.listed.remove(minion.entry)
        await system.clock.sleep(5 * SECOND)
        calls = system.hosts[system.owner()].calls.calls
        before = calls[minion.entry.id]
        await system.clock.sleep(2 * SECOND)
        return calls[minion.entry.id] - before

    more, _ = play_pools(scenario)
    assert more == 0


def test_a_newer_configuration_reaches_a_host_without_the_store(play_pools):
    # A host cannot reach the store when an operator changes the configuration. It gets
    # the change from the owner of its pool, and no host reverts to an older version.
    async def scenario(system):
        name = system.non_owner()
        system.store.cut.add(name)
        system.set_config(7)
        await system.clock.sleep(SECOND)
        versions = [r.host.config.version for r in system.hosts.values()]
        system.store.put(CONFIG_KEY, b'{"version": 5}')
        await system.clock.sleep(SECOND)
        return versions, [r.host.config.version for r in system.hosts.values()]

    (first, second), _ = play_pools(scenario)
    assert first == [7] * 6
    assert second == [7] * 6


def test_every_host_is_killed_and_started_again(play_pools):
    # All hosts are killed at once, and the store still names the old owners. The
    # restarted hosts take the pools over without waiting for a lease to expire.
    async def scenario(system):
        for name in list(system.hosts):
            system.kill(name)
        system.start_all()
        await system.clock.sleep(ms(700))
        return await system.submit(system.non_owner(), make_batch("9" * 16))

    result, system = play_pools(scenario)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert system.book.broken == []


def test_a_new_owner_is_given_time_to_be_reached(play_pools):
    # Hosts are slow, and a connection to a new owner takes 250 ms. Hosts that have not
    # connected yet must not take the pool from it: each takeover adds load to all
    # hosts, so that the next owner is even slower, and in the end no caller is served.
    async def scenario(system):
        system.network.open_delay = ms(250)
        before = {}
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 100)
            await system.clock.sleep(SECOND)
            before = tokens(system)
            system.kill(system.owner())
        return load, before, tokens(system)

    def tokens(system):
        return {
            entry.name: entry.version
            for entry in system.store.entries("brasstray/pools/")
        }

    (load, before, after), system = play_pools(scenario)
    # The store counts its writes once for all keys: one takeover is one more.
    assert max(after.values()) - max(before.values()) == 1
    assert system.book.broken == []
    assert load.succeeded >= 95


def test_a_task_asked_for_again_waits_until_its_stopped_run_has_ended(play_pools):
    # A coordinator is silent for so long that the owner gives its tasks up and stops
    # them. Their minions are unreachable, so the runs go on until their leases expire.
    # The coordinator comes back and claims its tasks again: they must not start a
    # second time while their first runs still go on.
    batch = make_batch("a" * 16, 2, estimate=ms(1_600))

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(1_600))
        name = system.non_owner()
        owner = system.hosts[system.owner()]
        async with anyio.create_task_group() as group:
            group.start_soon(system.submit, name, batch)
            await system.clock.sleep(ms(300))
            owner.calls.cut.update(m for m, p in system.minions.items() if p.running)
            for link in owner.host.links:
                if link.name == name:
                    owner.host.owner.drop_requester(link)
            system.hosts[name].host.coordinator.claim(owner.host.owner.pool)

    _, system = play_pools(scenario)
    assert system.book.broken == []
    assert len(system.book.starts) == 4


def test_a_slow_host_takes_over_a_pool_of_many_minions(play_pools):
    # The owner of forty minions crashes, and its successor is slow: a call costs 5 ms
    # of CPU time. If it called all minions at once, each answer would exceed the
    # timeout of 60 ms, it would call all of them again, and it would serve no caller
    # any more.
    size = PoolSystemSize(data_centres=1, hosts_each=2, minions_each=40)

    async def scenario(system):
        for running in system.hosts.values():
            running.calls.call_cpu_time = ms(5)
        system.kill(system.owner())
        await system.clock.sleep(SECOND)
        owner = system.hosts[system.owner()].host.owner
        return [minion.reach.value for minion in owner.minions]

    reaches, _ = play_pools(scenario, size)
    assert reaches == ["leased"] * 40


def test_failing_jobs_do_not_delay_other_jobs(play_pools):
    # A caller submits tasks that fail wherever they run, one after the other, so that
    # each minion fails two in a row. A correct job must not wait until these healthy
    # minions are trusted again.
    size = PoolSystemSize(data_centres=1, hosts_each=2, minions_each=3)

    async def scenario(system):
        for number in range(4):
            job = f"{number:016x}"
            system.book.work_by_task[TaskName(BatchId(job), 0, 0)] = Work(
                TASK_NEEDS, ms(60), fails=True
            )
            await system.submit(system.non_owner(), make_batch(job, 1))
        began = system.clock.monotonic()
        result = await system.submit(system.non_owner(), make_batch("f" * 16, 6))
        return result, system.clock.monotonic() - began

    (result, took), _ = play_pools(scenario, size)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert took < ms(150)


@pytest.mark.parametrize("reachable_after", [ms(1_100), ms(2_500)])
def test_a_lease_is_extended_by_a_delayed_probe(play_pools, reachable_after):
    # A probe that extends the leases of all runs gets no answer. The minion executes it
    # more than a second later and counts the lease from then, and becomes unreachable.
    # Its runs outlive the time at which the owner expects every lease to have expired.
    # Their tasks must not start elsewhere meanwhile, and no others may start in their
    # place once the minion is back.
    size = PoolSystemSize(data_centres=1, hosts_each=2, minions_each=2)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(3_000))
        owner, name = system.owner(), system.non_owner()
        calls = system.hosts[owner].calls
        batch = make_batch("a" * 16, 2, estimate=ms(3_000))
        async with anyio.create_task_group() as group:
            group.start_soon(system.submit, name, batch)
            await system.clock.sleep(ms(300))
            calls.delayed_extensions, calls.call_delay = 2, ms(1_250)
            await system.clock.sleep(ms(600))
            calls.cut.update(m for m, p in system.minions.items() if p.running)
            await system.clock.sleep(reachable_after)
            calls.cut.clear()
            system.book.default_work = Work(TASK_NEEDS, ms(60))
            for number in range(10):
                job = make_batch(f"{number:016x}", 4)
                group.start_soon(system.submit, name, job)
                await system.clock.sleep(ms(100))

    _, system = play_pools(scenario, size)
    assert system.book.broken == []


class RequestingHost:
    """Request one task of a job from owners, and record their messages."""

    name = "asking"
    # Later than any time in a test: the requester is never silent.
    last_contact = timedelta(days=1)

    def __init__(self, job):
        self._job = job
        self.messages = []

    def send(self, message):
        self.messages.append(message)

    def request(self, *, claimed):
        return RunTasks(
            batch=self._job,
            step=0,
            indices=(0,),
            width=1,
            queue="saldo",
            service="verlofdienst",
            spec="",
            cpu_millis=TASK_NEEDS.cpu_millis,
            memory_mb=TASK_NEEDS.memory_mb,
            gpus=0,
            priority=0,
            estimate_ms=3_000,
            due_ms=5_000,
            useful_ms=15_000,
            limit_ms=15_000,
            attempts=3,
            claimed=claimed,
        )


def test_a_task_is_claimed_while_a_minion_has_not_been_reached_yet(play_pools):
    # The owner crashes. Its successor cannot reach the minion that runs a task, and
    # stops waiting for it. Then the coordinator, whose connection took long, claims the
    # task. As it is unknown whether the task still runs, it must be returned with an
    # unknown outcome and must not start elsewhere beside the first run.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(3_000))
        requester = RequestingHost("a" * 16)
        first = system.hosts[system.owner()].host.owner
        first.run_tasks(requester, requester.request(claimed=False))
        await system.clock.sleep(ms(200))
        busy = {m for m, target in system.minions.items() if target.running}
        for running in system.hosts.values():
            running.calls.cut |= busy
        system.kill(system.owner())
        await system.clock.sleep(ms(550))
        second = system.hosts[system.owner()].host.owner
        assert second.recovered
        second.run_tasks(requester, requester.request(claimed=True))
        await system.clock.sleep(ms(100))
        return requester.messages

    messages, system = play_pools(scenario)
    assert system.book.broken == []
    assert [message.outcome_unknown for message in messages] == [True]


def test_a_run_that_is_active_after_its_stop_keeps_its_capacity(play_pools):
    # A minion acknowledges a stop but does not execute it. The run goes on, and a task
    # that starts in its place would make the minion exceed its capacity.
    size = PoolSystemSize(data_centres=1, hosts_each=1, minions_each=1)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(600))
        name = system.owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group, width=2)
            system.hosts[name].calls.ignored_stops = 2
            with anyio.move_on_after(0.1):
                await load.submit("a" * 16, name)
            group.start_soon(load.submit, "b" * 16, name)
        return load

    load, system = play_pools(scenario, size)
    assert system.book.broken == []
    assert load.succeeded == 1


def test_an_entry_of_an_unknown_service_names_no_minion(play_pools):
    # Another program lists an entry under a service that the configuration does not
    # name. As it may not be a minion at all, it is not called; the others are used.
    async def scenario(system):
        stranger = replace(system.listed[0], id="stranger", service="printing")
        system.listed.append(stranger)
        await system.clock.sleep(2 * SECOND)
        owner = system.hosts[system.owner()].host.owner
        result = await system.submit(system.non_owner(), make_batch("7" * 16))
        return {minion.entry.id for minion in owner.minions}, result.outcome

    (known, outcome), _ = play_pools(scenario)
    assert known == {f"dc0-m{number}" for number in range(4)}
    assert outcome is BatchOutcome.SUCCEEDED
