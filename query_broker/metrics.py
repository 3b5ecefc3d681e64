"""What the operators read at `/metrics`: counts since the start, and the text that tells them."""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "edge_proxy_"
SUCCESS, OVERLOAD, ERROR = range(3)
STATUSES = ("success", "overload", "error")
HELP = {
    "replies_total": ("counter", "Requests answered, by class: served, refused, failed."),
    "dispatches_total": ("counter", "Attempts written whole to data engines."),
    "concurrent": ("gauge", "Requests taken that have no final answer yet."),
    "targets": ("gauge", "Data engines in the list."),
    "targets_disabled": ("gauge", "Listed data engines that are left out, by hand or by choice."),
    "reload_success_total": ("counter", "Configuration files taken at SIGHUP."),
    "reload_failure_total": ("counter", "Configuration files turned down at SIGHUP."),
}


class Metrics:
    def __init__(self, classes: Iterable[str]) -> None:
        self.replies: dict[str, list[int]] = {}
        self.dispatches = self.reloads_taken = self.reloads_turned_down = 0
        self.learn(classes)

    def learn(self, classes: Iterable[str]) -> None:
        """Every series is there from 0 on. Danger: a class that a new file drops must keep its
        counts, or what reads them sees a counter run backwards.
        """
        for name in classes:
            self.replies.setdefault(name, [0, 0, 0])

    def answered(self, route: str, status: int) -> None:
        """Danger: clients name any class they like; a series for each would grow without end."""
        if (counts := self.replies.get(route)) is not None:
            counts[status] += 1

    def text(self, concurrent: int, targets: int, disabled: int) -> bytes:
        """The Prometheus text format."""
        single = {
            "dispatches_total": self.dispatches,
            "concurrent": concurrent,
            "targets": targets,
            "targets_disabled": disabled,
            "reload_success_total": self.reloads_taken,
            "reload_failure_total": self.reloads_turned_down,
        }
        lines: list[str] = []
        for name, (kind, help) in HELP.items():
            lines += f"# HELP {PREFIX}{name} {help}", f"# TYPE {PREFIX}{name} {kind}"
            if name in single:
                lines.append(f"{PREFIX}{name} {single[name]}")
            else:
                lines += (
                    f'{PREFIX}{name}{{type="{escaped(route)}",status="{status}"}} {count}'
                    for route, counts in self.replies.items()
                    for status, count in zip(STATUSES, counts, strict=True)
                )
        return ("\n".join(lines) + "\n").encode()


def escaped(value: str) -> str:
    """Danger: a quote or a line end in a class's name would spoil the whole text."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
