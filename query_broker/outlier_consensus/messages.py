"""Messages between brokers on endpoints' failures.

All are msgpack arrays: the names of the fields do not appear on the wire. Performs no I/O.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class OverrideValue(StrEnum):
    """What operators decide on an endpoint; the values are those on the wire and in the JSON."""

    DISABLED = "out"
    ENABLED = "back"
    NEVER_EJECTED = "pinned"  # in use, and no consensus ejects it


class Endpoint(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an endpoint: after a restart it is another one, without a past.

    Attributes:
        uid: Id in the endpoint list.
        started_ms: When it started, in milliseconds since the epoch.
    """

    uid: str
    started_ms: int


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """What one observer met recently at one endpoint.

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
        observer: Name of the broker; it alone writes its report.
        zone: Its zone.
        version: Rises with each report of this broker.
        age_ms: Milliseconds since the report was written.
        observations: The endpoints it saw fail, the latest failure first.
    """

    observer: str
    zone: str
    version: int
    age_ms: int
    observations: tuple[Observation, ...]


class ObserverReports(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One batch of gossip: reports of the sender and of others."""

    reports: tuple[ObserverReport, ...]


class Override(msgspec.Struct, array_like=True, frozen=True):
    """An operator's decision on an endpoint.

    Attributes:
        uid: Id of the endpoint, whatever its incarnation.
        value: One of `OverrideValue`; another one in a message is ignored.
        version: One more than that of the override it replaces.
        author: Address of the broker that took it.
        replaced: Version and author of the override it replaces; (0, "") for none.
    """

    uid: str
    value: str
    version: int
    author: str
    replaced: tuple[int, str] = (0, "")

    def rank(self) -> tuple[int, bool, str]:
        """Return what decides between two overrides of one endpoint: the greater holds."""
        return self.version, self.value == OverrideValue.DISABLED, self.author


class OverrideBatch(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """One batch of gossip on overrides.

    Attributes:
        digest: Hash of all overrides of the sender, so that a receiver with others answers.
        overrides: Some of them.
        is_answer: Whether the message answers another with a different digest.
    """

    digest: bytes
    overrides: tuple[Override, ...]
    is_answer: bool = False


ConsensusMessage = ObserverReports | OverrideBatch
