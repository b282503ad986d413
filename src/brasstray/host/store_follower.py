"""Follow entries of the store through its outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.store.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents


async def follow_store(
    what: str,
    learn_after: Callable[[int | None], Awaitable[int]],
    clock: Clock,
    pause: timedelta,
    events: HostEvents,
) -> None:
    """Have `learn_after` learn what came after a version, again and again.

    It is given None to read everything, and returns the version reached. What was read
    is not read again after a failed call. Guards against hosts that fetch a large text
    with each try while the store, or the way there, fails again and again; and, by the
    pause, against a store that loses its history faster than hosts ask for it.
    """
    as_of: int | None = None
    while True:
        try:
            as_of = await learn_after(as_of)
            events.store_back(what)
        except HistoryLostError:
            as_of = None
            events.history_lost(what)
            await clock.sleep(pause)
        except StoreUnavailableError as error:
            events.store_lost(what, str(error))
            await clock.sleep(pause)


__all__ = ["follow_store"]
