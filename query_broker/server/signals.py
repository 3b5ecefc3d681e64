"""Signal handling before the event loop runs, while it runs and after it has ended."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_early_sighups: list[int] = []  # the SIGHUPs received before the event loop handles signals


def record_early_sighups() -> None:
    """Record each SIGHUP from now on, until the event loop handles signals.

    A process may be sent SIGHUP for new settings right after its start. Without a handler the
    signal would end the process; if it were ignored, the process would keep the old settings.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _early_sighups.append(number))


def take_early_sighup() -> bool:
    """Return whether a SIGHUP was recorded, and clear the record."""
    was_received = bool(_early_sighups)
    _early_sighups.clear()
    return was_received


def handle_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Call ``stop`` at SIGTERM and SIGINT, and ``reload`` at SIGHUP, on the event loop."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore all handled signals while the process exits.

    The interpreter restores the default handlers as it exits: a second SIGTERM would kill a process
    that is about to exit with status 0.
    """
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
