"""The orders that follow from one event, and the timers that have not fired.

Performs no I/O: the caller carries the orders out and reports the timers that are due.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .orders import Order, SetTimer

#: The function that a timer calls when it fires, and its arguments after the time.
TimerCallback = tuple[Callable[..., None], tuple[Any, ...]]


class OrderBuffer:
    """Collects orders in the sequence in which they are to be carried out.

    Attributes:
        orders: Orders of the event that is being handled.
        timers: Callbacks of the timers that have not fired, by token.
        next_token: Token of the next timer; 0 until the first was set.
    """

    __slots__ = ("next_token", "orders", "timers")

    def __init__(self) -> None:
        """Begin without orders and timers."""
        self.orders: list[Order] = []
        self.timers: dict[int, TimerCallback] = {}
        self.next_token = 0

    def begin(self) -> list[Order]:
        """Start the orders of another event and return the list that will hold them."""
        self.orders = []
        return self.orders

    def add(self, order: Order) -> None:
        """Append an order."""
        self.orders.append(order)

    def set_timer(self, due_ns: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Order a timer that calls ``callback(now, *arguments)`` when it fires."""
        token = self.next_token
        self.timers[token] = (callback, arguments)
        self.orders.append(SetTimer(due_ns, token))
        self.next_token = token + 1

    def fire(self, now_ns: int, token: int) -> None:
        """Run the callback of a timer; an unknown token is ignored."""
        timer = self.timers.pop(token, None)
        if timer is not None:
            callback, arguments = timer
            callback(now_ns, *arguments)
