"""Run a case and turn its finding into the exit status of its script."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIMEOUT_S = 105


def trouble():
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case):
    """Run `case`, which returns the breaks that it found, and exit."""

    async def limited():
        async with asyncio.timeout(TIMEOUT_S):
            return await case()

    try:
        breaks = asyncio.run(limited())
    except BaseException:
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    for line in breaks:
        print(line)
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(BROKEN if breaks else HELD)
