"""Maps the decisions' endpoint numbers to incarnations of endpoints, and back.

Performs no I/O.
"""

from __future__ import annotations

from ..decisions.facade import EndpointState
from ..endpoints.endpoint_table import EndpointRecord, EndpointTable
from .messages import Endpoint
from .observations import NS_PER_MS


class EndpointDirectory:
    """Looks up endpoints in the endpoint table."""

    def __init__(self, table: EndpointTable) -> None:
        """Take the table, which changes with the endpoint list."""
        self.table = table

    def endpoint(self, number: int) -> Endpoint | None:
        """Return the current incarnation of an endpoint; None if its number is unknown."""
        listed = self.table.by_number.get(number)
        return None if listed is None else _incarnation(listed)

    def number(self, endpoint: Endpoint) -> int | None:
        """Return the number of an endpoint; None if it is unknown or has been restarted since."""
        listed = self.table.by_uid.get(endpoint.uid)
        if listed is None or _incarnation(listed) != endpoint:
            return None
        return listed.number

    def is_listed(self, uid: str) -> bool:
        """Return whether an endpoint is or was in the endpoint list."""
        return uid in self.table.by_uid

    def ready_zones(self) -> dict[Endpoint, str]:
        """Return the zone of each ready endpoint."""
        return {
            _incarnation(listed): listed.target.zone
            for listed in self.table.by_number.values()
            if listed.target.state is EndpointState.READY
        }


def _incarnation(listed: EndpointRecord) -> Endpoint:
    return Endpoint(listed.target.uid, listed.target.started_ns // NS_PER_MS)
