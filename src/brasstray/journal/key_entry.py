"""Define the in-memory state of one key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId
    from brasstray.job.outcome import Outcome


@dataclass(slots=True)
class KeyEntry:
    """Hold a key's expiry (in Unix seconds), its binding and its answer.

    Millions of entries are held in memory, so digests are bytes and equal executor ids
    are one object.
    """

    expires: int
    executor: IncarnationId | None = None
    digest: bytes | None = None
    task_count: int = 0
    answered_by: IncarnationId | None = None
    outcome: Outcome | None = None
    answer_digest: bytes | None = None


__all__ = ["KeyEntry"]
