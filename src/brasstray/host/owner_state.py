"""Define what a link can know about the owner of a pool."""

from __future__ import annotations

from enum import Enum


class OwnerState(Enum):
    """Tell whether the listed owner of a pool is reachable.

    EXPECTED: not reached since the store listed it. It may be slow to answer, or not
    have heard yet that its claim was written.
    UP: reachable.
    LOST: it was reachable, and the connection has ended or gone silent.
    GONE: it does not own the pool any more, or its process has ended.
    RESIGNING: reachable, but it wants another host to take the pool.
    """

    EXPECTED = "expected"
    UP = "up"
    LOST = "lost"
    GONE = "gone"
    RESIGNING = "resigning"


__all__ = ["OwnerState"]
