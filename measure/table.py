"""Format results as a Markdown table or as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any


def markdown(rows: list[Any]) -> str:
    """Return dataclass instances as a Markdown table."""
    records = [asdict(row) for row in rows]
    names = list(records[0])
    lines = [
        "| " + " | ".join(name.replace("_", " ") for name in names) + " |",
        "|" + " --- |" * len(names),
    ]
    lines += ["| " + " | ".join(_text(r[n]) for n in names) + " |" for r in records]
    return "\n".join(lines)


def as_json(rows: list[Any]) -> str:
    """Return dataclass instances as a JSON array."""
    return json.dumps([asdict(row) for row in rows])


def _text(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


__all__ = ["as_json", "markdown"]
