"""The settings in force, shared by all parts of the controller. Performs no I/O."""

from __future__ import annotations

from .settings import Contract, Limits, Settings


class ActiveSettings:
    """The settings in force and values derived from them.

    The controller's parts share one object and read it at each decision, so that a change of the
    settings reaches all of them at once.

    Attributes:
        settings: The settings as given.
        contract: Their parameters of the rules.
        limits: Their limits on what the broker may do.
        longest_objective_ns: The longest latency objective of a class.
        shortest_objective_ns: The shortest latency objective of a class.
        widest_threads: The most threads of a class.
        has_load_class: Whether some class loads data sets.
    """

    __slots__ = (
        "contract",
        "has_load_class",
        "limits",
        "longest_objective_ns",
        "settings",
        "shortest_objective_ns",
        "widest_threads",
    )

    settings: Settings
    contract: Contract
    limits: Limits

    def __init__(self, settings: Settings) -> None:
        """Put the first settings into force."""
        self.replace(settings)

    def replace(self, settings: Settings) -> None:
        """Put other settings into force."""
        classes = settings.classes
        self.settings = settings
        self.contract = settings.contract
        self.limits = settings.limits
        self.longest_objective_ns = max(spec.latency_objective_ns for spec in classes)
        self.shortest_objective_ns = min(spec.latency_objective_ns for spec in classes)
        self.widest_threads = max(spec.threads for spec in classes)
        self.has_load_class = any(spec.is_load for spec in classes)
