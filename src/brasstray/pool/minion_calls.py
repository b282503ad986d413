"""Define the calls that the owner of a pool makes to a minion."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken, RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.probe_reply import ProbeReply


class MinionCalls(Protocol):
    """Call minions; every method may raise a MinionCallError.

    Times called `until_ms` are on the minion's clock, in milliseconds. The incarnation
    that answered a probe is in its reply; MinionRestartedError says that another than
    that of `minion` answered a start or a stop.
    """

    async def probe(
        self,
        minion: MinionEntry,
        token: FencingToken,
        acknowledged: int,
        until_ms: int | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> ProbeReply:
        """Extend the leases of all runs, and wait up to `wait` for a run to end.

        Without `until_ms`, no lease is extended.
        """

    async def start(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        spec: str,
        until_ms: int,
        timeout: timedelta,
    ) -> int:
        """Start a run and return the minion's clock, in milliseconds."""

    async def stop(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        timeout: timedelta,
    ) -> None:
        """Stop a run, or have its start rejected if that arrives later."""

    async def close_connections(self, minion: MinionEntry) -> None:
        """Close the connections to a minion that is gone."""


__all__ = ["MinionCalls"]
