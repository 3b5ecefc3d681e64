"""The orders that result from one event, and the pending timers.

Performs no I/O: the caller carries out the orders and reports due timers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .orders import Order, SetTimer

#: The function that a timer calls when it fires, and its arguments after the current time.
TimerCallback = tuple[Callable[..., None], tuple[Any, ...]]


class OrderBuffer:
    """Collects orders in the sequence of their execution.

    Attributes:
        orders: Orders of the event that is being handled.
        timers: Callbacks of the pending timers, by token.
        next_token: Token of the next timer; 0 until the first timer is set.
    """

    __slots__ = ("next_token", "orders", "timers")

    def __init__(self) -> None:
        """Start without orders and timers."""
        self.orders: list[Order] = []
        self.timers: dict[int, TimerCallback] = {}
        self.next_token = 0

    def begin_event(self) -> list[Order]:
        """Start the list of orders for a new event and return it."""
        self.orders = []
        return self.orders

    def add(self, order: Order) -> None:
        """Append an order."""
        self.orders.append(order)

    def set_timer(self, due_ns: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Order a timer that calls ``callback(now_ns, *arguments)`` when it fires."""
        token = self.next_token
        self.timers[token] = (callback, arguments)
        self.orders.append(SetTimer(due_ns, token))
        self.next_token = token + 1

    def fire_timer(self, now_ns: int, token: int) -> None:
        """Call the callback of a timer; ignore an unknown token."""
        timer = self.timers.pop(token, None)
        if timer is not None:
            callback, arguments = timer
            callback(now_ns, *arguments)
