"""The JSON form in which the evaluating process passes its result to the broker.

The keys keep the words of the operators' file; the code uses other terms for some of them: ``map``,
``start``, ``members``, ``shares`` and ``verdicts`` are ``cell_map``, ``startup``, ``membership``,
``quotas`` and ``outlier_consensus``. The evaluating process always has the version of the broker,
which starts it from its own files. Performs no I/O.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

from ..cells.model import read_cell_map
from ..deadlines.retry_budget import RetryBudgetSettings
from ..deadlines.settings import DeadlineSettings, Logs, MarginTerms
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
            "deadlines": _encode_part(config.deadlines),
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


def _decode_deadlines(raw: dict[str, Any]) -> DeadlineSettings:
    margin = MarginTerms(**raw["margin"])
    retry_budget = _decode_part(raw["further"], _decode_retry_budget)
    return DeadlineSettings(**{**raw, "margin": margin, "further": retry_budget})
