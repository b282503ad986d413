"""Validate a settings file of either daemon."""

from __future__ import annotations

from configparser import ConfigParser, Error as ConfigParserError
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from brasstray.settings.entry_settings import read_entry_settings
from brasstray.settings.pool_settings import POOL_SECTIONS, read_pool_settings

if TYPE_CHECKING:
    from pathlib import Path

    from brasstray.settings.entry_settings import EntrySettings
    from brasstray.settings.pool_settings import PoolSettings
    from brasstray.settings.problem import SettingsProblem


class DaemonKind(Enum):
    """Name the daemon that a settings file is for."""

    ENTRY_HOST = "an entry host of the own interface"
    POOL_HOST = "a host of the platform"


@dataclass(frozen=True)
class SettingsReport:
    """Hold the daemon that a settings file is for, and the problems found in it."""

    daemon: DaemonKind
    problems: tuple[SettingsProblem, ...]

    def as_json(self) -> dict[str, object]:
        """Convert to a JSON object."""
        return {
            "daemon": self.daemon.name.lower(),
            "problems": [
                {"section": p.section, "key": p.key, "expected": p.expected}
                for p in self.problems
            ],
        }


def validate_settings_file(path: Path) -> SettingsReport:
    """Validate a file; the names of its sections tell which daemon it is for."""
    if _is_for_pool_host(path):
        return _report(DaemonKind.POOL_HOST, read_pool_settings(path))
    return _report(DaemonKind.ENTRY_HOST, read_entry_settings(path))


def _is_for_pool_host(path: Path) -> bool:
    parser = ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
    except (UnicodeDecodeError, ConfigParserError):
        # The full reader, which runs next, reports the same error as a problem.
        return False
    return any(parser.has_section(name) for name in POOL_SECTIONS)


def _report(
    daemon: DaemonKind,
    found: Result[PoolSettings, list[SettingsProblem]]
    | Result[EntrySettings, list[SettingsProblem]],
) -> SettingsReport:
    match found:
        case Ok(_):
            return SettingsReport(daemon, ())
        case Err(problems):
            return SettingsReport(daemon, tuple(problems))


__all__ = ["DaemonKind", "SettingsReport", "validate_settings_file"]
