"""Schema of the platform's settings: the keys, and the field of the code for each key.

The platform defines the spelling of the keys. It appears only here and in the reader
(``platform_settings``); other modules use the terms of ``decisions.settings``. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..decisions import Effect, IdempotencyScope
from .values import ValueKind

#: The keys that are read, by the object under ``settings`` that contains them ("" is ``settings``
#: itself). A key that is neither here nor in IGNORED_SETTINGS_KEYS is logged, so that no key is
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

#: The keys that the platform defines and that this program does not use.
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

#: The fields of a load report of an endpoint, in the simulator's and in the endpoints' spelling.
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

#: The values of ``classes.effect``.
EFFECTS: Mapping[str, Effect] = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENCY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}

#: The values of ``classes.group``.
IDEMPOTENCY_SCOPES: Mapping[str, IdempotencyScope] = {
    scope.value: scope for scope in IdempotencyScope
}

#: The key of the object that lists the fields of a load report.
REPORT_KEY = "report"


class SettingsField(NamedTuple):
    """The field of a dataclass that one key of the settings is read into.

    Attributes:
        name: Name of the field of the dataclass.
        kind: Kind of the JSON value.
    """

    name: str
    kind: ValueKind


#: The keys of ``contract``, as fields of ``decisions.Contract``. Durations are in nanoseconds.
CONTRACT_FIELDS: Mapping[str, SettingsField] = {
    "answer_slack": SettingsField("answer_slack_ns", ValueKind.INTEGER),
    "drain_grace": SettingsField("drain_grace_ns", ValueKind.INTEGER),
    "start_capacity": SettingsField("warmup_initial_capacity", ValueKind.NUMBER),
    "cold": SettingsField("warmup_ns", ValueKind.INTEGER),
    "fall": SettingsField("overload_window_ns", ValueKind.INTEGER),
    "fall_multiple": SettingsField("overload_multiple", ValueKind.NUMBER),
    "key_rest": SettingsField("key_cooldown_ns", ValueKind.INTEGER),
    "ratio_span": SettingsField("retry_budget_window_ns", ValueKind.INTEGER),
    "budget_free": SettingsField("retry_budget_free", ValueKind.NUMBER),
    "extra_ratio": SettingsField("retry_budget_ratio", ValueKind.NUMBER),
}

#: The keys of ``policy_limits``, as fields of ``decisions.Limits``.
LIMITS_FIELDS: Mapping[str, SettingsField] = {
    "cancel": SettingsField("cancellation", ValueKind.BOOLEAN),
    "probing": SettingsField("health_checks", ValueKind.BOOLEAN),
    "peer_messages": SettingsField("peer_messages", ValueKind.BOOLEAN),
    "second_copies": SettingsField("hedging", ValueKind.BOOLEAN),
    "retry_after": SettingsField("retry_after", ValueKind.BOOLEAN),
    "send_cap": SettingsField("max_attempts", ValueKind.INTEGER),
    "max_retry_after": SettingsField("max_retry_after_ns", ValueKind.INTEGER),
}

#: The keys of the configuration by the names that errors of ``decisions.settings`` use, so that an
#: error names the key that the operator has written.
KEYS_BY_CHECKED_FIELD: Mapping[str, str] = {
    "contract.cold_from": "contract.start_capacity",
    "contract.order_settle": "contract.key_rest",
    "contract.budget_window": "contract.ratio_span",
    "limits.max_attempts": "policy_limits.send_cap",
    "classes.threads": "specifics.parallelism",
    "tenants.quota_per_s": "tenants.allowance_per_s",
    "kind_cores": "specifics.size_cores",
}
