"""Test the validation of settings files of both daemons."""

from __future__ import annotations

import json

import pytest
from tests.settings.test_entry_settings import VALID_ENTRY_HOST, write
from typer.testing import CliRunner

from brasstray.command.main import app
from brasstray.settings.check import DaemonKind, validate_settings_file

VALID_POOL_HOST = {
    "host": {
        "name": "edge-1",
        "data_centre": "utrecht-a",
        "callers": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "peers": "127.0.0.1:3",
        "metrics": "127.0.0.1:4",
    },
    "store": {"address": "127.0.0.1:5"},
    "minions": {},
    "stop": {},
}


@pytest.mark.parametrize(
    ("sections", "daemon", "wrong"),
    [
        (VALID_ENTRY_HOST, DaemonKind.ENTRY_HOST, []),
        (VALID_POOL_HOST, DaemonKind.POOL_HOST, []),
        (
            VALID_POOL_HOST | {"stop": {"grace_seconds": "0"}},
            DaemonKind.POOL_HOST,
            [("stop", "grace_seconds")],
        ),
        (
            VALID_POOL_HOST | {"shortage": {"prioritize": "true"}},
            DaemonKind.POOL_HOST,
            [],
        ),
        (
            VALID_POOL_HOST | {"shortage": {"prioritize": "perhaps"}},
            DaemonKind.POOL_HOST,
            [("shortage", "prioritize")],
        ),
        (
            VALID_POOL_HOST
            | {"minions": {"lease_ms": "100"}, "store": {"address": "store:1"}},
            DaemonKind.POOL_HOST,
            [("store", "address"), ("minions", "lease_ms")],
        ),
        (
            VALID_POOL_HOST | {"processor": {"share": "0.5", "speed": "3"}},
            DaemonKind.POOL_HOST,
            [],
        ),
        (
            VALID_POOL_HOST
            | {"processor": {"share": "0", "speed": "fast", "cores": "3"}},
            DaemonKind.POOL_HOST,
            [("processor", "share"), ("processor", "speed"), ("processor", "cores")],
        ),
        (
            VALID_POOL_HOST | {"printer": {"paper": "a4"}},
            DaemonKind.POOL_HOST,
            [("printer", "section")],
        ),
    ],
)
def test_each_problem_is_reported(tmp_path, sections, daemon, wrong):
    found = validate_settings_file(write(tmp_path / "a.ini", sections))
    assert found.daemon is daemon
    assert [(p.section, p.key) for p in found.problems] == wrong


@pytest.mark.parametrize("text", ["[host\nname=", "\xff\xfe", ""])
def test_a_file_without_settings_is_reported(tmp_path, text):
    path = tmp_path / "a.ini"
    path.write_bytes(text.encode("latin-1"))
    assert validate_settings_file(path).problems


@pytest.mark.parametrize(
    ("sections", "status"),
    [(VALID_POOL_HOST, 0), (VALID_POOL_HOST | {"stop": {"grace_seconds": "x"}}, 2)],
)
def test_the_command_ends_with_a_status_and_prints_json(tmp_path, sections, status):
    path = write(tmp_path / "a.ini", sections)
    result = CliRunner().invoke(app, ["settings", "check", str(path), "--json"])
    assert result.exit_code == status
    report = json.loads(result.stdout)
    assert report["daemon"] == "pool_host"
    assert bool(report["problems"]) == bool(status)
