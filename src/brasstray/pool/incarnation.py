"""Decide which incarnation of a minion an entry or a reply belongs to."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

# Times beyond this, in Unix ms, are no starts of a minion (the year 2255).
MAX_BORN_MS = 9_000_000_000_000


class Incarnation(Enum):
    """Relate an entry or a reply to the incarnation that is known.

    UNKNOWN: it does not say, although the known incarnation has said it.
    """

    SAME = "same"
    EARLIER = "earlier"
    LATER = "later"
    UNKNOWN = "unknown"


class SeenIn(Enum):
    """List where a restart may be seen first."""

    ENTRY = "entry"
    REPLY = "reply"


def parse_born(value: object) -> int | None:
    """Return the start time in `value`, in Unix ms; raise ValueError if it is none.

    The caller passes None only if the field is absent.
    """
    if value is None:
        return None
    if type(value) is not int or not 0 <= value <= MAX_BORN_MS:
        raise ValueError(f"invalid time of start {value!r}")
    return value


def classify_entry(
    known: int | None, listed: int | None, former: Container[int | None]
) -> Incarnation:
    """Relate an entry to the `known` incarnation of the same id.

    The list may lag behind the replies. `former` are the incarnations that were
    replaced; their entries stay earlier even if the clock was set back between two
    starts. Without a time of start the id alone counts.
    """
    if listed == known:
        return Incarnation.SAME
    if listed is None:
        return Incarnation.UNKNOWN
    if listed in former:
        return Incarnation.EARLIER
    if known is None or listed > known:
        return Incarnation.LATER
    return Incarnation.EARLIER


def classify_reply(
    known: int | None, replied: int | None, *, replaced: bool
) -> Incarnation:
    """Relate the reply to a call of the `known` incarnation's session.

    A session sends its calls after its incarnation was seen, and processes under one id
    follow each other. So another one that answers is a later one, whatever the clocks
    say, unless the session was `replaced` while the call was in flight.
    """
    if replaced:
        return Incarnation.EARLIER
    if replied == known:
        return Incarnation.SAME
    return Incarnation.UNKNOWN if replied is None else Incarnation.LATER


__all__ = [
    "Incarnation",
    "SeenIn",
    "classify_entry",
    "classify_reply",
    "parse_born",
]
