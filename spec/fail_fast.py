"""Build models whose search ends at the first violation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


def fail_fast_model(
    name: str,
    kind: Any,
    initial: tuple,
    steps: Callable[[Any], Iterable[tuple]],
    invariants: dict[str, Callable[[dict], bool]],
) -> Protocol:
    """Return a protocol over states of the named tuple `kind`, for the checker.

    A search that has met a violation goes no further, so that broken variants end
    early; one that meets none is exhaustive.
    """
    violated = False

    def transitions(values: tuple) -> list[tuple]:
        nonlocal violated
        state = kind(*values)
        violated = violated or not all(
            holds(state._asdict()) for holds in invariants.values()
        )
        return [] if violated else list(steps(state))

    return Protocol(
        name=name,
        candidate=False,
        fields=kind._fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
    )


__all__ = ["fail_fast_model"]
