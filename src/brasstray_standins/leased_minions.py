"""Reach stand-in minions as a host does, over a network with faults."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, NoReturn, TypeVar

import anyio

from brasstray.pool.errors import MinionSilentError
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
    """Call the minions of `places`; faults concern this caller only.

    `cut` minions hear nothing, and `calls` counts the calls to each. `swallowed` counts
    answers that are still to be lost. `late` holds back that many starts for
    `lateness`, unanswered, and then has them carried out; `late_holds` holds back that
    many extensions of leases, whose time counts from when they arrive.
    `ignored_stops` counts stops that are answered and not carried out. Each call takes
    `effort` of this caller's processor, one call after the other. `chaos` holds back or
    loses any call at random.
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
        self._processor = anyio.Lock()
        self._places = places
        self._clock = clock
        self._group = group
        self._gate = gate or Gate()

    async def hold(
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
        """Leave a call unanswered, and have it carried out after `delay`."""
        self._group.start_soon(self._run_delayed, minion, operation, delay)
        await self._clock.sleep(timeout)
        raise MinionSilentError("held back")

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
            except Exception:  # noqa: BLE001, S110 - nobody waits for this answer
                return

    async def stop(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        timeout: timedelta,
    ) -> None:
        """Stop a run, or have it refused if it comes later."""

        async def operation(place: LeasedMinion) -> None:
            if self.ignored_stops > 0:
                self.ignored_stops -= 1
                return
            place.stop(minion, token, task, run)

        await self._call(minion, operation, timeout)

    async def forget(self, minion: MinionEntry) -> None:
        """Close nothing."""

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
                async with self._processor:
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
        raise MinionSilentError(str(minion.id))


__all__ = ["LeasedMinions"]
