"""Dispatchers without a node."""

from __future__ import annotations

from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.timer_wheel import Clock

from ..support.sockets import make_config, target_entry, topology_event


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher without endpoints that logs nothing."""
    return Dispatcher(make_config(), Clock(), lambda kind, text: None)


def list_endpoint(dispatcher: Dispatcher, uid: str) -> None:
    """Give the dispatcher an endpoint list that contains only this endpoint."""
    event = topology_event(1, target_entry(uid, 1), full=True)
    dispatcher.endpoint_list_changed(parse_event(event))
