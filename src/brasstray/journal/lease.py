"""Keep the leader's lease in the platform's store."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from brasstray.journal.errors import JournalUnavailableError

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.journal.journal import Journal
    from brasstray.journal.timing import JournalTiming

WATCH_INTERVALS = 2.5


class Lease:
    """Renew the lease entry, or observe whether another host renews it.

    Safety does not depend on it. It only prevents a host that is partitioned from most
    of its peers from deposing a healthy leader.
    """

    def __init__(self, journal: Journal, clock: Clock, timing: JournalTiming) -> None:
        self._journal = journal
        self._clock = clock
        self._timing = timing

    async def renew_until_cancelled(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            with suppress(JournalUnavailableError):
                await self._journal.renew_lease()
            await self._clock.sleep(self._timing.lease_interval)

    async def is_renewed(self) -> bool:
        """Watch the lease for a few intervals and return whether it was renewed."""
        before = await self._journal.lease_version()
        await self._clock.sleep(self._timing.lease_interval * WATCH_INTERVALS)
        return await self._journal.lease_version() != before


__all__ = ["Lease"]
