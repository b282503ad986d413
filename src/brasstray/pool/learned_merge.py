"""Decide what an owner starts from, and what it takes from other data centres."""

from __future__ import annotations

import math
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.learned_values import (
    MIN_DIFFERENCE,
    MIN_OWN_COUNT,
    LearnedValue,
    LearnedValues,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# Time after which a value counts half: within minutes, other load comes and goes on the
# machines of minions, and the jobs of a queue change.
HALF_LIFE = timedelta(minutes=10)
# Weight of a run in another data centre, whose machines and data differ.
REMOTE_WEIGHT = 0.25


def freshness(value: LearnedValue, now: timedelta) -> float:
    """Return how much of `value` is left at `now`: 1 at first, 0.5 at HALF_LIFE."""
    age = max(timedelta(0), now - value.learned_at)
    return float(0.5 ** (age / HALF_LIFE))


def fade(value: LearnedValue, now: timedelta) -> LearnedValue:
    """Return `value` as it counts at `now`: nearer to the default, on fewer runs.

    Its time is then `now`, as owners may follow one another and each fade what is left.
    """
    left = freshness(value, now)
    count = math.floor(value.count * left + 0.5)
    return LearnedValue(value.ratio**left, count, now)


def fade_all(
    values: Mapping[str, LearnedValue], now: timedelta
) -> dict[str, LearnedValue]:
    """Return what is left of `values` at `now`."""
    faded = {key: fade(value, now) for key, value in values.items()}
    return {key: value for key, value in faded.items() if value.count}


def of_pool(values: LearnedValues, minions: Collection[str] | None) -> LearnedValues:
    """Return `values` without those of minions that the pool does not have.

    `minions` are the keys of its minions, None if unknown.
    """
    if minions is None:
        return values
    kept = {key: value for key, value in values.minions.items() if key in minions}
    return replace(values, minions=kept)


def start_values(values: LearnedValues, now: timedelta) -> LearnedValues:
    """Return what a new owner starts from, given what earlier owners learned."""
    return LearnedValues(
        fade_all(values.minions, now),
        fade_all(values.queues, now),
        fade_all(values.sizes, now),
    )


def merge_remote(
    own: LearnedValue | None,
    remote: LearnedValue,
    now: timedelta,
    in_force: float | None = None,
) -> LearnedValue | None:
    """Return the value to use in place of `own`, None if the one in force stays.

    `in_force` is the ratio that is used now, if it is not that of `own`. A value of
    another data centre only counts until enough runs were observed here, and adds
    nothing to the count: else it would return to where it came from as new.
    """
    own = LearnedValue(1.0, 0, now) if own is None else own
    own_count = own.count * freshness(own, now)
    faded = fade(remote, now)
    if own_count >= MIN_OWN_COUNT or faded.count < MIN_OWN_COUNT:
        return None
    remote_count = faded.count * REMOTE_WEIGHT
    remote_share = remote_count / (own_count + remote_count)
    change = remote_share * math.log(faded.ratio / own.ratio)
    ratio = own.ratio * math.exp(change)
    if abs(math.log(ratio / (in_force or own.ratio))) < MIN_DIFFERENCE:
        return None
    return replace(own, ratio=ratio)


__all__ = [
    "HALF_LIFE",
    "REMOTE_WEIGHT",
    "fade",
    "fade_all",
    "freshness",
    "merge_remote",
    "of_pool",
    "start_values",
]
