"""Define the interface through which a leader calls its replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.records import Record


class Replicas(Protocol):
    """Call replicas; `hold`, `drop` and `fence` may raise ReplicaUnreachableError."""

    async def hold(
        self, replica: IncarnationId, term: int, copies: dict[int, Record | None]
    ) -> bool:
        """Store `copies` at `replica`; return False if `term` is fenced there."""

    async def drop(self, replica: IncarnationId, term: int, below: int) -> None:
        """Delete the copies of `term` numbered less than `below`, which are flushed."""

    async def fence(self, replica: IncarnationId, term: int) -> list[Record] | None:
        """Fence `term` at `replica`; return its copies, or None if it has none."""

    def candidates(self) -> list[IncarnationId]:
        """Return the other hosts that can be replicas, in order of preference."""


__all__ = ["Replicas"]
