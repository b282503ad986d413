"""Read the entries that operators write to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.host.operator_source import OperatorEntries, UnreadableConfigError
from brasstray.job.ids import DataCentreName
from brasstray.platform.body import Body, UnreadableBodyError
from brasstray.platform.configuration_body import parse_configuration

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from brasstray.batch.configuration import Configuration
    from brasstray.platform.store_client import StoreClient
    from brasstray.store.entry import StoreEntry

OPERATOR_PREFIX = "op/"
CONFIG_KEY = f"{OPERATOR_PREFIX}config"
EVACUATE_PREFIX = f"{OPERATOR_PREFIX}evacuate/"


class EvacuateBody(Body, frozen=True, kw_only=True):
    """Request that the data centre named by the key get no new tasks; no fields yet."""


class OperatorEntryReader:
    """Read and watch all entries of the operators with a single watch.

    A watch for each kind of entry would cause a third more calls to the store. A change
    returns only the keys that changed, so the configuration is not sent again when
    another entry changes.
    """

    def __init__(
        self, store: StoreClient, on_ignored: Callable[[str, str], None]
    ) -> None:
        self._store = store
        self._on_ignored = on_ignored

    async def read(self) -> OperatorEntries:
        """Return all current entries."""
        found = await self._store.snapshot(OPERATOR_PREFIX)
        return self._entries(found.entries, (), found.as_of)

    async def watch(self, after: int, wait: timedelta) -> OperatorEntries:
        """Return the changes after version `after`, or none once `wait` has passed."""
        changes = await self._store.watch(OPERATOR_PREFIX, after, wait)
        return self._entries(changes.written, changes.removed, changes.as_of)

    def parse(self, text: bytes) -> Configuration:
        """Decode a configuration; raise UnreadableConfigError if it is invalid."""
        return parse_configuration(text)

    def _entries(
        self, written: tuple[StoreEntry, ...], removed: tuple[str, ...], as_of: int
    ) -> OperatorEntries:
        unreadable = None
        configuration = None
        for entry in written:
            if entry.name == CONFIG_KEY:
                try:
                    configuration = parse_configuration(entry.value)
                except UnreadableConfigError as error:
                    unreadable = str(error)
        return OperatorEntries(
            configuration,
            as_of,
            frozenset(self._evacuated(written)),
            frozenset(map(_data_centre, filter(_is_evacuation, removed))),
            unreadable,
        )

    def _evacuated(self, written: tuple[StoreEntry, ...]) -> Iterable[DataCentreName]:
        """Return the evacuated data centres in `written`.

        Invalid entries, as other programs may write, are reported as ignored, so that
        they hide neither the other entries nor a configuration.
        """
        for entry in filter(lambda entry: _is_evacuation(entry.name), written):
            try:
                EvacuateBody.decode_strictly(entry.value)
            except UnreadableBodyError as error:
                self._on_ignored(entry.name, str(error))
            else:
                yield _data_centre(entry.name)


def _is_evacuation(key: str) -> bool:
    return key.startswith(EVACUATE_PREFIX)


def _data_centre(key: str) -> DataCentreName:
    return DataCentreName(key.removeprefix(EVACUATE_PREFIX))


__all__ = ["OperatorEntryReader"]
