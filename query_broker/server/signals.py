"""Signals: those that come before the event loop can take them, while it runs and after its end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_early_hangups: list[int] = []  # the SIGHUPs that came before the event loop


def remember_early_hangups() -> None:
    """Remember each SIGHUP from now on, until the event loop takes them.

    A process that has just been started gets SIGHUP for new settings like any other. Without a
    handler the signal would end it; if ignored, the process would keep the former settings.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _early_hangups.append(number))


def take_early_hangup() -> bool:
    """Return whether a SIGHUP came before the event loop; each is reported once."""
    has_come = bool(_early_hangups)
    _early_hangups.clear()
    return has_come


def handle_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Call ``stop`` at SIGTERM and SIGINT, and ``reload`` at SIGHUP, on the event loop."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore all handled signals, at the end of the process.

    The interpreter gives signals back to the system as it ends: a second SIGTERM would end by
    signal a process that is about to exit with 0.
    """
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
