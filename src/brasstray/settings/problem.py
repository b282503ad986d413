"""Define the problems reported for invalid settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsProblem:
    """Describe an invalid setting by section, key and expected value."""

    section: str
    key: str
    expected: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key}: {self.expected}"


__all__ = ["SettingsProblem"]
