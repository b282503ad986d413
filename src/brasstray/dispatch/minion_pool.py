"""Assign minion slots to waiting jobs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from brasstray.dispatch.minion_load import MinionLoad
from brasstray.dispatch.policies import (
    FirstComeFirst,
    RoundRobin,
    ShortestRemainingFirst,
    SlotCredits,
    TwoChoices,
    UniformRandom,
)
from brasstray.dispatch.slot_waiter import SlotWaiter
from brasstray.minion.errors import RetryReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from datetime import timedelta
    from random import Random

    from brasstray.clock.clock import Clock
    from brasstray.dispatch.policies import OrderPolicy, SlotPolicy
    from brasstray.dispatch.slot_waiter import WaitingJob
    from brasstray.dispatch.timing import DispatchTiming
    from brasstray.job.ids import ServiceName
    from brasstray.job.job_id import JobId
    from brasstray.store.listed_host import ListedHost

_SAMPLE_SIZE = 2


class MinionPool:
    """Assign free slots to waiting jobs, and track minions and their credits.

    The slot policy selects the minion, the order policy the job that is served next.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        timing: DispatchTiming,
        slots: SlotPolicy,
        order: OrderPolicy,
    ) -> None:
        self._clock = clock
        self._random = random
        self._timing = timing
        self._slots = slots
        self._order = order
        self._minions: dict[str, MinionLoad] = {}
        self._idle: dict[str, MinionLoad] = {}
        self._waiters: list[SlotWaiter] = []
        self._demand_event = anyio.Event()
        self._idle_callback: Callable[[MinionLoad], None] | None = None

    @property
    def minions(self) -> list[MinionLoad]:
        """Return the state of every listed minion."""
        return list(self._minions.values())

    @property
    def held_credits(self) -> int:
        """Return how many credits this host holds."""
        return sum(load.credits for load in self._minions.values())

    @property
    def demand(self) -> Counter[ServiceName]:
        """Return how many tasks are waiting for a slot, by service."""
        demand: Counter[ServiceName] = Counter()
        for waiter in self._waiters:
            demand[waiter.job.service] += waiter.job.unsent
        return demand

    def set_idle_callback(self, function: Callable[[MinionLoad], None]) -> None:
        """Call `function` when a credit becomes idle, before a job here uses it."""
        self._idle_callback = function

    def get(self, minion: str) -> MinionLoad | None:
        """Return the state of `minion`, or None if it is not listed."""
        return self._minions.get(minion)

    def update(self, minions: list[ListedHost]) -> None:
        """Apply the platform's list, in which a minion has one entry per service."""
        names = {minion.name for minion in minions}
        for removed_name in [name for name in self._minions if name not in names]:
            del self._minions[removed_name]
            self._idle.pop(removed_name, None)
        for minion in minions:
            load = self._minions.setdefault(minion.name, MinionLoad(minion))
            if (load.listed.address, load.listed.port) != (minion.address, minion.port):
                load.leaving = False
            load.listed = minion
            if minion.service is not None:
                load.services.add(minion.service)
            if not load.accepts_work:
                load.credits = 0
            self._update_idle(load)
        self._assign_slots()

    async def acquire(self, job: WaitingJob) -> MinionLoad:
        """Wait for a free slot for a task of `job` and return its minion.

        Each call must be paired with a call of `release`.
        """
        waiter = SlotWaiter(job)
        self._waiters.append(waiter)
        self._assign_slots()
        try:
            while waiter.load is None:
                self._demand_event.set()
                # Nothing signals the end of a backoff, so the minions are polled.
                with anyio.move_on_after(self._timing.full_backoff.total_seconds()):
                    await waiter.assigned.wait()
                if waiter.load is None:
                    self._assign_slots()
        except BaseException:
            if waiter.load is not None:
                self.release(waiter.load)
            else:
                self._waiters.remove(waiter)
            raise
        return waiter.load

    async def wait_for_demand(self) -> None:
        """Wait until at least one job is waiting for a slot."""
        while not self._waiters:
            self._demand_event = anyio.Event()
            await self._demand_event.wait()

    def release(self, load: MinionLoad) -> None:
        """Return the slot of `load` that a start has used, and reassign it."""
        load.outstanding -= 1
        self._update_idle(load)
        if self._idle_callback is not None and load.idle_credits:
            self._idle_callback(load)
        self._assign_slots()

    @property
    def ejected(self) -> list[str]:
        """Return the names of the minions that this host has ejected."""
        now = self._clock.monotonic()
        minions = self._minions.items()
        return [name for name, load in minions if load.health.ejected_until > now]

    def record_peer_ejections(self, minions: list[str]) -> None:
        """Record that a peer has ejected `minions`; one failure here ejects them."""
        for minion in minions:
            load = self._minions.get(minion)
            if load is not None:
                load.health.assume_failures(self._timing.eject_after_failures - 1)

    def record_failure(self, load: MinionLoad, job: JobId, reason: RetryReason) -> None:
        """Record that a start of `job` on the minion of `load` returned no result."""
        self._apply_failure(load, job, reason)
        self._update_idle(load)

    def _apply_failure(self, load: MinionLoad, job: JobId, reason: RetryReason) -> None:
        now = self._clock.monotonic()
        match reason:
            case RetryReason.FULL:
                # Another host holds the same credit and has filled the slot.
                load.credits = max(0, load.credits - 1)
                load.backoff_until = now + self._timing.full_backoff
            case RetryReason.LEAVING:
                load.leaving = True
                load.credits = 0
            case RetryReason.CONNECTION_REFUSED:
                # No job can cause this, so the first refusal already ejects the minion;
                # each further attempt would be a wasted message.
                if not load.health.on_probation or load.health.ejected_until <= now:
                    self._eject(load, now)
                load.backoff_until = now + self._timing.failure_backoff
            case _:
                load.backoff_until = now + self._timing.failure_backoff
                load.health.record_failure(job)
                if load.health.failures >= self._timing.eject_after_failures:
                    self._eject(load, now)

    def _eject(self, load: MinionLoad, now: timedelta) -> None:
        # When many minions fail at once, the cause is probably elsewhere, and ejecting
        # them all would overload the others. So only a share is ever ejected.
        ejected_count = sum(
            1 for other in self._minions.values() if other.health.on_probation
        )
        if ejected_count < self._timing.max_ejected_share * len(self._minions):
            min_duration, max_duration = (
                self._timing.min_ejection,
                self._timing.max_ejection,
            )
            load.health.eject(now, min_duration, max_duration)

    def add_credits(self, granted: dict[str, int]) -> None:
        """Add granted credits, up to the number of slots of each minion."""
        for minion, count in granted.items():
            load = self._minions.get(minion)
            if load is not None and load.accepts_work:
                load.credits = min(load.credits + count, load.listed.slots)
                self._update_idle(load)
        self._assign_slots()

    def yield_credits(self, service: ServiceName, limit: int) -> dict[str, int]:
        """Give up at most `limit` idle credits of minions that run `service`.

        Return their number by minion, to be granted to a peer.
        """
        yielded: dict[str, int] = {}
        for name, load in list(self._idle.items()):
            if service in load.services and load.accepts_work:
                count = min(load.idle_credits, limit - sum(yielded.values()))
                if count > 0:
                    self.drop_credits(load, count)
                    yielded[name] = count
        return yielded

    def drop_credits(self, load: MinionLoad, count: int) -> None:
        """Discard up to `count` of a minion's idle credits."""
        load.credits -= min(load.idle_credits, count)
        self._update_idle(load)

    def _update_idle(self, load: MinionLoad) -> None:
        # An index of idle minions keeps the selection cheap with hundreds of minions.
        # The minion that has been idle longest comes first.
        if not load.idle_credits:
            self._idle.pop(load.listed.name, None)
        else:
            self._idle.setdefault(load.listed.name, load)

    def _assign_slots(self) -> None:
        exhausted: set[ServiceName] = set()
        for waiter in sorted(self._waiters, key=self._sort_key):
            service = waiter.job.service
            if service in exhausted:
                continue
            load = self._select_minion(service)
            if load is None:
                exhausted.add(service)
                continue
            load.outstanding += 1
            self._update_idle(load)
            waiter.load = load
            waiter.assigned.set()
            self._waiters.remove(waiter)

    def _sort_key(self, waiter: SlotWaiter) -> float:
        match self._order:
            case FirstComeFirst():
                return waiter.job.sequence_number
            case RoundRobin():
                return 0
            case ShortestRemainingFirst():
                return waiter.job.unfinished / waiter.job.weight

    def _select_minion(self, service: ServiceName) -> MinionLoad | None:
        match self._slots:
            case UniformRandom():
                eligible = list(self._eligible(self._minions.values(), service))
                return self._random.choice(eligible) if eligible else None
            case TwoChoices():
                eligible = list(self._eligible(self._minions.values(), service))
                free = [load for load in eligible if _free_slots(load) > 0]
                sampled = self._random.sample(free, min(_SAMPLE_SIZE, len(free)))
                return min(sampled, key=lambda load: load.outstanding, default=None)
            case SlotCredits():
                return next(self._eligible(self._idle.values(), service), None)

    def _eligible(
        self, loads: Iterable[MinionLoad], service: ServiceName
    ) -> Iterator[MinionLoad]:
        now = self._clock.monotonic()
        return (
            load for load in loads if service in load.services and load.can_start(now)
        )


def _free_slots(load: MinionLoad) -> int:
    return load.listed.slots - load.outstanding


__all__ = ["MinionPool"]
