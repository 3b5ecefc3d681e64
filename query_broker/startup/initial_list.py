"""The endpoint list of a start: from the configuration, the snapshot or the discovery service."""

from __future__ import annotations

from dataclasses import replace

from ..decisions import Effect, RequestClass, Settings
from ..decisions.facade import EndpointState
from ..discovery.event_codec import parse_event
from ..discovery.watch_client import WatchClient
from ..server.host import NodeContext
from .dispatcher_hooks import DispatcherHooks
from .endpoint_snapshot import EndpointSnapshot
from .stages import ListSource, StartupStages

#: A kind that no endpoint has: requests of a class that allows only this kind are rejected.
NO_ENDPOINT_KIND = ("\0unconfirmed",)


class InitialList:
    """Gives the node its first endpoint list, and reports the source of the list to the stages.

    An address in a snapshot may have been reassigned to another endpoint. Until the discovery
    service has confirmed the list, requests that are not idempotent are rejected by restricting
    their classes to a kind that no endpoint has.
    """

    def __init__(
        self,
        node: NodeContext,
        hooks: DispatcherHooks,
        stages: StartupStages,
        snapshot: EndpointSnapshot | None,
    ) -> None:
        """Prepare the list.

        Args:
            node: The node that receives the list.
            hooks: Registers the restriction of the request classes.
            stages: The stages of the start.
            snapshot: The endpoint snapshot; None if there is no usable one.
        """
        self._node = node
        self._hooks = hooks
        self._stages = stages
        self._snapshot = snapshot
        self._unconfirmed = False

    def begin(self, now_ns: int) -> None:
        """End the stage ``settings``, and load the list of the snapshot or the configuration."""
        snapshot = self._snapshot
        if snapshot is None:
            self._stages.settings_read(now_ns, None)
        else:
            age_ns = max(0, self._node.clock.now() - snapshot.saved_at_ns)
            self._stages.settings_read(now_ns, age_ns)
            self._load_snapshot(snapshot)
        if self._node.config.known_events:
            self._stages.list_received(now_ns, ListSource.KNOWN, 0)

    def set_resume_offset(self, client: WatchClient) -> None:
        """Make the discovery client request only the watch events after the snapshot."""
        if self._snapshot is not None:
            client.last_offset = self._snapshot.offset

    def tick(self, now_ns: int) -> None:
        """Use the snapshot if the discovery service is silent; log if there is no list."""
        if self._stages.is_snapshot_due(now_ns):
            self._node.endpoint_list_known = True
            if self._snapshot is not None:
                self._stages.snapshot_age_ns = max(0, now_ns - self._snapshot.saved_at_ns)
            self._stages.list_received(now_ns, ListSource.DISK, self._ready_count())
        if self._stages.is_list_overdue(now_ns):
            self._stages.missing_list_logged = True
            self._node.log(
                "start",
                "no endpoint list from discovery and no snapshot on disk: still polling, not ready",
            )

    def event_received(self) -> None:
        """Record that a watch event of the discovery service has been applied."""
        self._stages.list_received(self._node.clock.now(), ListSource.BUS, self._ready_count())

    def confirmed(self) -> None:
        """Record that the discovery service has no newer list than this broker."""
        if self._unconfirmed:
            self._unconfirmed = False
            self._node.dispatcher.refresh_settings()
            self._node.log("start", "discovery has confirmed the endpoint snapshot")
        source = self._stages.source
        if source is ListSource.BUS:
            return
        if source is not ListSource.NONE or self._ready_count():
            self._node.endpoint_list_known = True
            self.event_received()

    def adjust(self, settings: Settings) -> Settings:
        """Return the settings of the decisions, restricted until the list is confirmed."""
        if not self._unconfirmed:
            return settings
        return replace(settings, classes=tuple(map(_only_idempotent, settings.classes)))

    def ready_endpoints(self) -> list[int]:
        """Return the numbers of the listed endpoints that are ready."""
        endpoints = self._node.dispatcher.endpoint_table.by_number
        return [
            number
            for number, entry in endpoints.items()
            if entry.target.state is EndpointState.READY
        ]

    def _ready_count(self) -> int:
        return len(self.ready_endpoints())

    def _load_snapshot(self, snapshot: EndpointSnapshot) -> None:
        self._node.dispatcher.endpoint_list_changed(parse_event(snapshot.event()))
        self._unconfirmed = True
        self._hooks.register_adjuster(self)


def _only_idempotent(request_class: RequestClass) -> RequestClass:
    if request_class.effect is Effect.IDEMPOTENT:
        return request_class
    return replace(request_class, allowed_kinds=NO_ENDPOINT_KIND)
