"""Messages between brokers on failures of endpoints and on operators' overrides.

All are msgpack arrays: the names of the fields do not appear on the wire. Performs no I/O.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class OverrideValue(StrEnum):
    """An operator's decision on an endpoint; the values are used on the wire and in the JSON."""

    DISABLED = "out"
    ENABLED = "back"
    NEVER_EJECTED = "pinned"  # enabled, and never ejected by consensus


class Endpoint(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an endpoint; a restart begins a new one, without any observations.

    Attributes:
        uid: Id in the endpoint list.
        started_ms: When it started, in milliseconds since the epoch.
    """

    uid: str
    started_ms: int


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """The recent outcomes of one observer's attempts at one endpoint.

    Attributes:
        endpoint: The endpoint.
        failures: Number of failed attempts.
        successes: Number of successful attempts.
        failure_age_ms: Milliseconds since the last failure; -1 without one.
        success_age_ms: Milliseconds since the last success; -1 without one.
    """

    endpoint: Endpoint
    failures: int
    successes: int
    failure_age_ms: int
    success_age_ms: int


class ObserverReport(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """All observations of one broker.

    Attributes:
        observer: Name of the broker; only this broker writes the report.
        zone: Zone of the broker.
        version: Rises with each report of this broker.
        age_ms: Milliseconds since the report was written.
        observations: Observations of endpoints that failed, latest failure first.
    """

    observer: str
    zone: str
    version: int
    age_ms: int
    observations: tuple[Observation, ...]


class ObserverReports(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A batch of reports of the sender and of other brokers, for gossip."""

    reports: tuple[ObserverReport, ...]


class Override(msgspec.Struct, array_like=True, frozen=True):
    """An operator's decision on an endpoint.

    Attributes:
        uid: Id of the endpoint; the override applies to all its incarnations.
        value: One of `OverrideValue`; messages with other values are ignored.
        version: One more than the version of the override it replaces.
        author: Address of the broker at which the operator set it.
        replaced: Version and author of the override it replaces; (0, "") for none.
    """

    uid: str
    value: str
    version: int
    author: str
    replaced: tuple[int, str] = (0, "")

    def rank(self) -> tuple[int, bool, str]:
        """Return the key that orders overrides of one endpoint: the greatest is in force."""
        return self.version, self.value == OverrideValue.DISABLED, self.author


class OverrideBatch(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A batch of overrides, for gossip.

    Attributes:
        digest: Hash of all overrides of the sender; a receiver whose hash differs answers.
        overrides: Some of the sender's overrides.
        is_answer: Whether the message answers one with a different digest.
    """

    digest: bytes
    overrides: tuple[Override, ...]
    is_answer: bool = False


ConsensusMessage = ObserverReports | OverrideBatch
