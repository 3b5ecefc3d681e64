"""Reload of two files at once: the operators' file is evaluated, then both are applied or neither.

The evaluation takes up to seconds, so it runs in a thread of the executor, while the event loop
goes on serving.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol

from .script import OperatorFileError, evaluate
from .settings import OperatorConfig


class ReloadTarget(Protocol):
    """The node that a reload applies its result to."""

    @property
    def operator_file(self) -> str:
        """Path of the operators' file."""

    def check_operator_config(self, operator_config: OperatorConfig) -> OperatorConfig:
        """Return the configuration, or raise ``OperatorFileError`` before anything has changed."""

    def reload_config(self) -> None:
        """Reload the platform settings, and apply the pending operators' file with them."""


class FileRejecter(Protocol):
    """Is notified of files that are not applied."""

    def reject(self, reason: str, /) -> None:
        """Count and log a file that is not applied."""


class OperatorFileReload:
    """Evaluates the operators' file again, and holds the result until it is applied.

    Attributes:
        pending_config: The evaluated file that the platform settings are to be applied with; None
            while no reload is at that point.
    """

    def __init__(self, target: ReloadTarget, rejecter: FileRejecter) -> None:
        """Create a reload that has not begun.

        Args:
            target: The node that applies the file.
            rejecter: Counts and logs a file that is not applied.
        """
        self.pending_config: OperatorConfig | None = None
        self._target = target
        self._rejecter = rejecter
        self._evaluation: asyncio.Future[OperatorConfig] | None = None

    def begin(self) -> None:
        """Start an evaluation; without effect while another one is in progress."""
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
        except Exception as error:  # no file may end a broker that serves
            self._rejecter.reject(f"{self._target.operator_file}: {type(error).__name__}: {error}")
            return
        self._target.reload_config()
