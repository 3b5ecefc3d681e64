"""The admin API calls about the membership, answered in JSON.

The keys of the answers are a public interface and do not follow renames of internal fields.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..protocols.json_answers import json_answer, wrong_method_answer
from ..protocols.operator_answers import HttpAnswer
from .codec import Codec
from .failure_detector import FailureDetector
from .member_record import MemberRecord
from .reachability import assess_reachability
from .service_host import ServiceHost
from .settings import NS_PER_MS, NS_PER_S
from .timing import DetectionBounds, Quantiles, detection_bounds
from .traffic import TrafficCounters
from .views import ViewTracker

STATUS_PATH = "/members"
KEYS_PATH = "/members/keys"
LEAVE_PATH = "/members/leave"
METHOD_BY_PATH = {STATUS_PATH: "GET", KEYS_PATH: "GET", LEAVE_PATH: "POST"}


class MembershipAdminApi:
    """Handles the admin API calls of the membership."""

    def __init__(
        self,
        detector: FailureDetector,
        views: ViewTracker,
        codec: Codec,
        traffic: TrafficCounters,
        service: ServiceHost,
    ) -> None:
        """Store the components whose state is reported."""
        self._detector = detector
        self._views = views
        self._codec = codec
        self._traffic = traffic
        self._service = service
        self._answers: dict[str, Callable[[], dict[str, Any]]] = {
            STATUS_PATH: self.status,
            KEYS_PATH: self.keys,
            LEAVE_PATH: self._leave,
        }

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer a call; None if the path does not belong to the membership."""
        allowed = METHOD_BY_PATH.get(path)
        if allowed is None:
            return None
        if method != allowed:
            return wrong_method_answer(allowed)
        return json_answer(self._answers[path]())

    def _leave(self) -> dict[str, Any]:
        self._service.leave()
        return {"left": self._detector.me.address}

    def keys(self) -> dict[str, Any]:
        """Return the signing keys in force and how many messages each has verified."""
        ring = self._codec.key_ring
        accepted = self._codec.accepted_by_key
        return {
            "signs": ring.signing_key.key_id,
            "reads": [key.key_id for key in ring.keys],
            "taken_in": {str(key_id): count for key_id, count in accepted.items()},
            "dropped": self._codec.dropped,
        }

    def status(self) -> dict[str, Any]:
        """Return the state of this process, the view, and the record of each known member."""
        detector = self._detector
        now_ns = self._service.now_ns()
        bounds = detection_bounds(detector.settings, detector.table.size)
        records = sorted(detector.table.records.values(), key=_listing_order)
        return {
            "me": detector.me.address,
            "boot": detector.me.boot.hex(),
            "incarnation": detector.own.incarnation,
            "left": detector.own.has_left,
            "doubt": detector.health.score,
            "pauses": detector.health.pause_count,
            "isolated": detector.health.is_isolated(len(detector.present())),
            "view": self._view_status(),
            "bounds_s": _bounds_status(bounds),
            "members": [self._member_status(record, now_ns) for record in records],
            "figures": {
                **detector.statistics,
                "bytes_in": self._traffic.received_bytes,
                "bytes_out": self._traffic.sent_bytes,
                "flooded": self._traffic.rate_limited_datagrams,
                "dropped": self._codec.dropped,
            },
        }

    def _view_status(self) -> dict[str, Any]:
        view = self._views.view
        return {
            "epoch": view.epoch,
            "digest": view.digest.hex(),
            "certain": view.is_certain,
            "why": view.reason,
            "alive": view.member_count,
            "reference": view.reference_size,
            "limits_by": view.effective_size,
            "place": view.effective_index,
            "configured": self._views.configured_size,
        }

    def _member_status(self, record: MemberRecord, now_ns: int) -> dict[str, Any]:
        interval_ns = self._detector.settings.interval_ns
        return {
            "address": record.identity.address,
            "boot": record.identity.boot.hex(),
            "incarnation": record.incarnation,
            "status": record.status.name.lower(),
            "for": _age_s(now_ns, record.status_since_ns),
            "place": record.ordinal,
            "zone": record.zone,
            "verdict": assess_reachability(record, now_ns, interval_ns),
            "heard": _age_s(now_ns, record.received_ns),
            "reached": _age_s(now_ns, record.acked_ns),
            "through_others": _age_s(now_ns, record.acked_indirectly_ns),
            "hears_us": _age_s(now_ns, record.hears_us_ns),
            "by": record.reporter,
            "round_trip_ms": round(record.round_trip.mean_ns / NS_PER_MS, 2),
            "helpers": {
                helper: {
                    "reached": result.has_reached,
                    "ago": _age_s(now_ns, result.reported_at_ns),
                }
                for helper, result in record.helper_results.items()
            },
        }


def _listing_order(record: MemberRecord) -> tuple[Any, ...]:
    return (record.status, record.ordinal, record.identity)


def _age_s(now_ns: int, event_ns: int) -> float | None:
    """Return how long ago an event was, in seconds; None if it has not happened."""
    if not event_ns:
        return None
    return round((now_ns - event_ns) / NS_PER_S, 2)


def _bounds_status(bounds: DetectionBounds) -> dict[str, float]:
    return {
        **_quantiles_status("suspected", bounds.suspected),
        **_quantiles_status("removed", bounds.removed),
    }


def _quantiles_status(event: str, quantiles: Quantiles) -> dict[str, float]:
    return {
        f"{event}_median": round(quantiles.median_s, 2),
        f"{event}_p99": round(quantiles.p99_s, 2),
        f"{event}_worst": round(quantiles.worst_s, 2),
    }
