"""Check that no task starts once its caller has given up."""

from __future__ import annotations

from random import Random

import pytest
import trio
from msgspec.structs import replace
from tests.pool.takeover import Requester, request, run_takeover
from tests.pool.test_takeover import ms

from brasstray.pool.errors import StartRefusal, StartRefusedError
from brasstray.pool.minion_session import MinionSession

WORK = ms(400)
DRAWS = 30


# Guards against a task that starts after its caller's limit, when it may be at work in
# another data centre: its coordinator was suspended and has not stopped it yet.
@pytest.mark.parametrize("seed", range(3))
def test_a_task_does_not_start_after_the_limit_of_its_job(seed):
    random = Random(seed)
    for _ in range(DRAWS):
        limit, width = ms(random.randrange(20, 800)), random.choice([1, 2])
        suspended = limit + ms(random.randrange(0, 3_000))

        async def scenario(pool, limit=limit, width=width, suspended=suspended):
            calls = pool.calls()
            send = calls.start

            async def shed(*args):
                calls.start = send
                raise StartRefusedError(StartRefusal.UNHEALTHY)

            calls.start = shed
            owner, _ = pool.start_owner(1, calls)
            await pool.list_all_minions(owner)
            await pool.clock.sleep(ms(150))
            waiting = request(claimed=False, width=width)
            waiting = replace(waiting, limit_ms=limit // ms(1), estimate_ms=1)
            last = pool.clock.monotonic() + limit
            owner.run_tasks(Requester(), waiting)
            await pool.clock.sleep(ms(random.randrange(1, 20)))
            # By the end of it, the minion does not rest any more.
            trio.lowlevel.current_clock().jump(suspended.total_seconds())
            await pool.clock.sleep(ms(500))
            return last

        pool, last = run_takeover(scenario, 1, duration=WORK)
        late = [s.at for s in pool.recorder.recorded_starts if s.at > last + ms(5)]
        assert late == [], (limit, suspended)


# Guards against a start that is sent long after it was decided, as the process was
# suspended in between: its lease has expired by then, and the minion rejects it.
@pytest.mark.parametrize("seed", range(3))
def test_the_lease_of_a_start_counts_from_the_decision(monkeypatch, seed):
    random = Random(seed)
    start = MinionSession.start
    for _ in range(DRAWS):
        delay = ms(random.choice([random.randrange(700), random.randrange(810, 4_000)]))

        def start_late(session, record, spec, delay=delay):
            start(session, record, spec)
            if record.run == 1:
                trio.lowlevel.current_clock().jump(delay.total_seconds())

        async def scenario(pool):
            calls, accepted = pool.calls(), {}
            send = calls.start

            async def send_recorded(minion, token, task, run, *args):
                accepted[run] = False
                clock_ms = await send(minion, token, task, run, *args)
                accepted[run] = True
                return clock_ms

            calls.start = send_recorded
            owner, _ = pool.start_owner(1, calls)
            await pool.list_all_minions(owner)
            await pool.clock.sleep(ms(150))
            owner.run_tasks(Requester(), request(claimed=False))
            # The suspension cuts one sleep short.
            await pool.clock.sleep(ms(50))
            await pool.clock.sleep(ms(50))
            return accepted

        with monkeypatch.context() as patch:
            patch.setattr(MinionSession, "start", start_late)
            _, accepted = run_takeover(scenario, 1, duration=WORK)
        assert accepted[1] == (delay < ms(750)), delay
