"""Build models whose search stops at the first invariant violation."""

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
    """Return a model whose states are named tuples of type `kind`.

    After the first violation no state has successors, so that broken variants finish
    early. A search without a violation is exhaustive.
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
