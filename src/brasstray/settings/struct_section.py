"""Read a section of a settings file into a msgspec struct."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from brasstray.settings.endpoint import Endpoint, parse_endpoint
from brasstray.settings.problem import SettingsProblem

if TYPE_CHECKING:
    from configparser import ConfigParser

    _S = TypeVar("_S", bound=msgspec.Struct)


def read_struct_section(
    parser: ConfigParser,
    name: str,
    section_type: type[_S],
    problems: list[SettingsProblem],
) -> _S | None:
    """Read the section `name`; if it is invalid, add its problems and return None."""
    texts = dict(parser[name]) if parser.has_section(name) else {}
    values: dict[str, Any] = {}
    problems_before = len(problems)
    for field in msgspec.structs.fields(section_type):
        text = texts.pop(field.name, None)
        if text is None:
            if field.required:
                problems.append(SettingsProblem(name, field.name, "a value"))
            continue
        try:
            values[field.name] = _convert(field.type, text)
        except (msgspec.ValidationError, ValueError) as error:
            problems.append(SettingsProblem(name, field.name, str(error)))
    known = ", ".join(field.name for field in msgspec.structs.fields(section_type))
    for key in texts:
        problems.append(SettingsProblem(name, key, f"no such key; known: {known}"))
    return section_type(**values) if len(problems) == problems_before else None


def _convert(field_type: Any, text: str) -> Any:
    if field_type is Endpoint:
        return parse_endpoint(text)
    return msgspec.convert(text, field_type, strict=False)


__all__ = ["read_struct_section"]
