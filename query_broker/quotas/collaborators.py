"""Interfaces of the broker that the services of shared limits and outlier consensus use.

The node, the membership and the dispatcher implement these protocols structurally.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

from ..endpoints.endpoint_table import EndpointTable
from ..server.host import ServiceContext
from ..timer_wheel import TimerWheel

if TYPE_CHECKING:
    from ..dispatch.observers import DispatchExtensions, DispatchObserver
    from ..endpoints.connection_pools import ConnectionPools
    from ..membership.datagrams import TopicHandler


class MemberIdentity(Protocol):
    """Identity of a member."""

    @property
    def address(self) -> str:
        """Address as host:port."""


class FailureDetector(Protocol):
    """The failure detector of the membership."""

    @property
    def me(self) -> MemberIdentity:
        """This broker's identity."""

    @property
    def draw(self) -> random.Random:
        """The random generator of the membership and of the services that use it."""


class GossipMembership(Protocol):
    """Carries messages between the brokers of an installation."""

    @property
    def detector(self) -> FailureDetector:
        """The failure detector."""

    @property
    def name(self) -> str:
        """Name of this broker: address/incarnation."""

    def names(self) -> tuple[str, ...]:
        """Return the names of all members in the view."""

    def subscribe(self, topic: str, handler: TopicHandler, /) -> None:
        """Register the handler of a topic's messages."""

    def send(self, topic: str, name: str, body: bytes, /) -> None:
        """Queue a message for a member; the body must fit into a datagram."""

    def flush(self) -> None:
        """Send the queued messages."""


class MembershipView(Protocol):
    """One view of the membership."""

    @property
    def is_certain(self) -> bool:
        """Whether the membership considers the view reliable."""


class MembershipViews(Protocol):
    """Holds the current view."""

    @property
    def view(self) -> MembershipView:
        """The current view."""


class QuotaMembership(GossipMembership, Protocol):
    """A membership that also reports whether its view is reliable."""

    @property
    def views(self) -> MembershipViews:
        """Holder of the current view."""


class QuotaDispatcher(Protocol):
    """The parts of the dispatcher that shared limits use."""

    extensions: DispatchExtensions
    endpoint_table: EndpointTable
    pools: ConnectionPools
    timer_wheel: TimerWheel

    def add_observer(self, observer: DispatchObserver, /) -> None:
        """Register an observer of requests."""

    def refresh_settings(self) -> None:
        """Apply the settings again after an adjustment has changed."""


class QuotaHost(ServiceContext, Protocol):
    """The node as `QuotaService` sees it."""

    @property
    def dispatcher(self) -> QuotaDispatcher:
        """The dispatcher."""
