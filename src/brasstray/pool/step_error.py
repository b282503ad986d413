"""Attribute an unexpected error to the step of a job that caused it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

    from brasstray.pool.step_tasks import StepTasks


class StepError(Exception):
    """Handling one step failed; its cause is the error that was raised."""

    def __init__(self, step: StepTasks) -> None:
        super().__init__(f"job {step.batch}, step {step.step}")
        self.step = step


class attributed_to:  # noqa: N801 - a context manager, named like a function
    """Raise a StepError for `step` in place of any error in the block."""

    __slots__ = ("_step",)

    def __init__(self, step: StepTasks) -> None:
        self._step = step

    def __enter__(self) -> None:
        """Do nothing."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Raise the StepError, unless the error has been attributed already."""
        if isinstance(error, Exception) and not isinstance(error, StepError):
            raise StepError(self._step) from error


__all__ = ["StepError", "attributed_to"]
