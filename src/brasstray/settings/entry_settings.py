"""Read the settings of an entry host from an INI file."""

from __future__ import annotations

from configparser import ConfigParser, Error as ConfigParserError
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from brasstray.dispatch.timing import DispatchTiming
from brasstray.entry.config import EntryConfig
from brasstray.entry.service import Service
from brasstray.entry.timing import EntryTiming
from brasstray.job.ids import DataCentreName, HostName, ServiceName
from brasstray.job.incarnation import new_incarnation
from brasstray.journal.timing import JournalTiming
from brasstray.settings.problem import SettingsProblem
from brasstray.settings.sections import (
    EntrySection,
    JournalSection,
    LimitsSection,
    PlatformSection,
    ServiceSection,
)

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

SERVICE_PREFIX = "service:"
_SECTIONS: dict[str, type[BaseModel]] = {
    "entry": EntrySection,
    "platform": PlatformSection,
    "limits": LimitsSection,
    "journal": JournalSection,
}
_S = TypeVar("_S", bound=BaseModel)


@dataclass(frozen=True)
class EntrySettings:
    """Hold the validated sections."""

    entry: EntrySection
    platform: PlatformSection
    limits: LimitsSection
    journal: JournalSection
    services: dict[ServiceName, ServiceSection]

    def entry_config(self, random: Random) -> EntryConfig:
        """Build the configuration of an entry host, with a new incarnation."""
        centre = DataCentreName(self.entry.data_centre)
        host = HostName(self.entry.host)
        second = timedelta(seconds=1)
        journal = JournalTiming(
            write_interval=second / self.journal.writes_per_second,
            write_burst=self.journal.write_burst,
            key_lifetime=timedelta(minutes=self.limits.key_lifetime_minutes),
        )
        dispatch = DispatchTiming(
            task_timeout=timedelta(milliseconds=self.limits.task_timeout_ms),
            result_retention=self.limits.answer_hold_seconds * second,
        )
        return EntryConfig(
            data_centre=centre,
            host=host,
            incarnation=new_incarnation(centre, host, random),
            data_centres=tuple(map(DataCentreName, self.entry.data_centres)),
            services={
                name: Service(name, section.repeatable)
                for name, section in self.services.items()
            },
            max_jobs=self.limits.max_jobs,
            timing=EntryTiming(
                drain_timeout=self.limits.drain_seconds * second,
                journal=journal,
                dispatch=dispatch,
            ),
        )


def read_entry_settings(path: Path) -> Result[EntrySettings, list[SettingsProblem]]:
    """Read the settings in `path`, or return all problems found in them."""
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, ConfigParserError) as error:
        return Err(
            [SettingsProblem(str(path), "file", f"a readable INI file: {error}")]
        )
    return _validate(parser)


def _validate(parser: ConfigParser) -> Result[EntrySettings, list[SettingsProblem]]:
    problems: list[SettingsProblem] = []
    sections = {
        name: read_section(parser, name, section_type, problems)
        for name, section_type in _SECTIONS.items()
    }
    services = {
        ServiceName(name.removeprefix(SERVICE_PREFIX)): read_section(
            parser, name, ServiceSection, problems
        )
        for name in parser.sections()
        if name.startswith(SERVICE_PREFIX)
    }
    for name in parser.sections():
        if name not in _SECTIONS and not name.startswith(SERVICE_PREFIX):
            known = ", ".join((*_SECTIONS, f"{SERVICE_PREFIX}NAME"))
            problems.append(SettingsProblem(name, "section", f"one of {known}"))
    if not services:
        expected = "at least one section of this kind"
        problems.append(SettingsProblem(f"{SERVICE_PREFIX}NAME", "section", expected))
    entry = sections["entry"]
    if isinstance(entry, EntrySection) and entry.data_centre not in entry.data_centres:
        expected = f"a list that holds data_centre, {entry.data_centre}"
        problems.append(SettingsProblem("entry", "data_centres", expected))
    if problems:
        return Err(problems)
    return Ok(EntrySettings(**sections, services=services))  # type: ignore[arg-type]


def read_section(
    parser: ConfigParser,
    name: str,
    section_type: type[_S],
    problems: list[SettingsProblem],
) -> _S | None:
    """Read the section `name`; if it is invalid, add its problems and return None."""
    values = dict(parser[name]) if parser.has_section(name) else {}
    try:
        return section_type.model_validate(values)
    except ValidationError as error:
        for item in error.errors():
            key = ".".join(str(part) for part in item["loc"][:1]) or "section"
            problems.append(SettingsProblem(name, key, item["msg"]))
        return None


__all__ = ["EntrySettings", "read_entry_settings", "read_section"]
