"""Calls in borrowed capacity by closing open requests of the borrowing cells."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ..decisions.facade import CloseRequests
from ..dispatch.request_table import RequestTable
from ..log import LogWriter
from .request_accounting import RequestAccounting


class CallInHost(Protocol):
    """The part of the dispatcher that `call_in_requests` uses."""

    request_table: RequestTable
    accounting: RequestAccounting

    @property
    def log(self) -> LogWriter:
        """The function that writes a log line of a kind and a text."""

    def report_event(self, event: CloseRequests) -> None:
        """Report an event to the decisions and carry out their orders."""


def call_in_requests(host: CallInHost, now_ns: int) -> int:
    """Close requests on borrowed capacity that its owners reclaim; return how many.

    The most recent requests that may be cut short get their final answer, and their statements are
    freed. Their attempts in flight go on, but no further ones are dispatched.
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
                "cells",
                f"{len(request_ids)} requests on borrowed capacity, of cell {cell!r}, were closed",
            )
            host.report_event(CloseRequests(frozenset(request_ids)))
            _free_statements(host, request_ids)
    return called_in


def _free_statements(host: CallInHost, request_ids: Iterable[str]) -> None:
    """Free the statements of answered requests that only wait for their attempts to end."""
    for request_id in request_ids:
        request = host.request_table.by_id.get(request_id)
        if request is not None and request.client is None:
            host.request_table.statement_bytes -= len(request.statement)
            request.statement = b""
            host.accounting.release(request_id)
