"""Identify each process that runs an entry host, across restarts of the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.job.ids import DataCentreName, HostName, IncarnationId

if TYPE_CHECKING:
    from random import Random

RANDOM_BITS = 48


def new_incarnation(
    data_centre: DataCentreName, host: HostName, random: Random
) -> IncarnationId:
    """Return an id for a process that has just started on `host`."""
    return IncarnationId(f"{data_centre}.{host}.{random.getrandbits(RANDOM_BITS):012x}")


def data_centre_of(incarnation: IncarnationId) -> DataCentreName:
    """Return the data centre that `incarnation` runs in."""
    return DataCentreName(incarnation.split(".", 1)[0])


def host_of(incarnation: IncarnationId) -> HostName:
    """Return the host that `incarnation` runs on."""
    return HostName(incarnation.split(".", 2)[1])


__all__ = ["data_centre_of", "host_of", "new_incarnation"]
