"""Schema of the platform's settings: their keys, and the code's term for each of them.

The spelling of the keys belongs to the platform. It appears here and in the reader
(``platform_settings``); everything else uses the terms of ``decisions.settings``. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..decisions import Effect, IdempotencyScope
from .values import ValueKind

#: The keys that are read, by the object under ``settings`` that holds them ("" is ``settings``
#: itself). A key that is neither here nor in NOT_NEEDED is named in the log, so that no key is
#: ignored without a message.
SETTINGS_KEYS = {
    "": {
        "classes",
        "tenants",
        "contract",
        "policy_limits",
        "specifics",
        "charges",
        "report",
        "kinds",
        "fleet_size",
        "tick",
        "me",
        "zone",
        "over_share_worth",
    },
    "classes": {
        "name",
        "aim",
        "aim_stretch",
        "deadline",
        "worth",
        "late_value",
        "effect",
        "group",
        "window",
        "fifo_by_key",
        "zones_only",
        "kinds_allowed",
    },
    "tenants": {"name", "allowance_per_s"},
    "contract": {
        "answer_slack",
        "drain_grace",
        "start_capacity",
        "cold",
        "fall",
        "fall_multiple",
        "key_rest",
        "ratio_span",
        "budget_free",
        "extra_ratio",
    },
    "policy_limits": {
        "cancel",
        "probing",
        "peer_messages",
        "second_copies",
        "retry_after",
        "send_cap",
        "max_retry_after",
        "connect_timeout",
        "conn_idle",
        "streams_per_conn",
    },
    "specifics": {
        "size_cores",
        "parallelism",
        "is_load",
        "blocked_by_loads",
        "memory_heeded",
        "lanes_count",
    },
    "charges": {"cross_zone", "handshake"},
    "report": {"fields"},
}

#: The keys that a deployment may hold and that this program does not need.
IGNORED_SETTINGS_KEYS = {
    "": {
        "callers",
        "kind_of_service",
        "layers",
        "tier",
        "membership_mode",
        "score_parts",
        "weights",
        "worth_by",
        "zones",
    },
    "classes": {"streaming"},
    "tenants": {"portion"},
    "contract": {"must_ask_in"},
    "policy_limits": {"cpu_us_per_request", "cpu_us_per_s", "max_open"},
    "specifics": {
        "kind_memory_mb",
        "largest_share",
        "notes",
        "tells_every",
        "report_x0",
        "report_x1",
        "says_cost",
        "on_shortage",
    },
    "charges": {
        "connection",
        "membership_mode",
        "fleet",
        "late_fail",
        "moves",
        "origin",
        "peer",
        "probe",
        "waste",
    },
    "report": {"via"},
}

#: The fields that a load report of an endpoint may hold, by the simulator's names and by the
#: endpoints' own.
KNOWN_REPORT_FIELDS = {
    "busy",
    "util",
    "q",
    "queue",
    "x0",
    "x1",
    "rif",
    "inflight",
    "lat_ms",
    "latency_ms",
    "rate",
    "qps",
    "fail_rate",
    "eps",
}

#: What the values of ``classes.effect`` mean.
EFFECTS: Mapping[str, Effect] = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENCY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}

#: What the values of ``classes.group`` mean.
SCOPES: Mapping[str, IdempotencyScope] = {scope.value: scope for scope in IdempotencyScope}


#: The key of the object that says which fields a load report of an endpoint has.
REPORT = "report"


class Term(NamedTuple):
    """The code's term for one key of the settings: a field of a dataclass, and the value's kind."""

    field: str
    kind: ValueKind


#: The keys of ``contract``, as fields of ``decisions.Contract``. Durations are in nanoseconds.
CONTRACT_TERMS: Mapping[str, Term] = {
    "answer_slack": Term("answer_slack_ns", ValueKind.INTEGER),
    "drain_grace": Term("drain_grace_ns", ValueKind.INTEGER),
    "start_capacity": Term("warmup_initial_capacity", ValueKind.NUMBER),
    "cold": Term("warmup_ns", ValueKind.INTEGER),
    "fall": Term("overload_window_ns", ValueKind.INTEGER),
    "fall_multiple": Term("overload_multiple", ValueKind.NUMBER),
    "key_rest": Term("key_rest_ns", ValueKind.INTEGER),
    "ratio_span": Term("retry_budget_window_ns", ValueKind.INTEGER),
    "budget_free": Term("retry_budget_free", ValueKind.NUMBER),
    "extra_ratio": Term("retry_budget_ratio", ValueKind.NUMBER),
}

#: The keys of ``policy_limits``, as fields of ``decisions.Limits``.
LIMITS_TERMS: Mapping[str, Term] = {
    "cancel": Term("cancellation", ValueKind.BOOLEAN),
    "probing": Term("health_checks", ValueKind.BOOLEAN),
    "peer_messages": Term("peer_messages", ValueKind.BOOLEAN),
    "second_copies": Term("hedging", ValueKind.BOOLEAN),
    "retry_after": Term("retry_after", ValueKind.BOOLEAN),
    "send_cap": Term("max_attempts", ValueKind.INTEGER),
    "max_retry_after": Term("max_retry_after_ns", ValueKind.INTEGER),
}

#: The checks in ``decisions.settings`` name their own fields; an error names the key that the
#: operator wrote.
KEYS_OF_CHECKED_FIELDS: Mapping[str, str] = {
    "contract.cold_from": "contract.start_capacity",
    "contract.order_settle": "contract.key_rest",
    "contract.budget_window": "contract.ratio_span",
    "limits.max_attempts": "policy_limits.send_cap",
    "classes.threads": "specifics.parallelism",
    "tenants.quota_per_s": "tenants.allowance_per_s",
    "kind_cores": "specifics.size_cores",
}
