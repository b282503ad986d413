"""Run every failure scenario."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("executor.feature", "journal.feature", "minions.feature", "shutdown.feature")
