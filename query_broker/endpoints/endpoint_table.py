"""The endpoint table: the number of each endpoint, and where it listens.

Performs no I/O. The decisions and the connection pools identify an endpoint by its number alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..decisions.facade import EndpointEntry, EndpointState
from ..discovery.event_codec import EndpointListEvent, ListedEndpoint

#: Length of the hash that becomes an endpoint's number. With 32 bits, collisions among a few
#: hundred endpoints are unlikely, and `EndpointTable.number` resolves them.
NUMBER_BYTES = 4
NUMBER_COUNT = 1 << (8 * NUMBER_BYTES)


@dataclass(slots=True)
class EndpointRecord:
    """One endpoint of the table.

    Attributes:
        number: The number that stands for the endpoint's uid; constant while the endpoint is in the
            table.
        target: The endpoint's latest entry in the endpoint list.
    """

    number: int
    target: ListedEndpoint


class EndpointTable:
    """The endpoints of the list, by uid and by number.

    An endpoint's identity is its uid, since a new endpoint may get the address of a removed one.
    The number is a hash of the uid, so that all brokers rank endpoints alike without coordination.
    """

    def __init__(self) -> None:
        """Start with no endpoint."""
        self.by_uid: dict[str, EndpointRecord] = {}
        self.by_number: dict[int, EndpointRecord] = {}

    def number(self, uid: str) -> int:
        """Return the number of a uid, whether or not the endpoint is in the table."""
        known = self.by_uid.get(uid)
        if known is not None:
            return known.number
        digest = hashlib.blake2b(uid.encode(), digest_size=NUMBER_BYTES).digest()
        number = int.from_bytes(digest, "big")
        # Two uids have the same hash: the later one takes the next free number.
        while number in self.by_number:
            number = (number + 1) % NUMBER_COUNT
        return number

    def apply_event(self, event: EndpointListEvent) -> tuple[EndpointEntry, ...]:
        """Apply an event of the endpoint list.

        Args:
            event: The complete list, or the endpoints that have changed.

        Returns:
            The event's endpoints as entries for the decisions, preceded by the endpoints whose
            address another endpoint has taken, as removed. Endpoints that are missing from a
            complete list are marked as removed in the table and are not returned.
        """
        targets = list(event.targets)
        listed_uids = {target.uid for target in targets}
        if event.full:
            self._remove_unlisted(listed_uids)
        else:
            targets = [*self._displaced_targets(targets, listed_uids), *targets]
        return tuple(self._entry(target) for target in targets)

    def forget_removed(self) -> None:
        """Drop the removed endpoints from the table.

        New uids appear for as long as the process runs, so the table would otherwise grow without
        bound. The pool of a removed endpoint keeps what it needs until the last answer; if the uid
        is listed again, its hash gives it the same number.
        """
        for uid, endpoint in list(self.by_uid.items()):
            if endpoint.target.state is EndpointState.REMOVED:
                del self.by_uid[uid]
                del self.by_number[endpoint.number]

    def _remove_unlisted(self, listed_uids: set[str]) -> None:
        for endpoint in self.by_uid.values():
            if endpoint.target.uid not in listed_uids:
                endpoint.target = _as_removed(endpoint.target)

    def _displaced_targets(
        self, targets: Iterable[ListedEndpoint], listed_uids: set[str]
    ) -> list[ListedEndpoint]:
        """Return, marked as removed, the endpoints at whose address another endpoint now listens.

        Two endpoints can't listen at one address, so the former one must have ended, although the
        event doesn't name it.
        """
        uid_by_address = {
            (target.host, target.port): target.uid
            for target in targets
            if target.state is not EndpointState.REMOVED
        }
        displaced = []
        for endpoint in self.by_uid.values():
            target = endpoint.target
            if target.uid in listed_uids or target.state is EndpointState.REMOVED:
                continue
            if uid_by_address.get((target.host, target.port), target.uid) != target.uid:
                displaced.append(_as_removed(target))
        return displaced

    def _entry(self, target: ListedEndpoint) -> EndpointEntry:
        """Add or update one endpoint of the table; a uid that is in the table keeps its number."""
        endpoint = EndpointRecord(self.number(target.uid), target)
        self.by_uid[target.uid] = endpoint
        self.by_number[endpoint.number] = endpoint
        return EndpointEntry(
            endpoint=endpoint.number,
            state=target.state,
            zone=target.zone,
            kind=target.kind,
            cell=target.cell,
            weight=target.weight,
            started_ns=target.started_ns,
        )


def _as_removed(target: ListedEndpoint) -> ListedEndpoint:
    return replace(target, state=EndpointState.REMOVED)


def has_warming_endpoint(table: EndpointTable, warm_up_ns: int, now_ns: int) -> bool:
    """Return whether any ready endpoint of the table is still within its warm-up time."""
    return any(
        known.target.state is EndpointState.READY and known.target.started_ns + warm_up_ns > now_ns
        for known in table.by_number.values()
    )
