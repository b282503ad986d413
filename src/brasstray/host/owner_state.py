"""List what a link can show of a pool's owner."""

from __future__ import annotations

from enum import Enum


class OwnerState(Enum):
    """Tell whether the listed owner of a pool is there.

    EXPECTED: not reached since the store listed it. It may be slow to answer, or not
    have heard yet that its claim was written.
    LOST: it was reachable, and the connection has ended or gone silent.
    GONE: it does not own the pool any more, or its process has ended.
    RESIGNING: it wants another host to take the pool.
    """

    EXPECTED = "expected"
    UP = "up"
    LOST = "lost"
    GONE = "gone"
    RESIGNING = "resigning"


__all__ = ["OwnerState"]
