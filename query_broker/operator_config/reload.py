"""Reload of the operators' file together with the platform settings: both are applied or neither.

The evaluation can take seconds, so it runs in a thread of the executor while the event loop
continues to serve.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol

from .script import OperatorFileError, evaluate
from .settings import OperatorConfig


class ReloadTarget(Protocol):
    """The node to which a reload is applied."""

    @property
    def operator_file(self) -> str:
        """Path of the operators' file."""

    def check_operator_config(self, operator_config: OperatorConfig) -> OperatorConfig:
        """Return the configuration; raise ``OperatorFileError`` if it can't be applied."""

    def reload_config(self) -> None:
        """Reload the platform settings, and apply the pending operators' file with them."""


class FileRejecter(Protocol):
    """Is notified of rejected files."""

    def reject(self, reason: str, /) -> None:
        """Count and log a rejected file."""


class OperatorFileReload:
    """Re-evaluates the operators' file, and holds the result until it is applied.

    Attributes:
        pending_config: The evaluated file, to be applied together with the platform settings; None
            unless it waits for them.
    """

    def __init__(self, target: ReloadTarget, rejecter: FileRejecter) -> None:
        """Create the reload of a node; ``begin`` starts it.

        Args:
            target: The node that applies the file.
            rejecter: Counts and logs a rejected file.
        """
        self.pending_config: OperatorConfig | None = None
        self._target = target
        self._rejecter = rejecter
        self._evaluation: asyncio.Future[OperatorConfig] | None = None

    def begin(self) -> None:
        """Start an evaluation, unless one is in progress already."""
        if self._evaluation is not None:
            return
        loop = asyncio.get_running_loop()
        evaluation = loop.run_in_executor(None, partial(evaluate, self._target.operator_file))
        self._evaluation = evaluation
        evaluation.add_done_callback(self._evaluated)

    def _evaluated(self, evaluation: asyncio.Future[OperatorConfig]) -> None:
        self._evaluation = None
        if evaluation.cancelled():
            return
        try:
            self.pending_config = self._target.check_operator_config(evaluation.result())
        except OperatorFileError as error:
            self._rejecter.reject(str(error))
            return
        except Exception as error:  # a faulty file must not end a serving broker
            self._rejecter.reject(f"{self._target.operator_file}: {type(error).__name__}: {error}")
            return
        self._target.reload_config()
