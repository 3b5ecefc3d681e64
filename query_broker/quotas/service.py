"""The service of shared limits: connects them to the membership, the dispatcher and the node.

The only module of the package with I/O. Quotas reach the decisions only as platform settings: the
fleet size and the tenants' quotas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..decisions.facade import EndpointState, Settings
from ..dispatch.observers import DispatchObserver
from ..endpoints.endpoint_table import has_warming_endpoint
from ..overriding import override
from ..protocols.operator_answers import HttpAnswer
from ..token_bucket import TokenBucket
from .admin import QuotaAdmin
from .batching import message_bodies
from .collaborators import QuotaHost, QuotaMembership
from .counters import UsageCounters
from .demand_tracker import DemandTracker
from .lease_log import LeaseLog
from .leases import LeaseManager
from .messages import LeaseMessage, LeaseResponse, QuotaMessage, UsageReports
from .metrics import quota_metrics
from .quota_rates import QuotaRates
from .settings import NS_PER_S, QuotaKind, QuotaSettings

if TYPE_CHECKING:
    from ..dispatch.validation import ParsedRequest

TOPIC = "limits"
TICK_NS = NS_PER_S // 4
#: Quotas are applied again only after one of them has changed by more than this fraction.
SIGNIFICANT_CHANGE_FRACTION = 0.05
#: Replaces a quota of zero when changes are compared.
MIN_COMPARED_QUOTA_PER_S = 1e-9
#: Replaces the quota of a limit that has not been applied yet.
NEVER_APPLIED_QUOTA_PER_S = -1.0
MS_PER_S = 1_000


class NodeEnvironment:
    """Platform settings and members, read from the node and the membership at each use."""

    def __init__(self, host: QuotaHost, membership: QuotaMembership) -> None:
        """Take the node and the membership."""
        self._host = host
        self._membership = membership

    def platform_settings(self) -> Settings:
        """Return the platform settings in force."""
        return self._host.config.settings

    def member_names(self) -> tuple[str, ...]:
        """Return the names of all members in the current view."""
        return self._membership.names()


def create_leases(
    host: QuotaHost, membership: QuotaMembership, settings: QuotaSettings, now_ns: int
) -> LeaseManager:
    """Create the lease manager; unused capacity for work is requested even without demand."""
    draw = membership.detector.draw.random
    fleet_size = host.config.settings.fleet_size
    leases = LeaseManager(membership.name, settings, fleet_size, now_ns, draw)
    leases.holder.always_requested_limits = frozenset(
        limit.name for limit in settings.limits if limit.kind == QuotaKind.WORK
    )
    return leases


class QuotaService(DispatchObserver):
    """One broker's part in the shared limits.

    Attributes:
        leases: Leases of the hard limits.
        counters: Usage reports on the soft limits.
        rates: This broker's quota of each limit.
        tracker: Demand on each limit.
        admin: Answers operators' calls.
    """

    def __init__(
        self, host: QuotaHost, membership: QuotaMembership, settings: QuotaSettings
    ) -> None:
        """Subscribe to the membership and to the dispatcher, and start the timer.

        Args:
            host: The node.
            membership: Carries the messages between brokers.
            settings: Settings of the shared limits.
        """
        self.host = host
        self.membership = membership
        self.settings = settings
        now_ns = host.clock.now()
        draw = membership.detector.draw.random
        self.leases = create_leases(host, membership, settings, now_ns)
        self.counters = UsageCounters(membership.name, settings.gossip_interval_ns, draw)
        self.rates = QuotaRates(
            settings, NodeEnvironment(host, membership), self.leases, self.counters
        )
        self.tracker = DemandTracker(self.rates, now_ns)
        # Kept here, since each request reads them.
        self._tenant_limit_names = frozenset(self.rates.tenant_limits)
        work_limit = self.rates.limits_by_kind.get(QuotaKind.WORK)
        self._work_limit_name = "" if work_limit is None else work_limit.name
        self.lease_log = LeaseLog(self.leases)
        self.admin = QuotaAdmin(
            self.rates, self.tracker, self.lease_log, host.clock, membership.detector.me.address
        )
        # Retries and connections take tokens from one bucket, each at its own rate.
        self._bucket = TokenBucket(now_ns)
        self._applied_quotas_per_s: dict[str, float] = {}
        self._first_expiry_ns = 0
        self._gossiped_at_ns = now_ns
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[QuotaMessage] = msgspec.msgpack.Decoder(QuotaMessage)
        self._attach()
        self.configure()
        host.dispatcher.timer_wheel.set_timer(now_ns + TICK_NS, self._tick)

    def _attach(self) -> None:
        self.membership.subscribe(TOPIC, self._receive)
        dispatcher = self.host.dispatcher
        dispatcher.add_observer(self)
        dispatcher.extensions.add_settings_adjuster(self)
        dispatcher.extensions.add_metrics_source(self)
        if QuotaKind.CONNECTS in self.rates.limits_by_kind:
            dispatcher.pools.set_connect_pacing(self)

    # --- settings ---

    def configure(self) -> None:
        """Apply the platform settings, at the start and after each reload."""
        self.leases.state.fleet_size = self.host.config.settings.fleet_size
        self.leases.state.limits = self.rates.leased_limits()

    def adjust(self, settings: Settings) -> Settings:
        """Return the platform settings with leased quotas in place of equal shares."""
        use_work_quota = not self._has_warming_endpoint()
        return self.rates.adjust(settings, self.host.clock.now(), use_work_quota)

    def _has_warming_endpoint(self) -> bool:
        """Return whether an endpoint is still warming up.

        It would be overloaded if several brokers used large parts of its capacity at once.
        """
        now_ns = self.host.clock.now()
        warm_up_ns = self.host.config.settings.contract.warmup_ns
        return has_warming_endpoint(self.host.dispatcher.endpoint_table, warm_up_ns, now_ns)

    # --- requests ---

    @override
    def request_arrived(self, parsed: ParsedRequest, now_ns: int) -> None:
        """Count a request before the decision on it.

        After a pause, the process reads the waiting requests before any timer fires; a lease that
        expired during the pause must not be used for them.
        """
        if self._first_expiry_ns and now_ns >= self._first_expiry_ns:
            self._apply_quotas(now_ns)
        if parsed.tenant in self._tenant_limit_names:
            self.tracker.count(parsed.tenant)
        if self._work_limit_name:
            self.tracker.count(self._work_limit_name, parsed.estimate_ms / MS_PER_S)

    @property
    def has_retry_limit(self) -> bool:
        """Whether retries are limited; `admit_retry` may be called only then."""
        return QuotaKind.RETRIES in self.rates.limits_by_kind

    def admit_retry(self) -> bool:
        """Return whether a retry is within this broker's quota of retries, and count it."""
        limit = self.rates.limits_by_kind[QuotaKind.RETRIES]
        now_ns = self.host.clock.now()
        quota_per_s = self.rates.quota_per_s(limit, now_ns)
        self.tracker.count(limit.name)
        return self._bucket.try_take(now_ns, quota_per_s)

    def connect_delay_ns(self, endpoint: int) -> int:
        """Return how long a new connection has to wait to keep the limit on connections."""
        limit = self.rates.limits_by_kind[QuotaKind.CONNECTS]
        now_ns = self.host.clock.now()
        quota_per_s = self.rates.quota_per_s(limit, now_ns)
        self.tracker.count(limit.name)
        return self._bucket.reserve_ns(now_ns, quota_per_s)

    # --- timer ---

    def _tick(self) -> None:
        now_ns = self.host.clock.now()
        self.host.dispatcher.timer_wheel.set_timer(now_ns + TICK_NS, self._tick)
        try:
            self._update(now_ns)
        except Exception as error:  # an error here must not stop the timer wheel
            self.host.log("fault", f"limits: {type(error).__name__}: {error}")

    def _update(self, now_ns: int) -> None:
        for breach in self.tracker.update(now_ns, self._available_cores):
            self.host.log(
                "limits",
                f"{breach.limit}: {breach.total_per_s:.1f}/s admitted, "
                f"{breach.overshoot_per_s:.1f}/s over the limit, beyond the allowed overshoot of "
                f"{breach.bound_per_s:.1f}/s",
            )
        is_certain = self.membership.views.view.is_certain
        self.counters.name = self.membership.name
        self.leases.state.name = self.membership.name
        self.leases.set_view(self.membership.names(), is_certain)
        self.leases.tick(now_ns)
        self.lease_log.update(now_ns)
        if now_ns - self._gossiped_at_ns >= self.settings.gossip_interval_ns:
            self._gossiped_at_ns = now_ns
            self._gossip(now_ns)
        self._send()
        self._apply_quotas(now_ns)

    def _available_cores(self) -> int:
        cores_by_kind = dict(self.host.config.settings.kind_cores)
        cores = 0
        for known in self.host.dispatcher.endpoint_table.by_number.values():
            target = known.target
            if target.state is EndpointState.READY:
                cores += cores_by_kind.get(target.kind) or max(1, round(target.weight))
        return cores

    def _apply_quotas(self, now_ns: int) -> None:
        """Apply the current quotas to the decisions, if any has changed significantly."""
        self._first_expiry_ns = self.leases.holder.first_expiry_ns(now_ns)
        quotas_per_s = self.rates.hard_quotas(now_ns)
        if any(self._is_significant(limit, quota) for limit, quota in quotas_per_s.items()):
            self._applied_quotas_per_s = quotas_per_s
            self.host.dispatcher.refresh_settings()

    def _is_significant(self, limit: str, quota_per_s: float) -> bool:
        change = abs(quota_per_s - self._applied_quotas_per_s.get(limit, NEVER_APPLIED_QUOTA_PER_S))
        return change > SIGNIFICANT_CHANGE_FRACTION * max(quota_per_s, MIN_COMPARED_QUOTA_PER_S)

    # --- messages ---

    def _gossip(self, now_ns: int) -> None:
        rates_per_s = {
            limit.name: self.tracker.admitted_per_s.get(limit.name, 0.0)
            for limit in self.rates.limits_by_kind.values()
            if not limit.is_hard
        }
        members = self.membership.names()
        for recipient, batch in self.counters.next_round(now_ns, rates_per_s, members):
            for body in message_bodies(
                batch.reports, lambda reports: self.encoder.encode(UsageReports(reports))
            ):
                self.membership.send(TOPIC, recipient, body)

    def _send(self) -> None:
        for recipient, message in self.leases.outbox:
            self.membership.send(TOPIC, recipient, self.encoder.encode(message))
        self.leases.outbox.clear()
        self.membership.flush()

    def _receive(self, now_ns: int, sender: str, body: bytes) -> None:
        message = self.decoder.decode(body)
        match message:
            case UsageReports():
                self.counters.receive(now_ns, message, self.membership.names())
            case LeaseResponse():
                self._receive_lease_message(now_ns, sender, message)
                self.lease_log.update(now_ns)
                self._apply_quotas(now_ns)
            case _:
                self._receive_lease_message(now_ns, sender, message)

    def _receive_lease_message(self, now_ns: int, sender: str, message: LeaseMessage) -> None:
        self.leases.receive(now_ns, sender, message)
        self._send()

    # --- operators ---

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer an operators' HTTP call; None if its path does not belong to this service."""
        return self.admin.handle_admin_call(method, path)

    def metrics(self) -> bytes:
        """Return the part of the metrics page that is about shared limits."""
        return quota_metrics(self.rates, self.tracker, self.host.clock.now())
