"""Reads the object ``settings`` into the types of ``decisions.settings``. Performs no I/O.

The broker reads the object from its configuration file, and the simulator's adapter receives only
this object; both call ``parse_settings``. If several keys are faulty, the order of reading decides
which one the error names, so that order must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..decisions import Contract, Effect, Limits, RequestClass, Settings, Tenant
from .errors import ConfigError, InvalidValueError
from .schema import (
    CONTRACT_FIELDS,
    EFFECTS,
    IDEMPOTENCY_SCOPES,
    KEYS_BY_CHECKED_FIELD,
    LIMITS_FIELDS,
    REPORT_KEY,
    SettingsField,
)
from .values import Section, ValueKind, look_up


def parse_settings(settings: Mapping[str, Any]) -> Settings:
    """Read the platform's settings.

    Args:
        settings: The JSON object; durations are in nanoseconds.

    Raises:
        ConfigError: A key is missing or its value is invalid; the error names the key.
    """
    try:
        return _read_settings(Section(settings))
    except ConfigError:
        raise
    except ValueError as error:  # from the checks in `decisions.settings`, as `field: problem`
        field, colon, problem = str(error).partition(":")
        key = KEYS_BY_CHECKED_FIELD.get(field, field)
        raise ConfigError(key + colon + problem) from None


def _read_settings(root: Section) -> Settings:
    specifics = root.section("specifics")
    policy_limits = root.section("policy_limits")
    contract = root.section("contract")
    charges = root.section("charges")
    classes = root.entries("classes")
    _check_report(root.section(REPORT_KEY))
    fleet_size = root.integer("fleet_size")
    return Settings(
        classes=_request_classes(classes, specifics),
        fleet_size=fleet_size,
        tick_ns=root.integer("tick"),
        broker_index=root.integer("me", 0) % max(1, fleet_size),
        zone=root.text("zone", ""),
        contract=Contract(**_fields(contract, CONTRACT_FIELDS)),
        limits=Limits(**_fields(policy_limits, LIMITS_FIELDS)),
        tenants=_tenants(root.entries("tenants", [])),
        kind_cores=_kind_cores(root, specifics),
        cross_zone_price=_price(charges, "cross_zone"),
        handshake_price=_price(charges, "handshake"),
        over_quota_weight=root.number("over_share_worth", 1.0),
        memory_grants=specifics.boolean("memory_heeded", False),
        priorities=specifics.boolean("lanes_count", False),
    )


def _check_report(report: Section) -> None:
    """Check that ``fields``, the list of the fields of load reports, is absent or a list of texts.

    The broker does not use the list. Null is an error: the platform defines no meaning for it here,
    so it does not count as absent.
    """
    if "fields" in report.values and not report.has_value("fields"):
        raise InvalidValueError(report.key("fields"), "null is no list")
    report.list_of("fields", ValueKind.TEXT)


def _fields(section: Section, fields: Mapping[str, SettingsField]) -> dict[str, Any]:
    """Return the fields whose keys are present; the others keep the defaults of the dataclass."""
    return {
        field.name: section.value(key, field.kind)
        for key, field in fields.items()
        if section.has_value(key)
    }


def _request_classes(entries: list[Any], specifics: Section) -> tuple[RequestClass, ...]:
    return tuple(_request_class(entry, index, specifics) for index, entry in enumerate(entries))


def _request_class(entry: Any, index: int, specifics: Section) -> RequestClass:
    if not isinstance(entry, dict):
        raise InvalidValueError(f"classes[{index}]", "is no object")
    section = Section(entry, "classes")
    effect = look_up(section.text("effect"), EFFECTS, section.key("effect"))
    return RequestClass(
        name=section.text("name"),
        latency_objective_ns=section.integer("aim"),
        deadline_ns=section.integer("deadline"),
        priority_weight=section.number("worth"),
        effect=effect,
        late_priority_weight=section.number("late_value", 0.0),
        objective_stretch=section.number("aim_stretch", 0.0),
        idempotency_scope=look_up(
            section.text("group", "all") or "all", IDEMPOTENCY_SCOPES, section.key("group")
        ),
        idempotency_window_ns=_idempotency_window_ns(section, effect),
        ordered_by_key=section.boolean("fifo_by_key", False),
        allowed_zones=tuple(section.list_of("zones_only", ValueKind.TEXT)),
        allowed_kinds=tuple(section.list_of("kinds_allowed", ValueKind.TEXT)),
        threads=_value_of_class(specifics, "parallelism", index, ValueKind.INTEGER, 1),
        is_load=_value_of_class(specifics, "is_load", index, ValueKind.BOOLEAN, False),
        blocked_by_loads=_value_of_class(
            specifics, "blocked_by_loads", index, ValueKind.BOOLEAN, False
        ),
    )


def _idempotency_window_ns(section: Section, effect: Effect) -> int:
    # There is no safe default for how long endpoints remember an idempotency key: a retry after
    # that time would run twice. So ``window`` is required for a class with idempotency keys.
    if effect is Effect.IDEMPOTENCY_KEY:
        return section.integer("window")
    return section.integer("window", 0)


def _value_of_class(
    specifics: Section, name: str, index: int, kind: ValueKind, default: Any
) -> Any:
    """Return the entry of one class in a list with an entry for each class, or the default."""
    entries = specifics.list_of(name, kind)
    return entries[index] if index < len(entries) else default


def _tenants(entries: list[Any]) -> tuple[Tenant, ...]:
    return tuple(_tenant(entry, index) for index, entry in enumerate(entries))


def _tenant(entry: Any, index: int) -> Tenant:
    if not isinstance(entry, dict):
        raise InvalidValueError(f"tenants[{index}]", "is no object")
    section = Section(entry, "tenants")
    return Tenant(section.text("name"), section.number("allowance_per_s", 0.0))


def _kind_cores(root: Section, specifics: Section) -> tuple[tuple[str, int], ...]:
    """Return the cores of each kind of endpoint.

    The two lists have the same order. Kinds beyond the end of the list of cores are left out.
    """
    kinds = root.list_of("kinds", ValueKind.TEXT)
    cores = specifics.list_of("size_cores", ValueKind.INTEGER)
    return tuple(zip(kinds, cores, strict=False))


def _price(charges: Section, name: str) -> float:
    price = charges.number(name, 0.0)
    if price < 0:
        raise InvalidValueError(charges.key(name), "must not be negative")
    return price
