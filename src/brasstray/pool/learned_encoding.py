"""Encode learned values for messages between hosts, and check those received."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from brasstray.pool.learned_report import MAX_KEY_LENGTH, MAX_REPORTED
from brasstray.pool.learned_values import (
    MAX_COUNT,
    MAX_LEARNED_RATIO,
    LearnedValue,
    LearnedValues,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

_SECOND = timedelta(seconds=1)
# Ratios are sent as whole powers of this; the error of 1% is far below their noise.
RATIO_STEP = 1.02
MAX_POWER = round(math.log(MAX_LEARNED_RATIO) / math.log(RATIO_STEP))
# An older value tells nothing.
MAX_AGE = timedelta(hours=1)
# Larger numbers are not logged as text.
_SHOWN_BITS = 64
# Fields of the encoded report.
_MINIONS, _QUEUES, _SIZES = "m", "q", "s"


@dataclass
class ReadValues:
    """Hold the valid values of a report, and why others were left out."""

    values: LearnedValues
    problems: list[str] = field(default_factory=list)


def encode_values(values: LearnedValues, now: timedelta) -> dict[str, Any] | None:
    """Return `values` as plain lists and numbers, or None if there are none."""
    tables = {
        _MINIONS: _encode_table(values.minions, now),
        _QUEUES: _encode_table(values.queues, now),
        _SIZES: _encode_table(values.sizes, now),
    }
    return {name: table for name, table in tables.items() if table} or None


def _encode_table(
    values: Mapping[str, LearnedValue], now: timedelta
) -> dict[str, list[int]]:
    return {
        key: [
            round(math.log(value.ratio) / math.log(RATIO_STEP)),
            value.count,
            min(max(timedelta(0), now - value.learned_at), MAX_AGE) // _SECOND,
        ]
        for key, value in values.items()
    }


def decode_values(encoded: object, now: timedelta) -> ReadValues:
    """Return the valid values of a report that was received at `now`."""
    read = ReadValues(LearnedValues())
    if not isinstance(encoded, dict):
        read.problems.append(f"not a table: {_shown(encoded)}")
        return read
    tables = [
        _decode_table(encoded.get(name, {}), now, read.problems)
        for name in (_MINIONS, _QUEUES, _SIZES)
    ]
    read.values = LearnedValues(*tables)
    return read


def _decode_table(
    table: object, now: timedelta, problems: list[str]
) -> dict[str, LearnedValue]:
    if not isinstance(table, dict):
        problems.append(f"not a table: {_shown(table)}")
        return {}
    found = {}
    for number, (key, item) in enumerate(table.items()):
        if number == MAX_REPORTED:
            problems.append(f"{len(table)} values")
            break
        if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_LENGTH:
            problems.append(f"name {_shown(key)}")
        elif not _is_valid(item):
            problems.append(f"{key}: {_shown(item)}")
        else:
            power, count, age = item
            found[key] = LearnedValue(RATIO_STEP**power, count, now - age * _SECOND)
    return found


def _is_valid(item: object) -> bool:
    # The exact type is compared, as True and numbers like 1.0 or NaN are no counts.
    if not isinstance(item, list) or [type(part) for part in item] != [int, int, int]:
        return False
    power, count, age = item
    return (
        abs(power) <= MAX_POWER
        and 0 < count <= MAX_COUNT
        and 0 <= age <= MAX_AGE // _SECOND
    )


def _shown(value: object, depth: int = 1) -> str:
    """Return the start of `value` as text; it may be large, deep or contain itself."""
    if isinstance(value, int) and value.bit_length() > _SHOWN_BITS:
        return "huge number"
    if isinstance(value, (int, float, str)):
        return str(value)[:MAX_KEY_LENGTH]
    if depth and isinstance(value, list) and len(value) <= 3:
        return f"[{', '.join(_shown(part, depth - 1) for part in value)}]"
    return type(value).__name__


__all__ = [
    "MAX_AGE",
    "MAX_POWER",
    "RATIO_STEP",
    "ReadValues",
    "decode_values",
    "encode_values",
]
