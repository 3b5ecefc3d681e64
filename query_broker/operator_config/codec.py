"""The JSON form in which the evaluating process passes its result to the broker.

Some JSON keys keep the words of the operators' file, for which the code has other terms: ``map``,
``start``, ``members``, ``shares`` and ``verdicts`` are ``cell_map``, ``startup``, ``membership``,
``quotas`` and ``outlier_consensus``. Keys of single fields that differ are in the tables below, in
`_plain_deadlines`, and for the cell map in ``cells/model.py``. The form has no version, since the
broker starts the evaluating process from its own files. Performs no I/O.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any, TypeVar

from ..cells.model import read_cell_map
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
from ..quotas.settings import LimitSettings, QuotaSettings
from ..startup.settings import StartupSettings
from .draft import ConfigDraft
from .settings import OperatorConfig

Part = TypeVar("Part")

#: JSON keys by the field of the settings, where the two differ.
LOGS_KEYS = {"traced_fraction": "stories"}
RETRY_BUDGET_KEYS = {
    "tokens_per_attempt": "share",
    "class_rates": "classes",
    "first_attempt_fraction": "first",
    "min_attempt_ns": "least",
}


def build_config(draft: ConfigDraft) -> OperatorConfig:
    """Return the configuration that a complete draft declares.

    Raises:
        DirectiveError: The directives are inconsistent.
    """
    return OperatorConfig(
        cell_map=draft.build_cell_map(),
        deadlines=draft.build_deadlines(),
        logs=draft.logs,
        startup=draft.startup,
        membership=draft.membership,
        quotas=draft.build_quotas(),
        outlier_consensus=draft.outlier_consensus,
    )


def encode_config(config: OperatorConfig) -> str:
    """Return the JSON form of a configuration."""
    return json.dumps(plain_config(config))


def plain_config(config: OperatorConfig) -> dict[str, Any]:
    """Return a configuration as objects that can be written as JSON."""
    return {
        "map": None if config.cell_map is None else config.cell_map.plain(),
        "deadlines": None if config.deadlines is None else _plain_deadlines(config.deadlines),
        "logs": None if config.logs is None else _fields_to_keys(asdict(config.logs), LOGS_KEYS),
        "start": _plain_part(config.startup),
        "members": _plain_part(config.membership),
        "shares": _plain_part(config.quotas),
        "verdicts": _plain_part(config.outlier_consensus),
    }


def decode_config(text: str) -> OperatorConfig:
    """Return the configuration that ``encode_config`` wrote.

    Raises:
        ValueError: The text is not JSON, or the cell map is invalid (``CellMapError``).
        KeyError: A part is missing.
        TypeError: The fields of a part differ from those of the settings.
    """
    raw = json.loads(text)
    return OperatorConfig(
        cell_map=_decode_part(raw["map"], read_cell_map),
        deadlines=_decode_part(raw["deadlines"], _decode_deadlines),
        logs=_decode_part(raw["logs"], lambda fields: Logs(**_keys_to_fields(fields, LOGS_KEYS))),
        startup=_decode_part(raw["start"], lambda fields: StartupSettings(**fields)),
        membership=_decode_part(raw["members"], _decode_membership),
        quotas=_decode_part(raw["shares"], _decode_quotas),
        outlier_consensus=_decode_part(
            raw["verdicts"], lambda fields: OutlierConsensusSettings(**fields)
        ),
    )


def _plain_part(settings: Any) -> dict[str, Any] | None:
    return None if settings is None else asdict(settings)


def _plain_deadlines(settings: DeadlineSettings) -> dict[str, Any]:
    margin = settings.margin
    retry_budget = settings.retry_budget
    return {
        "learn": settings.learn_margin,
        "margin": {
            "start": margin.initial_ns,
            "least": margin.min_ns,
            "most": margin.max_ns,
            "share": margin.quantile,
        },
        "count_from": settings.timeout_start,
        "half_close": settings.half_close,
        "slow_reader": settings.slow_reader_timeout_ns,
        "further": None
        if retry_budget is None
        else _fields_to_keys(asdict(retry_budget), RETRY_BUDGET_KEYS),
    }


def _fields_to_keys(values: Mapping[str, Any], keys: Mapping[str, str]) -> dict[str, Any]:
    """Return the values of fields under their JSON keys."""
    return {keys.get(name, name): value for name, value in values.items()}


def _keys_to_fields(raw: Mapping[str, Any], keys: Mapping[str, str]) -> dict[str, Any]:
    """Return the values of JSON keys under the names of their fields."""
    names = {key: name for name, key in keys.items()}
    return {names.get(key, key): value for key, value in raw.items()}


def _decode_part(raw: Any, decode: Callable[[Any], Part]) -> Part | None:
    return None if raw is None else decode(raw)


def _decode_membership(raw: dict[str, Any]) -> MembershipSettings:
    return MembershipSettings(**{**raw, "seeds": tuple(raw["seeds"])})


def _decode_quotas(raw: dict[str, Any]) -> QuotaSettings:
    limits = tuple(LimitSettings(**limit) for limit in raw["limits"])
    return QuotaSettings(**{**raw, "limits": limits})


def _decode_retry_budget(raw: dict[str, Any]) -> RetryBudgetSettings:
    class_rates = tuple(ClassRate(*rate) for rate in raw["classes"])
    fields = _keys_to_fields(raw, RETRY_BUDGET_KEYS)
    return RetryBudgetSettings(**{**fields, "class_rates": class_rates})


def _decode_deadlines(raw: dict[str, Any]) -> DeadlineSettings:
    margin = raw["margin"]
    return DeadlineSettings(
        learn_margin=raw["learn"],
        margin=MarginSettings(
            initial_ns=margin["start"],
            min_ns=margin["least"],
            max_ns=margin["most"],
            quantile=margin["share"],
        ),
        timeout_start=TimeoutStart(raw["count_from"]),
        half_close=HalfClosePolicy(raw["half_close"]),
        slow_reader_timeout_ns=raw["slow_reader"],
        retry_budget=_decode_part(raw["further"], _decode_retry_budget),
    )
