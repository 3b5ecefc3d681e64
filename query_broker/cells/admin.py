"""The admin API of cells: ``/cells``, ``/cells/move/...`` and ``/cells/abort/...``.

The command line and operators' scripts depend on the keys and texts of the answers.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from urllib.parse import unquote_to_bytes

from ..protocols.json_answers import json_answer
from ..protocols.operator_answers import HttpAnswer
from .host import CellHost
from .migrations import Migration, MigrationRejectedError
from .model import Cell

ROOT = "/cells"
LOAD_DECIMAL_PLACES = 6


class CellAdmin:
    """Handles the admin calls on cells."""

    def __init__(self, node: CellHost) -> None:
        """Handle the calls on the cells of this node."""
        self._node = node

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Return the answer to a call; None if the path is not one of the cells' API."""
        if path != ROOT and not path.startswith(f"{ROOT}/"):
            return None
        try:
            parts = [unquote_to_bytes(part).decode() for part in path.split("/")[2:]]
        except UnicodeDecodeError:
            return _error(HTTPStatus.BAD_REQUEST, "a name that is no text")
        allowed_method = "POST" if parts else "GET"
        if method != allowed_method:
            reason = f"this call is a {allowed_method}"
            return _error(HTTPStatus.METHOD_NOT_ALLOWED, reason, allowed_method)
        if not parts:
            return _answer(HTTPStatus.OK, self.overview())
        try:
            migration = self._change(parts)
        except MigrationRejectedError as error:
            return _error(HTTPStatus.CONFLICT, str(error))
        if migration is None:
            return _error(HTTPStatus.NOT_FOUND, "no such call")
        return self._confirm(migration)

    def _change(self, parts: list[str]) -> Migration | None:
        """Start or abort a migration; return None if the path names no call."""
        log = self._node.celled.migrations
        now_ns = self._node.clock.now()
        match parts:
            case ["move", subject, cell]:
                return log.propose(subject, cell, now_ns)
            case ["abort", subject]:
                return log.abort_by_operators(subject, now_ns)
            case _:
                return None

    def _confirm(self, migration: Migration) -> HttpAnswer:
        """Publish a change to the other processes and log it, before the caller gets its answer."""
        if self._node.peer_processes is not None:
            self._node.peer_processes.publish_status()
        self._node.log("cells", f"{migration.summary()}, by call")
        return _answer(HTTPStatus.OK, migration.plain())

    def overview(self) -> dict[str, Any]:
        """Return the cells, their endpoints, the tenants with their loads, and the migrations."""
        dispatcher = self._node.celled
        seats = dispatcher.router.seats.placement.seats
        migrations = sorted(
            dispatcher.migrations.records.values(), key=lambda migration: -migration.proposed_ns
        )
        return {
            "epoch": self._node.map.epoch,
            "digest": self._node.digest,
            "cells": [self._cell(cell) for cell in self._node.map.cells],
            "tenants": self._tenants(),
            "unplaced": sorted(uid for uid, cell in seats.items() if cell is None),
            "moves": [migration.plain() for migration in migrations],
        }

    def _cell(self, cell: Cell) -> dict[str, Any]:
        dispatcher = self._node.celled
        seats = dispatcher.router.seats
        facade = dispatcher.router.facades[cell.name]
        fleet = seats.fleet(cell.name, self._node.clock.now())
        known = facade.controller.endpoints
        return {
            "cell": cell.name,
            "weight": cell.weight,
            "default": cell.name == self._node.map.default,
            "ready": fleet.ready_count,
            "cold": fleet.warming_count,
            "short": fleet.ready_count < cell.min_endpoints,
            "cores": sum(known[number].cores for number in facade.endpoints if number in known),
            "open": facade.open_count,
            "lent": dispatcher.request_ledger.borrowed_amount(cell.name),
            "refused_for_room": dispatcher.accounting.rejection_counts.get(cell.name, 0),
            "engines": sorted(seats.uid_of(number) for number in facade.endpoints),
        }

    def _tenants(self) -> list[dict[str, Any]]:
        """Return all subjects; a spread tenant is represented by its parts."""
        dispatcher = self._node.celled
        tenants = self._node.map.tenants
        subjects = {*tenants, *dispatcher.rates.means, *dispatcher.migrations.records}
        spread = {tenant.name for tenant in tenants.values() if tenant.key}
        return [self._tenant(subject) for subject in sorted(subjects - spread)]

    def _tenant(self, subject: str) -> dict[str, Any]:
        dispatcher = self._node.celled
        now_ns = self._node.clock.now()
        load = dispatcher.rates.rate_at(subject, now_ns)
        return {
            "tenant": subject,
            "cell": dispatcher.migrations.cell(subject, now_ns),
            "load": round(load, LOAD_DECIMAL_PLACES),
        }


def _answer(status: HTTPStatus, content: dict[str, Any], allowed_method: str = "") -> HttpAnswer:
    return json_answer(content, status, allowed_method, ensure_ascii=False)


def _error(status: HTTPStatus, reason: str, allowed_method: str = "") -> HttpAnswer:
    return _answer(status, {"error": reason}, allowed_method)
