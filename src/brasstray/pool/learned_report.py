"""Decide which learned values another host is sent."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.learned_values import (
    MAX_LEARNED_RATIO,
    MIN_DIFFERENCE,
    LearnedValues,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

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


class SentValues:
    """Keep what a host was sent, and choose what to send it next."""

    def __init__(self) -> None:
        self._minions: dict[str, SentValue] = {}
        self._queues: dict[str, SentValue] = {}
        self._sizes: dict[str, SentValue] = {}

    def next_report(self, values: LearnedValues, now: timedelta) -> LearnedValues:
        """Return what is to be sent at `now`, and record it as sent."""
        sizes = changed(values.sizes, self._sizes, now, MAX_REPORTED)
        left = MAX_REPORTED - len(sizes)
        queues = changed(values.queues, self._queues, now, left)
        left -= len(queues)
        minions = changed(values.minions, self._minions, now, left)
        for sent, found, current in (
            (self._sizes, sizes, values.sizes),
            (self._queues, queues, values.queues),
            (self._minions, minions, values.minions),
        ):
            for key in [key for key in sent if key not in current]:
                del sent[key]
            sent.update({k: SentValue(v.ratio, now) for k, v in found.items()})
        return LearnedValues(minions, queues, sizes)


def changed(
    values: Mapping[str, LearnedValue],
    sent: Mapping[str, SentValue],
    now: timedelta,
    limit: int,
) -> dict[str, LearnedValue]:
    """Return at most `limit` values that a host lacks, those most wrong there first."""
    errors = {}
    for key, value in values.items():
        error = _error(value, sent.get(key), now)
        if error is not None and len(key.encode()) <= MAX_KEY_LENGTH:
            errors[key] = error
    first = sorted(errors, key=lambda key: (-errors[key], key))[:limit]
    return {key: values[key] for key in first}


def _error(value: LearnedValue, sent: SentValue | None, now: timedelta) -> float | None:
    """Return how wrong the host's idea of `value` is, None if it need not be sent."""
    difference = value.difference
    if not value.count or difference > math.log(MAX_LEARNED_RATIO):
        return None
    if sent is None:
        return difference if difference >= MIN_DIFFERENCE else None
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
    "changed",
]
