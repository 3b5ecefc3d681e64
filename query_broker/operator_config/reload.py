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


class OperatorConfigUser(Protocol):
    """What the reload needs of its node."""

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
    """Evaluates the operators' file again, and keeps the result until it is applied.

    Attributes:
        pending: The evaluated file that the platform settings are to be applied with; None while
            no reload is at that point.
    """

    def __init__(self, user: OperatorConfigUser, rejecter: FileRejecter) -> None:
        """Create a reload that has not begun.

        Args:
            user: The node that applies the file.
            rejecter: Counts and logs a file that is not applied.
        """
        self.pending: OperatorConfig | None = None
        self._user = user
        self._rejecter = rejecter
        self._evaluation: asyncio.Future[OperatorConfig] | None = None

    def begin(self) -> None:
        """Begin an evaluation; without effect while another one is under way."""
        if self._evaluation is not None:
            return
        loop = asyncio.get_running_loop()
        evaluation = loop.run_in_executor(None, partial(evaluate, self._user.operator_file))
        self._evaluation = evaluation
        evaluation.add_done_callback(self._evaluated)

    def _evaluated(self, evaluation: asyncio.Future[OperatorConfig]) -> None:
        self._evaluation = None
        if evaluation.cancelled():
            return
        try:
            self.pending = self._user.check_operator_config(evaluation.result())
        except OperatorFileError as error:
            self._rejecter.reject(str(error))
            return
        except Exception as error:  # no file, however odd, may end a process that serves
            self._rejecter.reject(f"{self._user.operator_file}: {type(error).__name__}: {error}")
            return
        self._user.reload_config()
