"""The engine table: which uid the module's numbers stand for, and where each engine listens."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from ..decisions.facade import EndpointEntry, EndpointState
from ..discovery.event_codec import EndpointListEvent, ListedEndpoint


@dataclass(slots=True)
class KnownEndpoint:
    number: int
    target: ListedEndpoint


class EndpointTable:
    """Danger: a new engine may take the address of one that has gone: engines are known by uid
    alone. The number is a hash of the uid, so that all brokers rank engines alike with nothing sent
    between them.
    """

    def __init__(self) -> None:
        self.by_uid: dict[str, KnownEndpoint] = {}
        self.by_number: dict[int, KnownEndpoint] = {}

    def number(self, uid: str) -> int:
        if (known := self.by_uid.get(uid)) is not None:
            return known.number
        number = int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=4).digest(), "big")
        # two uids with one hash: the later one takes the next free number
        while number in self.by_number:
            number = (number + 1) % (1 << 32)
        return number

    def learn(self, event: EndpointListEvent) -> tuple[EndpointEntry, ...]:
        """Take the news in; returns it with the module's numbers. A uid keeps its number."""
        targets = list(event.targets)
        if not event.full:
            # A listener at this address is another engine now, so the one that had it has gone.
            taken = {
                (t.host, t.port): t.uid for t in targets if t.state is not EndpointState.REMOVED
            }
            told = {t.uid for t in targets}
            targets[:0] = [
                _gone(k.target)
                for k in self.by_uid.values()
                if k.target.uid not in told
                and k.target.state is not EndpointState.REMOVED
                and taken.get((k.target.host, k.target.port), k.target.uid) != k.target.uid
            ]
        else:
            told = {t.uid for t in targets}
            for known in self.by_uid.values():
                if known.target.uid not in told:
                    known.target = _gone(known.target)
        entries = []
        for target in targets:
            known = KnownEndpoint(self.number(target.uid), target)
            self.by_uid[target.uid] = self.by_number[known.number] = known
            entries.append(
                EndpointEntry(
                    known.number,
                    target.state,
                    target.zone,
                    target.kind,
                    target.cell,
                    target.weight,
                    target.started_ns,
                )
            )
        return tuple(entries)

    def let_go(self) -> None:
        """Danger: engines come under new uids for as long as we run. What has gone is known by its
        pool until the last answer; should its uid come again, the hash gives it its number
        again.
        """
        for uid, known in list(self.by_uid.items()):
            if known.target.state is EndpointState.REMOVED:
                del self.by_uid[uid], self.by_number[known.number]


def _gone(target: ListedEndpoint) -> ListedEndpoint:
    return ListedEndpoint(
        target.uid,
        target.host,
        target.port,
        target.zone,
        target.kind,
        target.cell,
        EndpointState.REMOVED,
        target.weight,
        target.started_ns,
    )
