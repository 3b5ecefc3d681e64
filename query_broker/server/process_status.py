"""The status that two processes of one broker exchange during an upgrade, and its JSON codec.

The keys of the file are fixed, since versions in service use them; only this module maps them to
the terms of the code. Performs no I/O.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..decisions.facade import OutstandingWork
from ..endpoints.administrative_state import AdministrativeState
from ..errors import QueryBrokerError

KEY_ACCEPTING = "accepting"
KEY_CLIENTS = "clients"
KEY_ADMINISTRATIVE_STATES = "words"
KEY_OUTSTANDING_WORK = "out"
KEY_CELLS = "cells"
KEY_CHECKSUM = "sum"
MAX_INTEGER = (1 << 63) - 1  # the largest absolute value of a number
NOT_A_NUMBER = "a value is not a number in range"
NOT_A_BOOLEAN = "a value is not a boolean"


class StatusFormatError(QueryBrokerError, ValueError):
    """A status file is incomplete, or was not written by a process of this broker."""


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """What one process publishes to the other processes of this broker.

    Attributes:
        accepting: Whether the process accepts new connections and has an endpoint list.
        clients: The number of its open client connections.
        administrative_states: The operators' last directive on each endpoint, by endpoint uid.
        outstanding_work: Its unfinished work at each endpoint, by endpoint number.
        cells: The status of its cells, not validated here but by the codec of the cells. None if
            the process has no cells.
    """

    accepting: bool = False
    clients: int = 0
    administrative_states: Mapping[str, AdministrativeState] = field(default_factory=dict)
    outstanding_work: Mapping[int, OutstandingWork] = field(default_factory=dict)
    cells: Any = None


def encode_status(status: ProcessStatus, extension: Mapping[str, Any]) -> bytes:
    """Encode a status as JSON, followed by its checksum.

    Args:
        status: The status of this process; its ``cells`` are ignored and come from ``extension``.
        extension: Further keys of the file with plain JSON values, from the node's subsystems.
    """
    states = status.administrative_states.items()
    work = status.outstanding_work.items()
    fields = {
        KEY_ACCEPTING: status.accepting,
        KEY_CLIENTS: status.clients,
        KEY_ADMINISTRATIVE_STATES: {uid: list(state) for uid, state in states},
        KEY_OUTSTANDING_WORK: {str(number): list(amounts) for number, amounts in work},
        **extension,
    }
    return json.dumps({**fields, KEY_CHECKSUM: checksum(fields)}).encode()


def decode_status(text: str) -> ProcessStatus:
    """Decode a status file, which may be padded with spaces.

    A file without a checksum is valid: versions before the checksum replaced the file atomically.

    Raises:
        StatusFormatError: The text is not a complete status.
    """
    try:
        fields = json.loads(text, object_pairs_hook=_object_without_duplicates)
        expected = fields.pop(KEY_CHECKSUM, None)
        intact = expected in (None, checksum(fields))
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise StatusFormatError(str(error)) from error
    if not intact:
        raise StatusFormatError(KEY_CHECKSUM)
    return status_from_fields(fields)


def status_from_fields(fields: Any) -> ProcessStatus:
    """Check the fields of a status file; absent fields get the values of an idle process.

    Raises:
        StatusFormatError: A field has the wrong type.
    """
    try:
        states = fields.get(KEY_ADMINISTRATIVE_STATES, {}).items()
        work = fields.get(KEY_OUTSTANDING_WORK, {}).items()
        return ProcessStatus(
            accepting=_boolean(fields.get(KEY_ACCEPTING, False)),
            clients=_count(fields.get(KEY_CLIENTS, 0)),
            administrative_states={
                uid: AdministrativeState(_integer(given_ns), _boolean(disabled))
                for uid, (given_ns, disabled) in states
            },
            outstanding_work={
                _integer(int(number)): OutstandingWork(*map(_integer, amounts))
                for number, amounts in work
            },
            cells=fields.get(KEY_CELLS),
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise StatusFormatError(str(error)) from error


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object from its pairs; no process of this broker writes a duplicate key."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        problem = "an object has a duplicate key"
        raise ValueError(problem)
    return fields


def _integer(value: Any) -> int:
    """Return a number as an integer.

    Python's JSON decoder accepts Infinity and NaN, for which `int` raises two different errors. The
    range is checked because sums of such fields are used for the limits of this process.

    Raises:
        TypeError: The value is not a number.
        ValueError: The value is not finite, or larger than any count or time.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(NOT_A_NUMBER)
    is_in_range = abs(value) <= MAX_INTEGER  # also false for NaN
    if not is_in_range:
        raise ValueError(NOT_A_NUMBER)
    return int(value)


def _count(value: Any) -> int:
    """Return a number as a non-negative integer; raises the errors of `_integer`."""
    count = _integer(value)
    if count < 0:
        raise ValueError(NOT_A_NUMBER)
    return count


def _boolean(value: Any) -> bool:
    """Return a boolean.

    Raises:
        TypeError: The value is not a boolean.
    """
    if not isinstance(value, bool):
        raise TypeError(NOT_A_BOOLEAN)
    return value


def checksum(fields: Mapping[str, Any]) -> int:
    """Return the CRC-32 of the fields' JSON text, in the order of the fields."""
    return zlib.crc32(json.dumps(fields).encode())


def total_outstanding_work(statuses: Iterable[ProcessStatus]) -> dict[int, OutstandingWork]:
    """Return the sum of the processes' unfinished work, by endpoint number."""
    total: dict[int, OutstandingWork] = {}
    for status in statuses:
        for number, work in status.outstanding_work.items():
            previous = total.get(number, OutstandingWork(0, 0, 0))
            total[number] = OutstandingWork(
                threads=previous.threads + work.threads,
                backlog_ns=previous.backlog_ns + work.backlog_ns,
                warmup_ns=previous.warmup_ns + work.warmup_ns,
            )
    return total
