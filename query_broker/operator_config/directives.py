"""The directives of the operators' file. Performs no I/O, and is independent of Starlark.

Each directive is a function that takes its arguments as the script passes them, checks them, and
adds their declarations to the ``ConfigDraft``. An invalid argument raises ``DirectiveError`` with
``key: problem``; the evaluator adds file and line.

The names of these functions and of their parameters are part of the file format, and of error
texts such as ``further_class() missing 1 required positional argument``. They keep the operators'
spelling, which differs from the terms of the code as follows:

- ``further_attempts``, ``further_class``: the retry budget, and that of a request class;
  ``share``: tokens that a first attempt earns (``tokens_per_attempt``).
- ``cell.share``: the cell's fraction of the load (``capacity_weight``). ``least`` and ``most``:
  minimum and maximum.
- ``moves``: time limits of migrations between cells.
- ``deadlines.margin_share``: the quantile of latencies that the learned margin covers.
- ``logs.stories``: the fraction of requests whose trace is logged.
- ``start``: start-up; ``last_list``: the endpoint snapshot; ``engine_probes``: health checks;
  ``contact_part``: the fraction of endpoints to contact; ``ramp``: slow start.
- ``members``: membership; ``part``: the fraction that may be lost; ``settle``, ``forget``: how long
  a view must be stable, and how long a departed broker is remembered.
- ``limit``, ``limits``: quotas; ``promise``: a vote; ``told``: the gossip interval.
- ``verdicts``: consensus on outliers; ``hold``, ``most_hold``: first and longest ejection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..cells.model import SPREAD_FIELDS, TIMEOUT_FIELDS, Cell, Tenant, timeouts_of
from ..deadlines.retry_budget import ClassRate, RetryBudgetSettings
from ..deadlines.settings import (
    DeadlineSettings,
    HalfClosePolicy,
    Logs,
    MarginSettings,
    TimeoutStart,
)
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import QUOTA_KINDS, LimitSettings, QuotaSettings
from ..startup.settings import StartupSettings
from .arguments import (
    DirectiveError,
    check_address,
    check_choice,
    check_flag,
    check_fraction,
    check_integer,
    check_number,
    check_text,
    check_texts,
    milliseconds_to_ns,
    seconds_to_ns,
)
from .draft import ConfigDraft

#: The script of a large fleet makes a few thousand calls; more than this indicate a runaway loop.
MAX_DIRECTIVE_CALLS = 200_000
TIMEOUT_STARTS = tuple(start.value for start in TimeoutStart)
HALF_CLOSE_POLICIES = tuple(policy.value for policy in HalfClosePolicy)
#: Names of cells and limits are used as labels of metrics and in paths of the admin API.
MAX_NAME_LENGTH = 64
#: With half of the brokers lost, neither side of a partition can know that it is the larger side.
LOST_FRACTION_LIMIT = 0.5
#: A clock that runs at half speed would double the duration of each lease.
CLOCK_DRIFT_LIMIT = 0.5
MIN_OBSERVERS = 2
MIN_GOSSIP_INTERVAL_S = 0.05
MIN_SYNC_INTERVAL_S = 0.5
MIN_FORGET_S = 10
MIN_QUOTA_DURATION_S = 0.2


def _check_name(name: str, key: str) -> None:
    if "/" in name or len(name) > MAX_NAME_LENGTH:
        raise DirectiveError(key, f"{name!r:.70} must have 64 characters at the most, and no /")


# Cells.


def epoch(draft: ConfigDraft, number: Any) -> None:
    """Set the epoch of the cell map; every changed map needs a higher epoch."""
    draft.declare_once("epoch")
    draft.epoch = check_integer(number, "epoch")


def cell(
    draft: ConfigDraft,
    name: Any,
    weight: Any = 1.0,
    engines: Any = (),
    zones: Any = (),
    models: Any = (),
    least: Any = 1,
    most: Any = 0,
    share: Any = 0.0,
) -> str:
    """Declare a cell, a part of the endpoints, and return its name."""
    name = check_text(name, "cell.name")
    _check_name(name, "cell.name")
    draft.declare("cell", name, draft.cells)
    min_endpoints = check_integer(least, "cell.least")
    max_endpoints = check_integer(most, "cell.most")
    if max_endpoints and max_endpoints < min_endpoints:
        raise DirectiveError("cell.most", f"must be 0 or at least {min_endpoints}")
    draft.cells[name] = Cell(
        name=name,
        weight=check_number(weight, "cell.weight", exclusive=True),
        engines=check_texts(engines, "cell.engines"),
        zones=check_texts(zones, "cell.zones"),
        models=check_texts(models, "cell.models"),
        min_endpoints=min_endpoints,
        max_endpoints=max_endpoints,
        capacity_weight=check_number(share, "cell.share"),
    )
    return str(name)


def tenant(
    draft: ConfigDraft, name: Any, cell: Any = None, cells: Any = None, key: Any = ""
) -> str:
    """Declare the cell of a tenant, or several cells and the request field that selects one."""
    name = check_text(name, "tenant.name")
    if "#" in name:
        raise DirectiveError("tenant.name", "may hold no #")
    draft.declare("tenant", name, draft.tenants)
    if (cell is None) == (cells is None):
        raise DirectiveError("tenant.cell", "name one cell, or several as cells")
    if cells is None:
        tenant_cells: tuple[str, ...] = (check_text(cell, "tenant.cell"),)
    else:
        tenant_cells = check_texts(cells, "tenant.cells")
    key = check_choice(key, "tenant.key", SPREAD_FIELDS)
    if not tenant_cells or len(set(tenant_cells)) < len(tenant_cells):
        raise DirectiveError("tenant.cells", "must name each cell once")
    if len(tenant_cells) > 1 and not key:
        raise DirectiveError("tenant.key", "is missing, since the tenant is in several cells")
    draft.tenants[name] = Tenant(name, tenant_cells, key)
    return str(name)


def default_cell(draft: ConfigDraft, name: Any) -> None:
    """Set the cell of the tenants that the file does not name."""
    draft.declare_once("default_cell")
    draft.default_cell = check_text(name, "default_cell")


def moves(draft: ConfigDraft, **seconds: Any) -> None:
    """Set how many seconds a migration may stay in each stage."""
    draft.declare_once("moves")
    for key in seconds:
        if key not in TIMEOUT_FIELDS:
            raise DirectiveError(f"moves.{key}", f"is none of {', '.join(sorted(TIMEOUT_FIELDS))}")
    draft.migration_timeouts = timeouts_of(
        {key: seconds_to_ns(value, f"moves.{key}") for key, value in seconds.items()}
    )


# Deadlines, retries and logs.


def deadlines(
    draft: ConfigDraft,
    learn: Any = False,
    margin_ms: Any = 10,
    least_margin_ms: Any = 2,
    most_margin_ms: Any = 100,
    margin_share: Any = 0.99,
    count_from: Any = "last",
    half_close: Any = "left",
    slow_reader: Any = 30,
) -> None:
    """Set the start and the margin of deadlines, and when a client counts as disconnected."""
    draft.declare_once("deadlines")
    initial_ns = milliseconds_to_ns(margin_ms, "deadlines.margin_ms")
    min_ns = milliseconds_to_ns(least_margin_ms, "deadlines.least_margin_ms")
    max_ns = milliseconds_to_ns(most_margin_ms, "deadlines.most_margin_ms")
    if not min_ns <= initial_ns <= max_ns:
        raise DirectiveError("deadlines.margin_ms", "must lie in least_margin_ms to most_margin_ms")
    draft.deadlines = DeadlineSettings(
        learn_margin=check_flag(learn, "deadlines.learn"),
        margin=MarginSettings(
            initial_ns=initial_ns,
            min_ns=min_ns,
            max_ns=max_ns,
            quantile=check_fraction(margin_share, "deadlines.margin_share"),
        ),
        timeout_start=TimeoutStart(
            check_choice(count_from, "deadlines.count_from", TIMEOUT_STARTS)
        ),
        half_close=HalfClosePolicy(
            check_choice(half_close, "deadlines.half_close", HALF_CLOSE_POLICIES)
        ),
        slow_reader_timeout_ns=seconds_to_ns(slow_reader, "deadlines.slow_reader", exclusive=True),
    )


def further_attempts(
    draft: ConfigDraft,
    share: Any = 0.2,
    burst: Any = 10,
    by_tenant: Any = True,
    first: Any = 1.0,
    least_ms: Any = 100,
) -> None:
    """Set the retry budget: the tokens that a first attempt earns, and the maximum saved."""
    draft.declare_once("further_attempts")
    first = check_fraction(first, "further_attempts.first", exclude_zero=True)
    draft.retry_budget = RetryBudgetSettings(
        tokens_per_attempt=check_number(share, "further_attempts.share"),
        burst=check_number(burst, "further_attempts.burst", 1),
        by_tenant=check_flag(by_tenant, "further_attempts.by_tenant"),
        first_attempt_fraction=first,
        min_attempt_ns=milliseconds_to_ns(least_ms, "further_attempts.least_ms"),
    )


def further_class(draft: ConfigDraft, name: Any, share: Any, burst: Any) -> None:
    """Set a separate retry budget for one request class."""
    name = check_text(name, "further_class.name")
    draft.declare("further_class", name, draft.retry_budget_classes)
    draft.retry_budget_classes[name] = ClassRate(
        class_name=name,
        tokens_per_attempt=check_number(share, "further_class.share"),
        burst=check_number(burst, "further_class.burst", 1),
    )


def logs(draft: ConfigDraft, format: Any = "text", stories: Any = 0.0) -> None:
    """Set the format of the log, and the fraction of requests whose trace is logged."""
    draft.declare_once("logs")
    draft.logs = Logs(
        format=check_choice(format, "logs.format", ("plain", "text", "json")),
        traced_fraction=check_fraction(stories, "logs.stories"),
    )


# Start-up.


def start(
    draft: ConfigDraft,
    list_connects: Any = 50,
    list_wait: Any = 10,
    engine_probes: Any = 20,
    engine_connects: Any = 100,
    accepts: Any = 200,
    contact_part: Any = 0.5,
    contact_wait: Any = 2,
    floor: Any = 0.1,
    ramp: Any = 8,
    last_list: Any = "",
    last_list_age: Any = 3_600,
    installation: Any = "",
) -> None:
    """Set how a broker starts when the whole fleet starts at once; rates apply to the fleet."""
    draft.declare_once("start")
    floor = check_fraction(floor, "start.floor", exclude_zero=True)
    if last_list and not str(last_list).startswith("/"):
        raise DirectiveError("start.last_list", f"{last_list!r:.60} is no path from the root")
    draft.startup = StartupSettings(
        list_connects_per_s=check_number(list_connects, "start.list_connects", exclusive=True),
        list_wait_ns=seconds_to_ns(list_wait, "start.list_wait"),
        endpoint_probes_per_s=check_number(engine_probes, "start.engine_probes", exclusive=True),
        endpoint_connects_per_s=check_number(
            engine_connects, "start.engine_connects", exclusive=True
        ),
        accepts_per_s=check_number(accepts, "start.accepts", exclusive=True),
        contact_fraction=check_fraction(contact_part, "start.contact_part"),
        contact_wait_ns=seconds_to_ns(contact_wait, "start.contact_wait"),
        initial_fraction=floor,
        ramp_ns=seconds_to_ns(ramp, "start.ramp"),
        snapshot_path=check_text(last_list, "start.last_list") if last_list else "",
        snapshot_max_age_ns=seconds_to_ns(last_list_age, "start.last_list_age"),
        installation=check_text(installation, "start.installation") if installation else "",
    )


# Membership, quotas and consensus between brokers.


def members(
    draft: ConfigDraft,
    address: Any,
    key_file: Any,
    installation: Any,
    advertise: Any = "",
    seeds: Any = (),
    seeds_file: Any = "",
    interval: Any = 1,
    sync: Any = 30,
    part: Any = 1 / 3,
    settle: Any = 5,
    forget: Any = 600,
) -> None:
    """Set how brokers find each other and detect failed ones; durations in seconds."""
    draft.declare_once("members")
    max_lost_fraction = check_fraction(part, "members.part")
    if not 0 < max_lost_fraction < LOST_FRACTION_LIMIT:
        raise DirectiveError(
            "members.part", "must lie between 0 and 0.5: with half lost neither side may be sure"
        )
    draft.membership = MembershipSettings(
        listen_address=check_address(address, "members.address"),
        advertise_address=check_address(advertise, "members.advertise") if advertise else "",
        seeds=tuple(
            check_address(seed, "members.seeds") for seed in check_texts(seeds, "members.seeds")
        ),
        seeds_file=check_text(seeds_file, "members.seeds_file") if seeds_file else "",
        key_file=check_text(key_file, "members.key_file"),
        installation=check_text(installation, "members.installation"),
        interval_ns=seconds_to_ns(interval, "members.interval", MIN_GOSSIP_INTERVAL_S),
        sync_interval_ns=seconds_to_ns(sync, "members.sync", MIN_SYNC_INTERVAL_S),
        max_lost_fraction=max_lost_fraction,
        settle_ns=seconds_to_ns(settle, "members.settle"),
        forget_after_ns=seconds_to_ns(forget, "members.forget", MIN_FORGET_S),
    )


def limit(draft: ConfigDraft, name: Any, kind: Any = "tenant", rate: Any = 0) -> None:
    """Declare a limit that all brokers share; without a rate the platform settings set it."""
    name = check_text(name, "limit.name")
    draft.declare("limit", name, draft.limits)
    kind = check_choice(kind, "limit.kind", QUOTA_KINDS)
    _check_name(name, "limit.name")
    if kind != "tenant" and any(other.kind == kind for other in draft.limits.values()):
        raise DirectiveError("limit.kind", f"there is a limit of kind {kind} already")
    rate = check_number(rate, "limit.rate")
    if kind in ("further", "connects") and not rate:
        raise DirectiveError("limit.rate", f"is missing, the settings have none for {kind}")
    if kind == "work" and rate:
        raise DirectiveError("limit.rate", "the engines say how much work there can be")
    draft.limits[name] = LimitSettings(name, kind, rate)


def limits(
    draft: ConfigDraft,
    lease: Any = 4,
    promise: Any = 6,
    drift: Any = 0.01,
    guaranteed: Any = 0.2,
    told: Any = 1,
) -> None:
    """Set how brokers share limits; durations in seconds."""
    draft.declare_once("limits")
    clock_drift = check_fraction(drift, "limits.drift")
    if not 0 < clock_drift < CLOCK_DRIFT_LIMIT:
        raise DirectiveError("limits.drift", "must lie between 0 and 0.5")
    guaranteed_fraction = check_fraction(guaranteed, "limits.guaranteed")
    if not guaranteed_fraction > 0:
        raise DirectiveError(
            "limits.guaranteed", "must be above 0: without contact a broker has nothing else"
        )
    draft.quotas = QuotaSettings(
        lease_ns=seconds_to_ns(lease, "limits.lease", MIN_QUOTA_DURATION_S),
        vote_ns=seconds_to_ns(promise, "limits.promise", MIN_QUOTA_DURATION_S),
        clock_drift=clock_drift,
        guaranteed_fraction=guaranteed_fraction,
        gossip_interval_ns=seconds_to_ns(told, "limits.told", MIN_QUOTA_DURATION_S),
    )


def verdicts(
    draft: ConfigDraft,
    observers: Any = 3,
    failures: Any = 2,
    age: Any = 10,
    part: Any = 0.3,
    hold: Any = 5,
    most_hold: Any = 60,
    told: Any = 0.5,
) -> None:
    """Set how brokers agree on outliers and on operators' overrides; durations in seconds."""
    draft.declare_once("verdicts")
    observers = check_integer(observers, "verdicts.observers", 1)
    if observers < MIN_OBSERVERS:
        raise DirectiveError(
            "verdicts.observers", "must be at least 2: one that lies would hold out what it likes"
        )
    # The order of these checks decides which of several faulty arguments an error names.
    max_age_ns = seconds_to_ns(age, "verdicts.age", exclusive=True)
    min_ejection_ns = seconds_to_ns(hold, "verdicts.hold", exclusive=True)
    max_ejection_ns = seconds_to_ns(most_hold, "verdicts.most_hold", exclusive=True)
    gossip_interval_ns = seconds_to_ns(told, "verdicts.told", exclusive=True)
    draft.outlier_consensus = OutlierConsensusSettings(
        observers=observers,
        failures=check_integer(failures, "verdicts.failures", 1),
        max_age_ns=max_age_ns,
        max_ejected_fraction=check_fraction(part, "verdicts.part"),
        min_ejection_ns=min_ejection_ns,
        max_ejection_ns=max_ejection_ns,
        gossip_interval_ns=gossip_interval_ns,
    )


#: The functions that a script may call, by their names in the script.
DIRECTIVES_BY_NAME: dict[str, Callable[..., Any]] = {
    directive.__name__: directive
    for directive in (
        epoch,
        cell,
        tenant,
        default_cell,
        moves,
        deadlines,
        further_attempts,
        further_class,
        logs,
        start,
        members,
        limit,
        limits,
        verdicts,
    )
}
