"""Maps the decisions' endpoint numbers to incarnations of endpoints, and back.

Performs no I/O.
"""

from __future__ import annotations

from ..decisions.facade import EndpointState
from ..endpoints.endpoint_table import EndpointTable, KnownEndpoint
from .messages import Endpoint
from .observations import NS_PER_MS


class EndpointDirectory:
    """Looks endpoints up in the endpoint table."""

    def __init__(self, table: EndpointTable) -> None:
        """Take the table, which changes with the endpoint list."""
        self.table = table

    def endpoint(self, number: int) -> Endpoint | None:
        """Return the present incarnation of an endpoint; None if its number is unknown."""
        known = self.table.by_number.get(number)
        return None if known is None else _incarnation(known)

    def number(self, endpoint: Endpoint) -> int | None:
        """Return the number of an endpoint; None if it is unknown or was restarted since."""
        known = self.table.by_uid.get(endpoint.uid)
        if known is None or _incarnation(known) != endpoint:
            return None
        return known.number

    def is_listed(self, uid: str) -> bool:
        """Return whether an endpoint is or was in the endpoint list."""
        return uid in self.table.by_uid

    def ready_zones(self) -> dict[Endpoint, str]:
        """Return the zone of each ready endpoint."""
        return {
            _incarnation(known): known.target.zone
            for known in self.table.by_number.values()
            if known.target.state is EndpointState.READY
        }


def _incarnation(known: KnownEndpoint) -> Endpoint:
    return Endpoint(known.target.uid, known.target.started_ns // NS_PER_MS)
