"""Calling in what cells have borrowed for their open requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ..decisions.facade import CloseRequests
from ..dispatch.request_table import RequestTable
from ..log import LogWriter
from .request_accounting import RequestAccounting


class CallInHost(Protocol):
    """The dispatcher, as far as calling in needs it."""

    request_table: RequestTable
    accounting: RequestAccounting

    @property
    def log(self) -> LogWriter:
        """Writes a line: its kind and its text."""

    def report_event(self, event: CloseRequests) -> None:
        """Report an event to the decisions and carry out their orders."""


def call_in_requests(host: CallInHost, now_ns: int) -> int:
    """Close requests of borrowers whose owners reclaim their quota; return how many.

    The youngest requests that may be cut short get their final answer, and their statements are
    freed. Attempts that are in flight go on; nothing more is dispatched for them.
    """
    accounting = host.accounting
    called_in = 0
    for ledger in (accounting.requests, accounting.statements):
        for cell, amount in ledger.amounts_to_call_in(now_ns).items():
            request_ids = accounting.youngest_borrowers(ledger, cell, amount)
            if not request_ids:
                continue
            called_in += len(request_ids)
            host.log(
                "cells", f"{len(request_ids)} requests on borrowed capacity, of {cell!r}, are ended"
            )
            host.report_event(CloseRequests(frozenset(request_ids)))
            _free_statements(host, request_ids)
    return called_in


def _free_statements(host: CallInHost, request_ids: Iterable[str]) -> None:
    """Free the statements of requests that have their answer and wait for attempts alone."""
    for request_id in request_ids:
        request = host.request_table.by_id.get(request_id)
        if request is not None and request.client is None:
            host.request_table.statement_bytes -= len(request.statement)
            request.statement = b""
            host.accounting.release(request_id)
