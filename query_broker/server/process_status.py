"""The status that two processes of one broker exchange during an upgrade, and its JSON codec.

The keys of the file are fixed by the versions that are in service; this module alone maps them to
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

# Keys of the file.
KEY_ACCEPTING = "accepting"
KEY_CLIENTS = "clients"
KEY_ADMINISTRATIVE_STATES = "words"
KEY_OUTSTANDING_WORK = "out"
KEY_CELLS = "cells"
KEY_CHECKSUM = "sum"
# Largest absolute value of a number.
MAX_INTEGER = (1 << 63) - 1
NO_NUMBER = "a value is no number in range"
NO_BOOLEAN = "a value is neither true nor false"


class StatusFormatError(QueryBrokerError, ValueError):
    """A status file that is incomplete or that no process of this broker wrote."""


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """What one process publishes to the others of this broker.

    Attributes:
        accepting: Whether it accepts new connections and has an endpoint list to serve them.
        clients: Its open client connections.
        administrative_states: The operators' last call on each endpoint, by endpoint uid.
        outstanding_work: Its unfinished work on each endpoint, by endpoint number.
        cells: The status of its cells, unchecked: the codec of the cells reads it. None where the
            process has no cells.
    """

    accepting: bool = False
    clients: int = 0
    administrative_states: Mapping[str, AdministrativeState] = field(default_factory=dict)
    outstanding_work: Mapping[int, OutstandingWork] = field(default_factory=dict)
    cells: Any = None


def encode_status(status: ProcessStatus, extension: Mapping[str, Any]) -> bytes:
    """Encode a status as JSON, followed by its checksum.

    Args:
        status: The status of this process; its ``cells`` come with ``extension``.
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

    A file without a checksum is valid: versions before the checksum replaced the file in one step.

    Raises:
        StatusFormatError: The text is no status, or only a part of one.
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
    """Check the fields of a status file; an absent one takes the value of an idle process.

    Raises:
        StatusFormatError: A field is not of its type.
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
    """Make an object of its pairs; no process of this broker writes a key twice."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        problem = "a key stands twice"
        raise ValueError(problem)
    return fields


def _integer(value: Any) -> int:
    """Return a number as an integer.

    Infinity and NaN are numbers of JSON for this reader, and `int` raises another error for each;
    the sums of such fields go into the limits of this process.

    Raises:
        TypeError: It is no number.
        ValueError: It is not finite, or larger than any count or time.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(NO_NUMBER)
    is_in_range = abs(value) <= MAX_INTEGER  # false of NaN too
    if not is_in_range:
        raise ValueError(NO_NUMBER)
    return int(value)


def _count(value: Any) -> int:
    """Return a number that is not negative; the errors are those of `_integer`."""
    count = _integer(value)
    if count < 0:
        raise ValueError(NO_NUMBER)
    return count


def _boolean(value: Any) -> bool:
    """Return a boolean.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, bool):
        raise TypeError(NO_BOOLEAN)
    return value


def checksum(fields: Mapping[str, Any]) -> int:
    """Return the CRC-32 of the fields as JSON text, in their order."""
    return zlib.crc32(json.dumps(fields).encode())


def total_outstanding_work(statuses: Iterable[ProcessStatus]) -> dict[int, OutstandingWork]:
    """Add up the unfinished work of the processes, by endpoint number."""
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
