"""The one place where configuration is read, checked and given defaults; messages name the faulty
key.

The broker reads a JSON file and the environment, the simulator's adapter gets `settings` alone on
its wire; both come through `parse_settings`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from .. import decisions as api
from ..discovery.event_codec import BadLine, EndpointListEvent, parse_address, parse_event

EFFECTS = {
    "read_like": api.Effect.IDEMPOTENT,
    "idempotency_key": api.Effect.IDEMPOTENCY_KEY,
    "non_idempotent": api.Effect.NON_IDEMPOTENT,
}
SCOPES = {scope.value: scope for scope in api.IdempotencyScope}
DEFAULT_SOCKETS = 1_024
DEFAULT_MEMORY = 64  # MB
DEFAULT_CONNECT_TIMEOUT = 250_000_000  # ns
DEFAULT_CONN_IDLE = 30_000_000_000  # ns
DEFAULT_STREAMS = 32
LEAST_SOCKETS = 64
LEAST_MEMORY = 32
MOST_NUMBER = 1e18  # NaN, infinity and what no field could hold are no numbers
MISSING = object()
# Read at the start alone: the fields of Config, by the key that an operator writes. `bus` and
# `settings` act at SIGHUP, but for the tick: the wheel turns by it.
FIXED = {
    "name": "name",
    "host": "listen",
    "port": "listen",
    "seed": "seed",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
    "operator": "operator",
    "tick": "settings.tick",
}
# Where the module's checks speak of its own names: the key that the operator wrote.
THEIR_KEYS = {
    "contract.cold_from": "contract.start_capacity",
    "contract.order_settle": "contract.key_rest",
    "contract.budget_window": "contract.ratio_span",
    "limits.max_attempts": "policy_limits.send_cap",
    "classes.threads": "specifics.parallelism",
    "tenants.quota_per_s": "tenants.allowance_per_s",
    "kind_cores": "specifics.size_cores",
}


# The keys under `settings`, by the object that holds them: those that are read, and those that a
# deployment may hold and nothing here needs. Whatever else is there is named in the log: nothing is
# silently unread.
READ = {
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
NOT_NEEDED = {
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
# What engines may tell of their load, by the simulator's names and the engines' own.
REPORTED = {
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


class ConfigError(ValueError):
    """``key: problem``"""


def get(source: Mapping[str, Any], path: str, kind: str, default: Any = MISSING) -> Any:
    """The value under the last part of a dotted key, checked for its kind; null counts as
    absent.
    """
    value = source.get(path.rpartition(".")[2])
    if value is None:
        if default is MISSING:
            raise ConfigError(f"{path}: is missing")
        return default
    number = (
        isinstance(value, int | float) and not isinstance(value, bool) and abs(value) <= MOST_NUMBER
    )
    fits = {
        "text": isinstance(value, str),
        "object": isinstance(value, dict),
        "list": isinstance(value, list),
        "bool": isinstance(value, bool),
        "number": number,
        "whole number": number and value == int(value),
    }[kind]
    if not fits:
        raise ConfigError(f"{path}: {json.dumps(value)[:60]} is no {kind}")
    return int(value) if kind == "whole number" else value


def listed(source: Mapping[str, Any], path: str, kind: str) -> list[Any]:
    values = get(source, path, "list", [])
    name = path.rpartition(".")[2]
    return [get({name: value}, path, kind) for value in values]


def chosen(table: Mapping[str, Any], value: str, path: str) -> Any:
    if value not in table:
        raise ConfigError(f"{path}: unknown value {value!r}")
    return table[value]


def _renamed(
    source: dict[str, Any], path: str, names: dict[str, tuple[str, str]]
) -> dict[str, Any]:
    return {
        ours: get(source, f"{path}.{theirs}", kind)
        for ours, (theirs, kind) in names.items()
        if source.get(theirs) is not None
    }


def _class_settings(source: Any, index: int, special: dict[str, Any]) -> api.RequestClass:
    if not isinstance(source, dict):
        raise ConfigError(f"classes[{index}]: is no object")

    def of_class(name: str, kind: str, default: Any) -> Any:
        values = listed(special, f"specifics.{name}", kind)
        return values[index] if index < len(values) else default

    effect = chosen(EFFECTS, get(source, "classes.effect", "text"), "classes.effect")
    # Danger: how long engines know a repeat can't be guessed; past that time it would run twice.
    window = MISSING if effect is api.Effect.IDEMPOTENCY_KEY else 0
    return api.RequestClass(
        name=get(source, "classes.name", "text"),
        latency_objective_ns=get(source, "classes.aim", "whole number"),
        deadline_ns=get(source, "classes.deadline", "whole number"),
        priority_weight=get(source, "classes.worth", "number"),
        effect=effect,
        late_priority_weight=get(source, "classes.late_value", "number", 0.0),
        objective_stretch=get(source, "classes.aim_stretch", "number", 0.0),
        idempotency_scope=chosen(
            SCOPES, get(source, "classes.group", "text", "all") or "all", "classes.group"
        ),
        idempotency_window_ns=get(source, "classes.window", "whole number", window),
        ordered_by_key=get(source, "classes.fifo_by_key", "bool", False),
        allowed_zones=tuple(listed(source, "classes.zones_only", "text")),
        allowed_kinds=tuple(listed(source, "classes.kinds_allowed", "text")),
        threads=of_class("parallelism", "whole number", 1),
        is_load=of_class("is_load", "bool", False),
        blocked_by_loads=of_class("blocked_by_loads", "bool", False),
    )


def _tenant(source: Any, index: int) -> api.Tenant:
    if not isinstance(source, dict):
        raise ConfigError(f"tenants[{index}]: is no object")
    return api.Tenant(
        get(source, "tenants.name", "text"), get(source, "tenants.allowance_per_s", "number", 0.0)
    )


def _price(charges: Mapping[str, Any], name: str) -> float:
    price: float = get(charges, f"charges.{name}", "number", 0.0)
    if price < 0:
        raise ConfigError(f"charges.{name}: must not be negative")
    return price


def parse_settings(facts: Mapping[str, Any]) -> api.Settings:
    """The start settings; ConfigError names the key that is missing or impossible."""
    try:
        return _settings(facts)
    except ConfigError:
        raise
    except ValueError as error:
        key, colon, problem = str(error).partition(":")
        raise ConfigError(THEIR_KEYS.get(key, key) + colon + problem) from None


def _settings(facts: Mapping[str, Any]) -> api.Settings:
    special, limits, contract, charges = (
        get(facts, key, "object", {})
        for key in ("specifics", "policy_limits", "contract", "charges")
    )
    classes = get(facts, "classes", "list")
    listed(get(facts, "report", "object", {}), "report.fields", "text")
    fleet = get(facts, "fleet_size", "whole number")
    return api.Settings(
        classes=tuple(_class_settings(c, i, special) for i, c in enumerate(classes)),
        fleet_size=fleet,
        tick_ns=get(facts, "tick", "whole number"),
        broker_index=get(facts, "me", "whole number", 0) % max(1, fleet),
        zone=get(facts, "zone", "text", ""),
        contract=api.Contract(
            **_renamed(
                contract,
                "contract",
                {
                    "answer_slack_ns": ("answer_slack", "whole number"),
                    "drain_grace_ns": ("drain_grace", "whole number"),
                    "warmup_initial_capacity": ("start_capacity", "number"),
                    "warmup_ns": ("cold", "whole number"),
                    "overload_window_ns": ("fall", "whole number"),
                    "overload_multiple": ("fall_multiple", "number"),
                    "key_rest_ns": ("key_rest", "whole number"),
                    "retry_budget_window_ns": ("ratio_span", "whole number"),
                    "retry_budget_free": ("budget_free", "number"),
                    "retry_budget_ratio": ("extra_ratio", "number"),
                },
            )
        ),
        limits=api.Limits(
            **_renamed(
                limits,
                "policy_limits",
                {
                    "cancellation": ("cancel", "bool"),
                    "health_checks": ("probing", "bool"),
                    "peer_messages": ("peer_messages", "bool"),
                    "hedging": ("second_copies", "bool"),
                    "retry_after": ("retry_after", "bool"),
                    "max_attempts": ("send_cap", "whole number"),
                    "max_retry_after_ns": ("max_retry_after", "whole number"),
                },
            )
        ),
        tenants=tuple(_tenant(t, i) for i, t in enumerate(get(facts, "tenants", "list", []))),
        kind_cores=tuple(
            zip(
                listed(facts, "kinds", "text"),
                listed(special, "specifics.size_cores", "whole number"),
                strict=False,
            )
        ),
        cross_zone_price=_price(charges, "cross_zone"),
        handshake_price=_price(charges, "handshake"),
        over_quota_weight=get(facts, "over_share_worth", "number", 1.0),
        memory_grants=get(special, "specifics.memory_heeded", "bool", False),
        priorities=get(special, "specifics.lanes_count", "bool", False),
    )


@dataclass(frozen=True, slots=True)
class Config:
    """All that one broker is told. Times in nanoseconds."""

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    memory_mb: int
    cores: float  # of processor time a second; the platform holds us to it
    bus: tuple[str, int] | None
    operator: tuple[str, int] | None  # where the operators' calls come in
    accept_fd: int | None  # the clients' listening socket, where the platform holds it
    folder: str  # shared with another process of this broker
    known_offset: int
    known: tuple[EndpointListEvent, ...]
    connect_timeout: int
    conn_idle: int
    streams: int
    settings: api.Settings
    told: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the file as it was read

    @property
    def tick(self) -> int:
        return self.settings.tick_ns

    def remarks(self) -> list[str]:
        """What is taken otherwise than it was told, a line each: a fleet that grows or shrinks may
        tell the size and the places in it at different times, and that is no reason not to
        serve.
        """
        me, last = self.settings.broker_index, self.settings.fleet_size - 1
        told = get(self.told.get("settings", {}), "settings.me", "whole number", me)
        facts = self.told.get("settings", {})
        return (
            ([] if told == me else [f"settings.me: {told} is outside 0 to {last}: taken as {me}"])
            + [f"settings.{key}: is not known here, and has no effect" for key in unknown(facts)]
            + [
                f"settings.report.fields: {name!r} is no value that is known here, and has no "
                "effect"
                for name in (facts.get("report") or {}).get("fields", [])
                if name not in REPORTED
            ]
        )


def unknown(facts: Mapping[str, Any]) -> list[str]:
    """The keys of the settings that are neither read nor known as not needed, each once."""
    found: dict[str, None] = {}
    for part, read in READ.items():
        held = facts.get(part, {}) if part else facts
        for source in held if isinstance(held, list) else [held]:
            for key in source if isinstance(source, dict) else ():
                if key not in read and key not in NOT_NEEDED.get(part, ()):
                    found[f"{part}.{key}" if part else key] = None
    return list(found)


def _address(text: str, key: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except BadLine as error:
        raise ConfigError(f"{key}: {error}") from None


def _at_least(least: int, value: int, key: str) -> int:
    if value < least:
        raise ConfigError(f"{key}: must be at least {least}")
    return value


def parse(raw: Any, environ: Mapping[str, str]) -> Config:
    if not isinstance(raw, dict):
        raise ConfigError("PROXY_CONFIG: holds no JSON object")
    limits, known = get(raw, "limits", "object", {}), get(raw, "known", "object", {})
    facts = get(raw, "settings", "object")
    try:
        settings = parse_settings(facts)
        policy = get(facts, "policy_limits", "object", {})
        wire = [
            get(policy, f"policy_limits.{name}", "whole number", default)
            for name, default in (
                ("connect_timeout", DEFAULT_CONNECT_TIMEOUT),
                ("conn_idle", DEFAULT_CONN_IDLE),
                ("streams_per_conn", DEFAULT_STREAMS),
            )
        ]
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    connect_timeout, conn_idle, streams = (
        _at_least(1, value, f"settings.policy_limits.{name}")
        for name, value in zip(
            ("connect_timeout", "conn_idle", "streams_per_conn"), wire, strict=True
        )
    )
    listen_key = "PROXY_LISTEN" if environ.get("PROXY_LISTEN") else "listen"
    host, port = _address(environ.get("PROXY_LISTEN") or get(raw, "listen", "text"), listen_key)
    operator_key = "PROXY_OPERATOR" if environ.get("PROXY_OPERATOR") else "operator"
    operator = environ.get("PROXY_OPERATOR") or get(raw, "operator", "text", "")
    accept_fd = environ.get("PROXY_ACCEPT_FD", "")
    if accept_fd and not (accept_fd.isascii() and accept_fd.isdecimal() and len(accept_fd) < 8):
        raise ConfigError(f"PROXY_ACCEPT_FD: {accept_fd[:40]!r} is no descriptor's number")
    seed = get(raw, "seed", "text", "0")
    bus = get(raw, "bus", "text", "")
    try:
        events = tuple(parse_event(event) for event in get(known, "known.batch", "list", []))
    except BadLine as error:
        raise ConfigError(f"known.batch: {error}") from None
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is no hexadecimal number") from None
    return Config(
        name=environ.get("PROXY_NAME") or get(raw, "name", "text", "larchhall"),
        host=host,
        port=port,
        seed=seed_number,
        sockets=_at_least(
            LEAST_SOCKETS,
            get(limits, "limits.sockets", "whole number", DEFAULT_SOCKETS),
            "limits.sockets",
        ),
        memory_mb=_at_least(
            LEAST_MEMORY,
            get(limits, "limits.memory_mb", "whole number", DEFAULT_MEMORY),
            "limits.memory_mb",
        ),
        cores=get(limits, "limits.cores", "number", 1.0),
        bus=_address(bus, "bus") if bus else None,
        operator=_address(operator, operator_key) if operator else None,
        accept_fd=int(accept_fd) if accept_fd else None,
        folder=environ.get("TMPDIR") or "/tmp",
        known_offset=get(known, "known.offset", "whole number", events[-1].offset if events else 0),
        known=events,
        connect_timeout=connect_timeout,
        conn_idle=conn_idle,
        streams=streams,
        settings=settings,
        told={key: value for key, value in raw.items() if key != "known"},
    )


def waiting_for_restart(running: Config, read: Config) -> list[str]:
    """The keys in which a configuration read anew differs without effect before the next start."""
    return sorted(
        {key for name, key in FIXED.items() if getattr(running, name) != getattr(read, name)}
    )


def lacking(told: Any, read: Any, path: str = "") -> Iterator[str]:
    """The keys that are in one file and not in another; of lists of objects, what all of one list
    have.
    """
    if isinstance(told, dict) and isinstance(read, dict):
        for key, value in told.items():
            if value is not None and read.get(key) is None:
                yield path + key
            else:
                yield from lacking(value, read.get(key), f"{path}{key}.")
    elif isinstance(told, list) and isinstance(read, list) and told and isinstance(told[0], dict):
        common = {
            key: told[0][key]
            for key in told[0]
            if all(isinstance(t, dict) and key in t for t in told)
        }
        for entry in read:
            yield from lacking(common, entry, path)


def reload(running: Config, environ: Mapping[str, str]) -> Config:
    """The file as SIGHUP finds it, in the place of the one in force. Danger: a key that has got
    lost would fall back to its default, in service and without a word: such a file is turned down
    whole.
    """
    read = load(environ)
    for key in lacking(running.told, read.told):
        raise ConfigError(f"{key}: is missing, in {environ['PROXY_CONFIG']}")
    return read


def load(environ: Mapping[str, str]) -> Config:
    """From the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_OPERATOR stand
    above what it holds.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error}") from None
    except ValueError as error:  # also of a number with more digits than are read
        raise ConfigError(f"PROXY_CONFIG: {path} holds no JSON ({error})") from None
    try:
        return parse(raw, environ)
    except ConfigError as error:
        # Of the environment alone: the line names its variable, and no file holds it.
        raise ConfigError(
            str(error) if str(error).startswith("PROXY_") else f"{error}, in {path}"
        ) from None
