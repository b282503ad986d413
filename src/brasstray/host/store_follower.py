"""Watch entries of the store, and retry after its failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.store.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents


async def follow_store(
    name: str,
    read_after: Callable[[int | None], Awaitable[int]],
    clock: Clock,
    retry_delay: timedelta,
    events: HostEvents,
) -> None:
    """Call `read_after` in a loop with the last store version that it returned.

    It is called with None to read everything, and returns the version that it reached.
    The version is kept after a failed call, so that hosts don't fetch a large text with
    each retry while the store or the network fails repeatedly. The delay limits the
    load on a store that discards its history faster than hosts can read it.
    """
    as_of: int | None = None
    while True:
        try:
            as_of = await read_after(as_of)
            events.store_back(name)
        except HistoryLostError:
            as_of = None
            events.history_lost(name)
            await clock.sleep(retry_delay)
        except StoreUnavailableError as error:
            events.store_lost(name, str(error))
            await clock.sleep(retry_delay)


__all__ = ["follow_store"]
