"""Read the settings of a host that runs jobs on pools of minions."""

from __future__ import annotations

from configparser import ConfigParser, Error as ConfigParserError
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from brasstray.settings.problem import SettingsProblem
from brasstray.settings.sections import EndpointText, Name
from brasstray.settings.settings import read_section

if TYPE_CHECKING:
    from pathlib import Path


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(_Section):
    """Say who the host is and where it listens."""

    name: Name
    data_centre: Name
    callers: EndpointText
    ready: EndpointText
    peers: EndpointText
    metrics: EndpointText


class StoreSection(_Section):
    """Say where the platform's store is."""

    address: EndpointText


class MinionsSection(_Section):
    """Say how minions behave.

    `lease_ms` is the longest lease that they grant, `stop_ms` how long a stop takes,
    `remote_factor` how many times as long a task takes away from its data.
    """

    lease_ms: int = Field(default=1_000, ge=200, le=60_000)
    stop_ms: int = Field(default=50, ge=1, le=10_000)
    remote_factor: float = Field(default=1.0, ge=1.0, le=100.0)


class StopSection(_Section):
    """Say how long a host may take to leave, in seconds, once it is told to."""

    grace_seconds: float = Field(default=6.0, ge=1.0, le=3_600.0)


@dataclass(frozen=True)
class PoolSettings:
    """Hold all sections."""

    host: HostSection
    store: StoreSection
    minions: MinionsSection
    stop: StopSection


POOL_SECTIONS: dict[str, type[BaseModel]] = {
    "host": HostSection,
    "store": StoreSection,
    "minions": MinionsSection,
    "stop": StopSection,
}


def read_pool_settings(path: Path) -> Result[PoolSettings, list[SettingsProblem]]:
    """Return the settings in `path`, or every problem that they have."""
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, ConfigParserError) as error:
        return Err([SettingsProblem(str(path), "file", f"readable INI: {error}")])
    problems: list[SettingsProblem] = []
    sections = {
        name: read_section(parser, name, kind, problems)
        for name, kind in POOL_SECTIONS.items()
    }
    for name in parser.sections():
        if name not in POOL_SECTIONS:
            expected = f"one of {', '.join(POOL_SECTIONS)}"
            problems.append(SettingsProblem(name, "section", expected))
    if problems:
        return Err(problems)
    return Ok(PoolSettings(**sections))  # type: ignore[arg-type]


__all__ = ["POOL_SECTIONS", "MinionsSection", "PoolSettings", "read_pool_settings"]
