"""Decide which learned values another host is sent."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.learned_values import (
    MAX_LEARNED_RATIO,
    MIN_DIFFERENCE,
    LearnedValues,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from brasstray.pool.learned_values import LearnedValue

# A value that was sent is sent again when it has changed by this.
MIN_CHANGE = math.log(1.1)
# A value that holds is sent again after this long, so that its age stays far below the
# time in which it fades.
REFRESH_INTERVAL = timedelta(seconds=60)
# Fixed maximum of values in a report; the rest follows in the next ones.
MAX_REPORTED = 256
# Longer names are not sent, so that a report has a fixed maximum of bytes.
MAX_KEY_LENGTH = 64


@dataclass(frozen=True, slots=True)
class SentValue:
    """Hold the ratio that a host was sent, and when."""

    ratio: float
    at: timedelta


@dataclass(frozen=True)
class ToldNames:
    """Hold the names of values that any host was sent, also by earlier owners.

    A host may still hold what it was sent then, so that it is told of the value even
    if that is the default again.
    """

    minions: set[str] = field(default_factory=set)
    queues: set[str] = field(default_factory=set)
    sizes: set[str] = field(default_factory=set)

    def keep(self, values: LearnedValues) -> None:
        """Drop names that the owner no longer has, like those of minions that left."""
        self.minions.intersection_update(values.minions)
        self.queues.intersection_update(values.queues)
        self.sizes.intersection_update(values.sizes)


class SentValues:
    """Keep what a host was sent, and choose what to send it next.

    `told` is shared by all hosts, and extended.
    """

    def __init__(self, told: ToldNames | None = None) -> None:
        self._told = ToldNames() if told is None else told
        self._minions: dict[str, SentValue] = {}
        self._queues: dict[str, SentValue] = {}
        self._sizes: dict[str, SentValue] = {}

    def next_report(self, values: LearnedValues, now: timedelta) -> LearnedValues:
        """Return what is to be sent at `now`, and record it as sent."""
        told, left = self._told, MAX_REPORTED
        sizes = changed(values.sizes, self._sizes, now, left, told.sizes)
        left -= len(sizes)
        queues = changed(values.queues, self._queues, now, left, told.queues)
        left -= len(queues)
        minions = changed(values.minions, self._minions, now, left, told.minions)
        for sent, found, current, names in (
            (self._sizes, sizes, values.sizes, told.sizes),
            (self._queues, queues, values.queues, told.queues),
            (self._minions, minions, values.minions, told.minions),
        ):
            for key in [key for key in sent if key not in current]:
                del sent[key]
            names.update(found)
            sent.update({k: SentValue(v.ratio, now) for k, v in found.items()})
        return LearnedValues(minions, queues, sizes)


def changed(
    values: Mapping[str, LearnedValue],
    sent: Mapping[str, SentValue],
    now: timedelta,
    limit: int,
    told: Collection[str] = (),
) -> dict[str, LearnedValue]:
    """Return at most `limit` values that a host lacks, those most wrong there first."""
    errors = {}
    for key, value in values.items():
        error = _error(value, sent.get(key), now, key in told)
        if error is not None and len(key.encode()) <= MAX_KEY_LENGTH:
            errors[key] = error
    first = sorted(errors, key=lambda key: (-errors[key], key))[:limit]
    return {key: values[key] for key in first}


def _error(
    value: LearnedValue, sent: SentValue | None, now: timedelta, told: bool
) -> float | None:
    """Return how wrong the host's idea of `value` is, None if it need not be sent."""
    difference = value.difference
    if not value.count or difference > math.log(MAX_LEARNED_RATIO):
        return None
    if sent is None:
        return difference if told or difference >= MIN_DIFFERENCE else None
    change = abs(math.log(value.ratio / sent.ratio))
    if change >= MIN_CHANGE:
        return change
    due = now - sent.at >= REFRESH_INTERVAL and value.learned_at > sent.at
    return change if due and difference >= MIN_DIFFERENCE else None


__all__ = [
    "MAX_KEY_LENGTH",
    "MAX_REPORTED",
    "MIN_CHANGE",
    "REFRESH_INTERVAL",
    "SentValue",
    "SentValues",
    "ToldNames",
    "changed",
]
