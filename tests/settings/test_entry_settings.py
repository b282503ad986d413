"""Test that invalid settings are reported by section, key and expected value."""

from __future__ import annotations

import pytest
from result import Err, Ok

from brasstray.settings.entry_settings import read_entry_settings

VALID_ENTRY_HOST = {
    "entry": {
        "data_centre": "utrecht-a",
        "host": "entry-0",
        "data_centres": "utrecht-a, utrecht-b",
        "callers": "127.0.0.1:8080",
        "peers": "127.0.0.1:9080",
    },
    "platform": {"address": "127.0.0.1:7000"},
    "service:verlofdienst": {"repeatable": "no"},
}


def write(path, sections):
    lines = []
    for name, values in sections.items():
        lines.append(f"[{name}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
    path.write_text("\n".join(lines))
    return path


def test_valid_settings_are_read(tmp_path):
    match read_entry_settings(write(tmp_path / "a.ini", VALID_ENTRY_HOST)):
        case Ok(settings):
            assert settings.entry.callers.port == 8080
            assert not settings.services["verlofdienst"].repeatable
        case Err(problems):
            raise AssertionError(problems)


@pytest.mark.parametrize(
    ("section", "key", "value", "expected"),
    [
        ("entry", "callers", "localhost:8080", "an IP address and a port"),
        ("entry", "peers", "127.0.0.1:99999", "an IP address and a port"),
        ("entry", "host", "entry 0", "should match pattern"),
        ("entry", "data_centres", "utrecht-b", "a list that holds data_centre"),
        ("entry", "colour", "blue", "not permitted"),
        ("platform", "timeout_ms", "1", "greater than or equal to 10"),
        ("limits", "max_jobs", "many", "valid integer"),
        ("service:verlofdienst", "repeatable", "perhaps", "valid boolean"),
        ("printer", "paper", "a4", "one of entry, platform"),
    ],
)
def test_an_invalid_setting_is_reported(tmp_path, section, key, value, expected):
    sections = {
        **VALID_ENTRY_HOST,
        section: {**VALID_ENTRY_HOST.get(section, {}), key: value},
    }
    match read_entry_settings(write(tmp_path / "a.ini", sections)):
        case Ok(_):
            raise AssertionError("invalid settings accepted")
        case Err([problem]):
            assert problem.section == section
            assert problem.key in (key, "section")
            assert expected in problem.expected
        case Err(problems):
            raise AssertionError(problems)


def test_all_invalid_settings_are_reported_at_once(tmp_path):
    sections = {
        **VALID_ENTRY_HOST,
        "platform": {"address": "x"},
        "limits": {"max_jobs": "0"},
    }
    problems = read_entry_settings(write(tmp_path / "a.ini", sections)).unwrap_err()
    assert [(p.section, p.key) for p in problems] == [
        ("platform", "address"),
        ("limits", "max_jobs"),
    ]
