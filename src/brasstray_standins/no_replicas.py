"""Provide the replica interface of a data centre with a single host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.journal.errors import ReplicaUnreachableError

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.records import Record


class NoReplicas:
    """Reject every call, since there is no replica."""

    async def hold(
        self, replica: IncarnationId, term: int, copies: dict[int, Record | None]
    ) -> bool:
        """Raise ReplicaUnreachableError."""
        raise ReplicaUnreachableError(replica)

    async def drop(self, replica: IncarnationId, term: int, below: int) -> None:
        """Raise ReplicaUnreachableError."""
        raise ReplicaUnreachableError(replica)

    async def fence(self, replica: IncarnationId, term: int) -> list[Record] | None:
        """Raise ReplicaUnreachableError."""
        raise ReplicaUnreachableError(replica)

    def candidates(self) -> list[IncarnationId]:
        """Return an empty list."""
        return []


__all__ = ["NoReplicas"]
