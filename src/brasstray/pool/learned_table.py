"""Keep what owners of pools have reported as learned."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from brasstray.batch.ids import NO_TOKEN
from brasstray.pool.learned_merge import freshness
from brasstray.pool.learned_values import LearnedValues

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken, PoolId
    from brasstray.pool.learned_values import LearnedValue

# Limits of what is kept, several times what a large pool has.
MAX_MINIONS = 4_096
MAX_QUEUES = 512


@dataclass
class LearnedTable:
    """Hold the last value of each minion and queue of a pool.

    Values of several owners are kept together: the last may have had no time to learn.
    `token` is the highest one, and `source` the host that reported last.
    """

    minions: dict[str, LearnedValue] = field(default_factory=dict)
    queues: dict[str, LearnedValue] = field(default_factory=dict)
    sizes: dict[str, LearnedValue] = field(default_factory=dict)
    token: FencingToken = NO_TOKEN
    source: str = ""

    @property
    def values(self) -> LearnedValues:
        """Return a copy of the values."""
        return LearnedValues(dict(self.minions), dict(self.queues), dict(self.sizes))

    def record(self, values: LearnedValues, token: FencingToken, source: str) -> bool:
        """Record what owner `source` reports; return False if it was replaced.

        A host that was replaced may not know it yet, and must not overrule the owner
        that has the pool now.
        """
        if token < self.token:
            return False
        self.token, self.source = token, source
        _update(self.minions, values.minions, MAX_MINIONS)
        _update(self.queues, values.queues, MAX_QUEUES)
        _update(self.sizes, values.sizes, MAX_QUEUES)
        return True


def _update(
    table: dict[str, LearnedValue], values: Mapping[str, LearnedValue], limit: int
) -> None:
    table.update(values)
    if len(table) > limit:
        oldest = sorted(table, key=lambda key: table[key].learned_at)
        for key in oldest[: len(table) - limit]:
            del table[key]


def best_remote(tables: Mapping[PoolId, LearnedTable], now: timedelta) -> LearnedValues:
    """Return the most certain value of each queue, and size of tasks, of `tables`."""
    queues: dict[str, LearnedValue] = {}
    sizes: dict[str, LearnedValue] = {}
    for _, table in sorted(tables.items()):
        for best, found in ((queues, table.queues), (sizes, table.sizes)):
            for key, value in found.items():
                known = best.get(key)
                if known is None or _weight(value, now) > _weight(known, now):
                    best[key] = value
    return LearnedValues(queues=queues, sizes=sizes)


def _weight(value: LearnedValue, now: timedelta) -> float:
    return value.count * freshness(value, now)


__all__ = ["MAX_MINIONS", "MAX_QUEUES", "LearnedTable", "best_remote"]
