"""The endpoint table: the number of each endpoint, and where it listens.

Performs no I/O. The decisions and the connection pools know an endpoint by its number alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..decisions.facade import EndpointEntry, EndpointState
from ..discovery.event_codec import EndpointListEvent, ListedEndpoint

#: Bytes of the hash that numbers an endpoint. 32 bits hardly collide among some hundred endpoints,
#: and a collision is resolved.
NUMBER_BYTES = 4
NUMBER_RANGE = 1 << (8 * NUMBER_BYTES)


@dataclass(slots=True)
class KnownEndpoint:
    """One endpoint of the table.

    Attributes:
        number: The number that stands for its uid; it never changes while the endpoint is known.
        target: Its latest entry in the endpoint list.
    """

    number: int
    target: ListedEndpoint


class EndpointTable:
    """The endpoints of the list, by uid and by number.

    An endpoint's identity is its uid, since a new endpoint may get the address of a removed one.
    The number is a hash of the uid, so that all brokers rank endpoints alike without exchanging
    anything.
    """

    def __init__(self) -> None:
        """Start with no endpoint."""
        self.by_uid: dict[str, KnownEndpoint] = {}
        self.by_number: dict[int, KnownEndpoint] = {}

    def number(self, uid: str) -> int:
        """Return the number of a uid, whether or not the endpoint is in the table."""
        known = self.by_uid.get(uid)
        if known is not None:
            return known.number
        digest = hashlib.blake2b(uid.encode(), digest_size=NUMBER_BYTES).digest()
        number = int.from_bytes(digest, "big")
        # Two uids with one hash: the later one takes the next free number.
        while number in self.by_number:
            number = (number + 1) % NUMBER_RANGE
        return number

    def apply_event(self, event: EndpointListEvent) -> tuple[EndpointEntry, ...]:
        """Apply an event of the endpoint list.

        Args:
            event: The complete list, or the endpoints that have changed.

        Returns:
            The event's endpoints under their numbers, as the decisions take them; before them,
            those that a change of addresses has shown to be removed. What is missing from a
            complete list is marked as removed in the table and isn't part of the answer.
        """
        targets = list(event.targets)
        listed_uids = {target.uid for target in targets}
        if event.full:
            self._remove_unlisted(listed_uids)
        else:
            targets = [*self._displaced(targets, listed_uids), *targets]
        return tuple(self._entry(target) for target in targets)

    def forget_removed(self) -> None:
        """Drop the removed endpoints from the table.

        Endpoints come under new uids for as long as the process runs. The pool of a removed
        endpoint keeps what it needs until the last answer; should the uid come again, its hash
        gives it the same number.
        """
        for uid, endpoint in list(self.by_uid.items()):
            if endpoint.target.state is EndpointState.REMOVED:
                del self.by_uid[uid]
                del self.by_number[endpoint.number]

    def _remove_unlisted(self, listed_uids: set[str]) -> None:
        for endpoint in self.by_uid.values():
            if endpoint.target.uid not in listed_uids:
                endpoint.target = _removed(endpoint.target)

    def _displaced(
        self, targets: Iterable[ListedEndpoint], listed_uids: set[str]
    ) -> list[ListedEndpoint]:
        """Return, marked as removed, the endpoints at whose address another endpoint now listens.

        Two endpoints can't listen at one address, so that the former one must have ended, although
        the event doesn't name it.
        """
        listeners = {
            (target.host, target.port): target.uid
            for target in targets
            if target.state is not EndpointState.REMOVED
        }
        displaced = []
        for endpoint in self.by_uid.values():
            target = endpoint.target
            if target.uid in listed_uids or target.state is EndpointState.REMOVED:
                continue
            if listeners.get((target.host, target.port), target.uid) != target.uid:
                displaced.append(_removed(target))
        return displaced

    def _entry(self, target: ListedEndpoint) -> EndpointEntry:
        """Enter one endpoint in the table; a uid that is known keeps its number."""
        endpoint = KnownEndpoint(self.number(target.uid), target)
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


def _removed(target: ListedEndpoint) -> ListedEndpoint:
    return replace(target, state=EndpointState.REMOVED)


def has_warming_endpoint(table: EndpointTable, warm_up_ns: int, now_ns: int) -> bool:
    """Return whether a ready endpoint of the table has started less than a warm-up ago."""
    return any(
        known.target.state is EndpointState.READY and known.target.started_ns + warm_up_ns > now_ns
        for known in table.by_number.values()
    )
