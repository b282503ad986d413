"""Read the settings of a host of the platform, which runs jobs on minion pools."""

from __future__ import annotations

from configparser import ConfigParser, Error as ConfigParserError
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import msgspec
from result import Err, Ok, Result

from brasstray.job.ids import DataCentreName
from brasstray.settings.endpoint import Endpoint
from brasstray.settings.problem import SettingsProblem
from brasstray.settings.struct_section import read_struct_section

if TYPE_CHECKING:
    from pathlib import Path


Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
Names = Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9_-]{1,64}(, *|$))*$")]


class HostSection(msgspec.Struct, frozen=True, kw_only=True):
    """Define the host's identity and the endpoints that it listens on.

    `data_centres` is the comma-separated list of all data centres; operators can
    evacuate only these. If it is empty, any name is accepted.
    """

    name: Name
    data_centre: Name
    data_centres: Names = ""
    callers: Endpoint
    ready: Endpoint
    peers: Endpoint
    metrics: Endpoint

    @property
    def known_data_centres(self) -> frozenset[DataCentreName]:
        """Return the set of names in `data_centres`."""
        names = (name.strip() for name in self.data_centres.split(","))
        return frozenset(DataCentreName(name) for name in names if name)


class StoreSection(msgspec.Struct, frozen=True, kw_only=True):
    """Define the endpoint of the platform's store."""

    address: Endpoint


class MinionsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the behaviour of minions.

    `lease_ms` is the longest lease that they grant, and `stop_ms` how long stopping a
    run may take. A task away from its data runs `remote_factor` times as long.
    """

    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=60_000)] = 1_000
    stop_ms: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 50
    remote_factor: Annotated[float, msgspec.Meta(ge=1.0, le=100.0)] = 1.0


class ProcessorSection(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the host's processor: its share of a core, and the core's speed.

    Only the ratio to other hosts matters: the most powerful hosts own the pools.
    """

    share: Annotated[float, msgspec.Meta(gt=0.0, le=1_024.0)] = 1.0
    speed: Annotated[float, msgspec.Meta(gt=0.0, le=1_024.0)] = 1.0

    @property
    def power(self) -> float:
        """Return the relative processing power of the host."""
        return self.share * self.speed


class ShortageSection(msgspec.Struct, frozen=True, kw_only=True):
    """Define what decides while demand exceeds the capacity.

    With `prioritize`, the priorities of queues and equal shares for callers decide what
    starts and what is rejected; otherwise, what is most urgent alone.
    """

    prioritize: bool = False


class StopSection(msgspec.Struct, frozen=True, kw_only=True):
    """Define how long a host may take to exit after a stop signal, in seconds."""

    grace_seconds: Annotated[float, msgspec.Meta(ge=1.0, le=3_600.0)] = 6.0


@dataclass(frozen=True)
class PoolSettings:
    """Hold the validated sections."""

    host: HostSection
    store: StoreSection
    processor: ProcessorSection
    minions: MinionsSection
    shortage: ShortageSection
    stop: StopSection


POOL_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "host": HostSection,
    "store": StoreSection,
    "processor": ProcessorSection,
    "minions": MinionsSection,
    "shortage": ShortageSection,
    "stop": StopSection,
}


def read_pool_settings(path: Path) -> Result[PoolSettings, list[SettingsProblem]]:
    """Read the settings in `path`, or return all problems found in them."""
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, ConfigParserError) as error:
        return Err(
            [SettingsProblem(str(path), "file", f"a readable INI file: {error}")]
        )
    problems: list[SettingsProblem] = []
    sections = {
        name: read_struct_section(parser, name, section_type, problems)
        for name, section_type in POOL_SECTIONS.items()
    }
    for name in parser.sections():
        if name not in POOL_SECTIONS:
            expected = f"one of {', '.join(POOL_SECTIONS)}"
            problems.append(SettingsProblem(name, "section", expected))
    if problems:
        return Err(problems)
    return Ok(PoolSettings(**sections))  # type: ignore[arg-type]


__all__ = ["POOL_SECTIONS", "MinionsSection", "PoolSettings", "read_pool_settings"]
