"""Operators' HTTP calls on outliers: `/verdicts`, and `/verdicts/{out,clear,pin}/UID`.

Performs no I/O. The keys of the JSON are read by `cli/limits.py` and by operators' scripts: "word"
is the value of an override, and "lost" lists the overrides that lost against concurrent ones.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Protocol

from ..protocols.json_answers import error_answer, json_answer, wrong_method_answer
from ..protocols.operator_answers import HttpAnswer
from ..timer_wheel import Clock
from .consensus import Ejection, OutlierConsensus
from .messages import Override, OverrideValue
from .overrides import OverrideStore
from .settings import NS_PER_S

PATH = "verdicts"
ACTIONS = {
    "pin": OverrideValue.NEVER_EJECTED,
    "clear": OverrideValue.ENABLED,
    "out": OverrideValue.DISABLED,
}


class OverrideTarget(Protocol):
    """Applies operators' overrides."""

    def is_known_endpoint(self, uid: str) -> bool:
        """Return whether the endpoint is or was in the endpoint list."""

    def override(self, uid: str, value: OverrideValue) -> Override:
        """Apply an operator's override at all brokers."""


class ConsensusAdmin:
    """Answers operators' calls on outliers and overrides."""

    def __init__(
        self,
        consensus: OutlierConsensus,
        overrides: OverrideStore,
        target: OverrideTarget,
        clock: Clock,
    ) -> None:
        """Take the sources of the answers and the target that applies overrides."""
        self.consensus = consensus
        self.overrides = overrides
        self.target = target
        self.clock = clock

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer a call; return None if its path does not belong to this service."""
        parts = path.strip("/").split("/")
        if parts[0] != PATH:
            return None
        if len(parts) == 1:
            return json_answer(self.status()) if method == "GET" else wrong_method_answer("GET")
        if method != "POST":
            return wrong_method_answer("POST")
        value = ACTIONS.get(parts[1])
        if value is None or len(parts) != 3:
            return error_answer(HTTPStatus.NOT_FOUND, "no such call")
        uid = parts[2]
        if not self.target.is_known_endpoint(uid):
            return error_answer(HTTPStatus.NOT_FOUND, "no data engine has this id")
        override = self.target.override(uid, value)
        return json_answer({"uid": uid, "word": value, "version": override.version})

    def status(self) -> dict[str, Any]:
        """Return ejections and overrides as JSON."""
        now_ns = self.clock.now()
        ejections = self.consensus.ejections.values()
        return {
            "verdicts": [_ejection_status(ejection, now_ns) for ejection in ejections],
            "words": [_override_status(override) for override in self.overrides.overrides.values()],
            "lost": [_override_status(override) for override in self.overrides.superseded.values()],
            "figures": self.consensus.event_counts,
        }


def _ejection_status(ejection: Ejection, now_ns: int) -> dict[str, Any]:
    return {
        "uid": ejection.endpoint.uid,
        "kind": ejection.scope.value,
        "zone": ejection.zone,
        "observers": len(ejection.observers),
        "for": round((now_ns - ejection.ejected_at_ns) / NS_PER_S, 2),
        "at_least": round((ejection.min_end_ns - now_ns) / NS_PER_S, 2),
        "evidence_age": round((now_ns - ejection.latest_failure_ns) / NS_PER_S, 2),
        "relapses": ejection.relapses,
    }


def _override_status(override: Override) -> dict[str, Any]:
    return {
        "uid": override.uid,
        "word": override.value,
        "version": override.version,
        "by": override.author,
    }
