"""Keeps the decisions of each cell informed of the endpoints that are assigned to the cell.

The seat of an endpoint is the one cell that it is assigned to. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from ..decisions.facade import (
    AdministrativeChange,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    OrderBatch,
    Settings,
)
from .cell_facade import CellFacade, extend_orders
from .migrations import Fleet
from .model import CellMap
from .outstanding_work import NO_WORK, OutstandingWorkTracker
from .placement import PlacedEndpoint, Placement, SeatChange


class UidLookup(Protocol):
    """Looks up the uid of a listed endpoint."""

    def __call__(self, number: int, /) -> str:
        """Return the uid of the endpoint with this number."""


class EndpointSeats:
    """Applies updates of the endpoint list and new maps to the decisions of all cells.

    Attributes:
        settings: The platform settings in force; the router sets them.
        placement: The cell of each endpoint, by uid.
        entries: The listed endpoints by number.
        numbers: The number of each listed endpoint, by uid.
        disabled: The administrative change that disabled each disabled endpoint.
        uid_of: Returns the uid of an endpoint's number.
        enabled_ns: When each re-enabled endpoint was enabled, which starts its warm-up anew.
    """

    def __init__(
        self,
        map: CellMap,
        settings: Settings,
        facades: Mapping[str, CellFacade],
        outstanding: OutstandingWorkTracker,
        uid_of: UidLookup,
    ) -> None:
        """Start without endpoints.

        Args:
            map: The cell map in force.
            settings: The platform settings in force.
            facades: The decisions of each cell, by its name.
            outstanding: Tracks work that cells have outstanding on endpoints that leave them.
            uid_of: Returns the uid of an endpoint's number.
        """
        self.settings = settings
        self.placement = Placement(map)
        self.entries: dict[int, EndpointEntry] = {}
        self.numbers: dict[str, int] = {}
        self.disabled: dict[int, AdministrativeChange] = {}
        self.enabled_ns: dict[int, int] = {}
        self._facades = facades
        self._outstanding = outstanding
        self.uid_of = uid_of

    def facade_of(self, number: int) -> CellFacade | None:
        """Return the decisions of the endpoint's cell; None if it has none."""
        return next(
            (facade for facade in self._facades.values() if number in facade.endpoints), None
        )

    def cell_of(self, number: int) -> str | None:
        """Return the cell of an endpoint.

        For an endpoint that is no longer listed, this is a cell with outstanding work on it, if any
        has such work.
        """
        entry = self.entries.get(number)
        if entry is not None:
            return self.placement.seat_of(self.uid_of(entry.endpoint))
        for facade in self._facades.values():
            if number in facade.controller.endpoints:
                return facade.cell
        return None

    def fleet(self, cell: str, now_ns: int) -> Fleet:
        """Return how many endpoints of the cell accept new work, and how many of these warm up."""
        facade = self._facades.get(cell)
        if facade is None:
            return Fleet(0, 0)
        ready = [
            number
            for number in facade.endpoints
            if self.entries[number].state is EndpointState.READY and number not in self.disabled
        ]
        warming_count = sum(now_ns < self._warmup_ends_ns(number) for number in ready)
        return Fleet(len(ready), warming_count)

    def _started_ns(self, entry: EndpointEntry) -> int:
        """Return when the warm-up began: at the endpoint's start, or when it was re-enabled."""
        return max(entry.started_ns, self.enabled_ns.get(entry.endpoint, 0))

    def _warmup_ends_ns(self, number: int) -> int:
        return self._started_ns(self.entries[number]) + self.settings.contract.warmup_ns

    def apply_administrative_change(self, change: AdministrativeChange) -> None:
        """Record that an endpoint was disabled or enabled, for cells that it joins later."""
        if change.disabled:
            self.disabled[change.endpoint] = change
        else:
            self.disabled.pop(change.endpoint, None)
            self.enabled_ns[change.endpoint] = change.at_ns

    def apply_update(self, now_ns: int, update: EndpointListUpdate, orders: OrderBatch) -> None:
        """Apply an update of the endpoint list.

        All endpoints are placed first; then each cell gets the entries of its own endpoints only.
        """
        removed = self._removed_entries(update)
        present = [entry for entry in update.entries if entry.state is not EndpointState.REMOVED]
        uids = {number: uid for uid, number in self.numbers.items()}
        for entry in present:
            self.numbers[self.uid_of(entry.endpoint)] = entry.endpoint
            self.entries[entry.endpoint] = entry
        removed_uids = [uids[entry.endpoint] for entry in removed if entry.endpoint in uids]
        endpoints = [self._placed_endpoint(entry) for entry in present]
        changes = self.placement.apply_list_update(endpoints, removed_uids)
        for entry in removed:
            self._remove(now_ns, entry, uids.get(entry.endpoint), orders)
        self.apply_seat_changes(now_ns, changes, orders)
        reseated = {self.numbers[change.uid] for change in changes if change.uid in self.numbers}
        unmoved = [entry for entry in present if entry.endpoint not in reseated]
        self._report_listed(now_ns, unmoved, orders)

    def _removed_entries(self, update: EndpointListUpdate) -> list[EndpointEntry]:
        """Return the removed entries: named by the update, or missing from a full list."""
        removed = [entry for entry in update.entries if entry.state is EndpointState.REMOVED]
        if update.kind is ListUpdateKind.FULL:
            listed = {entry.endpoint for entry in update.entries}
            removed += [
                replace(entry, state=EndpointState.REMOVED)
                for number, entry in self.entries.items()
                if number not in listed
            ]
        return removed

    def _placed_endpoint(self, entry: EndpointEntry) -> PlacedEndpoint:
        ready = entry.state is EndpointState.READY
        return PlacedEndpoint(self.uid_of(entry.endpoint), entry.zone, entry.kind, ready)

    def _remove(
        self, now_ns: int, entry: EndpointEntry, uid: str | None, orders: OrderBatch
    ) -> None:
        self.entries.pop(entry.endpoint, None)
        self.enabled_ns.pop(entry.endpoint, None)
        if uid is not None:
            del self.numbers[uid]
        facade = self.facade_of(entry.endpoint)
        if facade is not None:
            facade.endpoints.discard(entry.endpoint)
            _report_entries(facade, now_ns, (entry,), orders)

    def _report_listed(
        self, now_ns: int, entries: Iterable[EndpointEntry], orders: OrderBatch
    ) -> None:
        for facade in list(self._facades.values()):
            own = tuple(entry for entry in entries if entry.endpoint in facade.endpoints)
            if own:
                _report_entries(facade, now_ns, own, orders)

    def apply_seat_changes(
        self, now_ns: int, changes: Iterable[SeatChange], orders: OrderBatch
    ) -> None:
        """Move endpoints between the decisions of cells.

        An endpoint is removed from its former cell first: in two cells at once, it would get work
        up to the limits of both.
        """
        for change in changes:
            number = self.numbers.get(change.uid)
            if number is None:
                continue
            entry = self.entries[number]
            former = self._facades.get(change.former_cell or "")
            if former is not None and number in former.endpoints:
                self._remove_from_cell(former, now_ns, entry, orders)
            new = self._facades.get(change.new_cell or "")
            if new is not None:
                new.endpoints.add(number)
                added = replace(entry, started_ns=self._started_ns(entry))
                _report_entries(new, now_ns, (added,), orders)

    def _remove_from_cell(
        self, facade: CellFacade, now_ns: int, entry: EndpointEntry, orders: OrderBatch
    ) -> None:
        number = entry.endpoint
        outstanding = facade.outstanding(now_ns).get(number, NO_WORK)
        facade.endpoints.discard(number)
        removed = replace(entry, state=EndpointState.REMOVED)
        _report_entries(facade, now_ns, (removed,), orders)
        until_ns = now_ns + self.settings.contract.overload_window_ns
        self._outstanding.endpoint_left(number, outstanding, until_ns)


def _report_entries(
    facade: CellFacade, now_ns: int, entries: tuple[EndpointEntry, ...], orders: OrderBatch
) -> None:
    update = EndpointListUpdate(ListUpdateKind.CHANGES, entries)
    extend_orders(orders, facade.report(now_ns, update))
