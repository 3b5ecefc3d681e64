"""The JSON form in which the evaluating process hands its result to the broker.

The keys are the one place where the operators' words of this form stand beside the terms of the
code: ``map``, ``start``, ``members``, ``shares`` and ``verdicts`` are ``cell_map``, ``startup``,
``membership``, ``quotas`` and ``outlier_consensus``; those of the deadlines stand in
`encode_deadlines`. During an upgrade both processes are of the
same version, since the broker starts the other one from its own files. Performs no I/O.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

from ..cells.model import read_cell_map
from ..deadlines.retry_budget import RetryBudgetSettings
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


def build_config(draft: ConfigDraft) -> OperatorConfig:
    """Return what a complete draft declares.

    Raises:
        DirectiveError: The directives do not fit together.
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
    return json.dumps(
        {
            "map": None if config.cell_map is None else config.cell_map.plain(),
            "deadlines": None if config.deadlines is None else encode_deadlines(config.deadlines),
            "logs": _encode_part(config.logs),
            "start": _encode_part(config.startup),
            "members": _encode_part(config.membership),
            "shares": _encode_part(config.quotas),
            "verdicts": _encode_part(config.outlier_consensus),
        }
    )


def decode_config(text: str) -> OperatorConfig:
    """Return the configuration that ``encode_config`` wrote.

    Raises:
        ValueError: The text is no JSON, or the cell map is invalid (`CellMapError`).
        KeyError: A part is missing.
        TypeError: A part has other fields than the settings.
    """
    raw = json.loads(text)
    return OperatorConfig(
        cell_map=_decode_part(raw["map"], read_cell_map),
        deadlines=_decode_part(raw["deadlines"], _decode_deadlines),
        logs=_decode_part(raw["logs"], lambda fields: Logs(**fields)),
        startup=_decode_part(raw["start"], lambda fields: StartupSettings(**fields)),
        membership=_decode_part(raw["members"], _decode_membership),
        quotas=_decode_part(raw["shares"], _decode_quotas),
        outlier_consensus=_decode_part(
            raw["verdicts"], lambda fields: OutlierConsensusSettings(**fields)
        ),
    )


def _encode_part(settings: Any) -> dict[str, Any] | None:
    return None if settings is None else asdict(settings)


def _decode_part(raw: Any, decode: Callable[[Any], Part]) -> Part | None:
    return None if raw is None else decode(raw)


def _decode_membership(raw: dict[str, Any]) -> MembershipSettings:
    return MembershipSettings(**{**raw, "seeds": tuple(raw["seeds"])})


def _decode_quotas(raw: dict[str, Any]) -> QuotaSettings:
    limits = tuple(LimitSettings(**limit) for limit in raw["limits"])
    return QuotaSettings(**{**raw, "limits": limits})


def _decode_retry_budget(raw: dict[str, Any]) -> RetryBudgetSettings:
    classes = tuple(tuple(request_class) for request_class in raw["classes"])
    return RetryBudgetSettings(**{**raw, "classes": classes})


def encode_deadlines(settings: DeadlineSettings) -> dict[str, Any]:
    """Return the settings of deadlines by the keys of the JSON form."""
    margin = settings.margin
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
        "further": _encode_part(settings.retry_budget),
    }


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
