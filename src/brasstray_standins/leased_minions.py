"""Call simulated minions over a network with injected faults."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, NoReturn, TypeVar

import anyio

from brasstray.pool.errors import MinionNoResponseError
from brasstray_standins.call_chaos import CallChaos, CallOutcome
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
    """Call the minions in `places`; the faults affect this caller only.

    cut: minions that can't be reached.
    calls: the number of calls to each minion.
    swallowed: how many of the next responses are lost.
    late: how many of the next starts are executed after `lateness`, without response.
    late_holds: how many of the next lease extensions are executed after `lateness`,
        without response; the extension counts from when it arrives.
    ignored_stops: how many of the next stops are acknowledged but not executed.
    effort: CPU time that each call takes of this caller, one call at a time.
    chaos: random delays and losses of any call.
    """

    def __init__(
        self,
        places: dict[MinionId, LeasedMinion],
        clock: Clock,
        group: TaskGroup,
        gate: Gate | None = None,
    ) -> None:
        self.cut: set[MinionId] = set()
        self.calls: Counter[MinionId] = Counter()
        self.swallowed = 0
        self.late = 0
        self.late_holds = 0
        self.ignored_stops = 0
        self.lateness = timedelta(seconds=3)
        self.effort = timedelta(0)
        self.chaos = CallChaos(Random(0), delayed_share=0.0, unanswered_share=0.0)
        self._cpu_lock = anyio.Lock()
        self._places = places
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

        async def operation(place: LeasedMinion) -> ProbeReply:
            return await place.hold(minion, token, acknowledged, until_ms, wait)

        if until_ms is not None and self.late_holds > 0:
            self.late_holds -= 1
            lease_ms = until_ms - self._places[minion.id].clock_ms

            async def extend(place: LeasedMinion) -> ProbeReply:
                until = place.clock_ms + lease_ms
                return await place.hold(minion, token, 0, until, timedelta(0))

            await self._delay_call(minion, extend, timeout, self.lateness)
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

        async def operation(place: LeasedMinion) -> int:
            return place.start(minion, token, task, run, until_ms)

        if self.late > 0:
            self.late -= 1
            await self._delay_call(minion, operation, timeout, self.lateness)
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
        place = self._places[minion.id]
        if place.alive:
            try:
                await operation(place)
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

        async def operation(place: LeasedMinion) -> None:
            if self.ignored_stops > 0:
                self.ignored_stops -= 1
                return
            place.stop(minion, token, task, run)

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
        outcome = self.chaos.draw()
        if outcome is CallOutcome.LATE:
            delay = self.chaos.draw_delay()
            await self._delay_call(minion, operation, timeout, delay)
        with anyio.move_on_after(timeout.total_seconds()):
            if self.effort:
                async with self._cpu_lock:
                    await self._clock.sleep(self.effort)
            await self._clock.sleep(ONE_WAY_DELAY)
            place = self._places[minion.id]
            if minion.id in self.cut or not place.alive:
                await anyio.sleep_forever()
            answer = await operation(place)
            if self.swallowed > 0:
                self.swallowed -= 1
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
