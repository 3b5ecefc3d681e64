"""Which cell each endpoint belongs to: pinned, or by weighted rendezvous hashing within bounds.

The seat of an endpoint is its cell. It changes only if the endpoint leaves the list or a new map
requires it; other endpoints that join or leave never change it. Bounds count ready endpoints only:
if draining endpoints counted, a rolling deploy would place the successors in other cells while
their predecessors are still listed. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .model import Cell, CellMap, rendezvous


@dataclass(frozen=True, slots=True)
class PlacedEndpoint:
    """The properties of a listed endpoint that its placement depends on.

    Attributes:
        uid: The stable name of the endpoint.
        zone: The zone that the endpoint runs in.
        model: The hardware model.
        ready: Whether the endpoint accepts new work; a draining endpoint does not.
    """

    uid: str
    zone: str
    model: str
    ready: bool


@dataclass(frozen=True, slots=True)
class SeatChange:
    """The change of an endpoint's cell.

    Attributes:
        uid: The uid of the endpoint.
        former_cell: The cell before; None if there was none.
        new_cell: The cell now; None if there is none.
    """

    uid: str
    former_cell: str | None
    new_cell: str | None


class Placement:
    """The seats of all listed endpoints.

    Attributes:
        map: The cell map in force.
        endpoints: The listed endpoints by uid.
        seats: The cell of each listed endpoint; None where no cell has capacity for it.
    """

    def __init__(self, map: CellMap) -> None:
        """Start without endpoints."""
        self.map = map
        self.endpoints: dict[str, PlacedEndpoint] = {}
        self.seats: dict[str, str | None] = {}

    def seat_of(self, uid: str) -> str | None:
        """Return the endpoint's cell; None if it has none or is not listed."""
        return self.seats.get(uid)

    def size(self, cell: str) -> int:
        """Return how many ready endpoints the cell has."""
        return sum(seat == cell and self.endpoints[uid].ready for uid, seat in self.seats.items())

    def apply_list_update(
        self, endpoints: Iterable[PlacedEndpoint], removed: Iterable[str] = ()
    ) -> list[SeatChange]:
        """Apply an update of the endpoint list and return the changed seats.

        New endpoints are placed in list order, since the same update must give the same seats at
        every broker. Listed endpoints without a seat are placed before them.
        """
        changes = []
        for uid in removed:
            if uid in self.seats:
                changes.append(SeatChange(uid, self.seats.pop(uid), None))
                del self.endpoints[uid]
        new_uids = []
        for endpoint in endpoints:
            self.endpoints[endpoint.uid] = endpoint
            if endpoint.uid not in self.seats:
                new_uids.append(endpoint.uid)
        unplaced_uids = [uid for uid, seat in self.seats.items() if seat is None]
        for uid in [*unplaced_uids, *new_uids]:
            former_cell = self.seats.get(uid)
            seat = self._choose_cell(self.endpoints[uid])
            self.seats[uid] = seat
            if seat != former_cell:
                changes.append(SeatChange(uid, former_cell, seat))
        return changes

    def apply_map(self, map: CellMap) -> list[SeatChange]:
        """Put a new map in force and return the changed seats.

        Endpoints keep their cell where the map allows it; the others are placed anew in list order.
        """
        former_seats = dict(self.seats)
        self.map = map
        self._clear_forbidden_seats()
        for cell in map.cells:
            self._clear_excess_seats(cell)
        self._fill_to_lower_bounds()
        for uid in former_seats:
            if self.seats[uid] is None:
                self.seats[uid] = self._choose_cell(self.endpoints[uid])
        return [
            SeatChange(uid, seat, self.seats[uid])
            for uid, seat in former_seats.items()
            if seat != self.seats[uid]
        ]

    def _clear_forbidden_seats(self) -> None:
        """Clear seats in cells that the map does not have, and seats that contradict a pin."""
        names = {cell.name for cell in self.map.cells}
        for uid, seat in self.seats.items():
            pinned = self._pinned_cell(self.endpoints[uid])
            if seat not in names or (pinned is not None and pinned != seat):
                self.seats[uid] = None

    def _clear_excess_seats(self, cell: Cell) -> None:
        """Reduce a cell to its upper bound; endpoints with the highest hash cost go first."""
        excess = self.size(cell.name) - cell.max_endpoints if cell.max_endpoints else 0
        if excess <= 0:
            return
        removable = [
            uid
            for uid, seat in self.seats.items()
            if seat == cell.name and self._is_free_to_move(uid)
        ]
        removable.sort(key=lambda uid: -rendezvous(cell.name, uid, cell.weight))
        for uid in removable[:excess]:
            self.seats[uid] = None

    def _is_free_to_move(self, uid: str) -> bool:
        endpoint = self.endpoints[uid]
        return endpoint.ready and self._pinned_cell(endpoint) is None

    def adopt(self, seats: dict[str, str | None]) -> list[SeatChange]:
        """Take over the seats of another process of this broker and return the changed ones.

        This keeps endpoints in their cells across an upgrade. Seats that the map does not allow are
        ignored.
        """
        names = {cell.name for cell in self.map.cells}
        changes = [
            SeatChange(uid, self.seats[uid], seat)
            for uid, seat in seats.items()
            if uid in self.seats
            and seat in names
            and self.seats[uid] != seat
            and self._pinned_cell(self.endpoints[uid]) in (None, seat)
        ]
        for change in changes:
            self.seats[change.uid] = change.new_cell
        return changes

    def _fill_to_lower_bounds(self) -> None:
        """Fill cells up to their lower bound from cells that exceed theirs.

        Only a new map does so; an update of the endpoint list moves no endpoint.
        """
        for cell in self.map.cells:
            while (size := self.size(cell.name)) < cell.min_endpoints:
                uid = self._best_endpoint_for(cell, size)
                if uid is None:
                    break
                self.seats[uid] = cell.name

    def _best_endpoint_for(self, target: Cell, size: int) -> str | None:
        """Return the endpoint to place in a cell below its lower bound; None if none may move."""
        cells_with_spare = {
            cell.name
            for cell in self.map.cells
            if self.size(cell.name) > max(cell.min_endpoints, size + 1)
        }
        candidates = [
            uid
            for uid, seat in self.seats.items()
            if (seat is None or seat in cells_with_spare) and self._is_free_to_move(uid)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda uid: (rendezvous(target.name, uid, 1.0), uid))

    def _pinned_cell(self, endpoint: PlacedEndpoint) -> str | None:
        """Return the cell that the endpoint is pinned to, by uid, else by zone, else by model."""
        for cell in self.map.cells:
            if endpoint.uid in cell.engines:
                return cell.name
        for cell in self.map.cells:
            if endpoint.zone in cell.zones:
                return cell.name
        for cell in self.map.cells:
            if endpoint.model in cell.models:
                return cell.name
        return None

    def _choose_cell(self, endpoint: PlacedEndpoint) -> str | None:
        """Return the cell for an endpoint without a seat; None where every cell is full.

        This is the cell that the endpoint is pinned to, else the cell that lacks the largest
        fraction of its lower bound, else the cell with the lowest hash cost.
        """
        if (pinned := self._pinned_cell(endpoint)) is not None:
            return pinned
        sizes = self._sizes()
        candidates = [
            cell
            for cell in self.map.cells
            if not cell.max_endpoints or sizes[cell.name] < cell.max_endpoints
        ]
        if not candidates:
            return None

        def rank(cell: Cell) -> tuple[float, float, str]:
            cost = rendezvous(cell.name, endpoint.uid, cell.weight)
            return -_missing_fraction(cell, sizes[cell.name]), cost, cell.name

        return min(candidates, key=rank).name

    def _sizes(self) -> dict[str, int]:
        """Return the number of ready endpoints of every cell, in one pass."""
        sizes = dict.fromkeys((cell.name for cell in self.map.cells), 0)
        for uid, seat in self.seats.items():
            if seat is not None and self.endpoints[uid].ready and seat in sizes:
                sizes[seat] += 1
        return sizes


def _missing_fraction(cell: Cell, size: int) -> float:
    """Return the fraction of its lower bound that the cell lacks."""
    if not cell.min_endpoints:
        return 0.0
    return max(0.0, 1 - size / cell.min_endpoints)
