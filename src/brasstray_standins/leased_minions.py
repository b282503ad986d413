"""Call simulated minions over a network with injected faults."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, NoReturn, TypeVar

import anyio

from brasstray.pool.errors import MinionNoResponseError
from brasstray_standins.call_faults import CallOutcome, RandomCallFaults
from brasstray_standins.gate import Gate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from brasstray.batch.ids import FencingToken, RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.job.ids import MinionId
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.probe_reply import ProbeReply
    from brasstray_standins.leased_minion import LeasedMinion

    _T = TypeVar("_T")

ONE_WAY_DELAY = timedelta(milliseconds=1)


class LeasedMinions:
    """Call simulated minions; the faults affect this caller only.

    cut: minions that can't be reached.
    calls: the number of calls to each minion.
    lost_responses: how many of the next responses are lost.
    delayed_starts: how many of the next starts are executed after `call_delay`,
        without response.
    delayed_extensions: how many of the next lease extensions are executed after
        `call_delay`, without response; the extension counts from when it arrives.
    ignored_stops: how many of the next stops are acknowledged but not executed.
    call_cpu_time: CPU time that each call takes of this caller, one call at a time.
    random_faults: random delays and losses of any call.
    """

    def __init__(
        self,
        minions: dict[MinionId, LeasedMinion],
        clock: Clock,
        group: TaskGroup,
        gate: Gate | None = None,
    ) -> None:
        self.cut: set[MinionId] = set()
        self.calls: Counter[MinionId] = Counter()
        self.lost_responses = 0
        self.delayed_starts = 0
        self.delayed_extensions = 0
        self.ignored_stops = 0
        self.call_delay = timedelta(seconds=3)
        self.call_cpu_time = timedelta(0)
        self.random_faults = RandomCallFaults(
            Random(0), delayed_share=0.0, unanswered_share=0.0
        )
        self._cpu_lock = anyio.Lock()
        self._minions = minions
        self._clock = clock
        self._group = group
        self._gate = gate or Gate()

    async def probe(
        self,
        minion: MinionEntry,
        token: FencingToken,
        acknowledged: int,
        until_ms: int | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> ProbeReply:
        """Extend the lease of all runs, and wait up to `wait` for one to end."""

        async def operation(target: LeasedMinion) -> ProbeReply:
            return await target.hold(minion, token, acknowledged, until_ms, wait)

        if until_ms is not None and self.delayed_extensions > 0:
            self.delayed_extensions -= 1
            lease_ms = until_ms - self._minions[minion.id].clock_ms

            async def extend(target: LeasedMinion) -> ProbeReply:
                until = target.clock_ms + lease_ms
                return await target.hold(minion, token, 0, until, timedelta(0))

            await self._delay_call(minion, extend, timeout, self.call_delay)
        return await self._call(minion, operation, timeout)

    async def start(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        spec: str,
        until_ms: int,
        timeout: timedelta,
    ) -> int:
        """Start a run and return the minion's clock."""
        del spec

        born = self._minions[minion.id].entry.born

        async def operation(target: LeasedMinion) -> int:
            restarted = target.entry.born != born
            if restarted and target.rejected_earlier(token, task, run):
                raise MinionNoResponseError("the order ended with its minion")
            return target.start(minion, token, task, run, until_ms)

        if self.delayed_starts > 0:
            self.delayed_starts -= 1
            await self._delay_call(minion, operation, timeout, self.call_delay)
        return await self._call(minion, operation, timeout)

    async def _delay_call(
        self,
        minion: MinionEntry,
        operation: Callable[[LeasedMinion], Awaitable[object]],
        timeout: timedelta,
        delay: timedelta,
    ) -> NoReturn:
        """Execute a call after `delay`, and let the caller time out."""
        self._group.start_soon(self._run_delayed, minion, operation, delay)
        await self._clock.sleep(timeout)
        raise MinionNoResponseError("the call is delayed")

    async def _run_delayed(
        self,
        minion: MinionEntry,
        operation: Callable[[LeasedMinion], Awaitable[object]],
        delay: timedelta,
    ) -> None:
        await self._clock.sleep(delay)
        target = self._minions[minion.id]
        if target.alive:
            try:
                await operation(target)
            except Exception:  # noqa: BLE001, S110 - the caller has timed out
                return

    async def stop(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        timeout: timedelta,
    ) -> None:
        """Stop a run, and have its start refused if that arrives later."""

        async def operation(target: LeasedMinion) -> None:
            if self.ignored_stops > 0:
                self.ignored_stops -= 1
                return
            target.stop(minion, token, task, run)

        await self._call(minion, operation, timeout)

    async def close_connections(self, minion: MinionEntry) -> None:
        """Do nothing, since no connection is kept."""

    async def _call(
        self,
        minion: MinionEntry,
        operation: Callable[[LeasedMinion], Awaitable[_T]],
        timeout: timedelta,
    ) -> _T:
        await self._gate.wait()
        self.calls[minion.id] += 1
        outcome = self.random_faults.draw()
        if outcome is CallOutcome.LATE:
            delay = self.random_faults.draw_delay()
            await self._delay_call(minion, operation, timeout, delay)
        with anyio.move_on_after(timeout.total_seconds()):
            if self.call_cpu_time:
                async with self._cpu_lock:
                    await self._clock.sleep(self.call_cpu_time)
            await self._clock.sleep(ONE_WAY_DELAY)
            target = self._minions[minion.id]
            if minion.id in self.cut or not target.alive:
                await anyio.sleep_forever()
            born = target.entry.born
            answer = await operation(target)
            if target.entry.born != born:
                # The process that would have answered is gone.
                await anyio.sleep_forever()
            if self.lost_responses > 0:
                self.lost_responses -= 1
                await anyio.sleep_forever()
            if outcome is CallOutcome.UNANSWERED:
                await anyio.sleep_forever()
            await self._clock.sleep(ONE_WAY_DELAY)
            if minion.id not in self.cut:
                await self._gate.wait()
                return answer
            await anyio.sleep_forever()
        raise MinionNoResponseError(str(minion.id))


__all__ = ["LeasedMinions"]
