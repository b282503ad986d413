"""Replace the tables between markers in a page by new measurements."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_BLOCK = re.compile(
    r"(<!-- measure: (?P<name>\w+) --seed (?P<seed>\d+) -->\n).*?(<!-- end -->)",
    re.DOTALL,
)


def fill(page: str, table: Callable[[str, int], str]) -> str:
    """Return `page` with the table of each marked measurement replaced."""

    def replace(block: re.Match[str]) -> str:
        new_table = table(block["name"], int(block["seed"]))
        return f"{block[1]}\n{new_table}\n\n{block[4]}"

    return _BLOCK.sub(replace, page)


__all__ = ["fill"]
