"""Signals that come before the loop can hear them, or after it has ended."""

from __future__ import annotations

import asyncio
import signal

ALL = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
early: list[int] = []  # SIGHUPs that came before the loop was there


def hold_hangup() -> None:
    """Danger: a broker that has just been started is told of new settings like any other: without a
    handler that ends the process, and what is ignored leaves it with the settings that it had begun
    to read.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))


def came_early() -> bool:
    """A SIGHUP came meanwhile; told once."""
    came = bool(early)
    early.clear()
    return came


def let_be(loop: asyncio.AbstractEventLoop) -> None:
    """Danger: the interpreter gives signals back to the system as it ends, and a second SIGTERM
    would end by signal a process that is on its way out.
    """
    for number in ALL:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
