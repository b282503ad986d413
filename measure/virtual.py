"""Run measurements on a virtual clock, reproducibly for each seed."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
import trio
from trio.testing import MockClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_T = TypeVar("_T")


def run_virtual(seed: int, run: Callable[[], Awaitable[_T]]) -> _T:
    """Return the result of `run` on a clock that advances whenever all tasks sleep.

    trio shuffles the tasks that are ready to run. Its own tests seed the shuffle by
    the same private names.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(run, backend="trio", backend_options={"clock": clock})


__all__ = ["run_virtual"]
