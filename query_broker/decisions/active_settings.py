"""The current settings, shared by all parts of the controller. Performs no I/O."""

from __future__ import annotations

from .settings import Contract, Limits, Settings


class ActiveSettings:
    """The current settings and values derived from them.

    The controller's parts share one object and read it at each decision, so that a change of
    the settings applies to all parts at once.

    Attributes:
        settings: The current settings.
        contract: The contract in the settings.
        limits: The limits in the settings.
        longest_objective_ns: The longest latency objective of any class.
        shortest_objective_ns: The shortest latency objective of any class.
        max_request_threads: Threads of the class with the most threads.
        has_load_class: Whether any class loads data sets.
    """

    __slots__ = (
        "contract",
        "has_load_class",
        "limits",
        "longest_objective_ns",
        "settings",
        "shortest_objective_ns",
        "max_request_threads",
    )

    settings: Settings
    contract: Contract
    limits: Limits

    def __init__(self, settings: Settings) -> None:
        """Apply the initial settings."""
        self.replace(settings)

    def replace(self, settings: Settings) -> None:
        """Apply new settings."""
        classes = settings.classes
        self.settings = settings
        self.contract = settings.contract
        self.limits = settings.limits
        self.longest_objective_ns = max(spec.latency_objective_ns for spec in classes)
        self.shortest_objective_ns = min(spec.latency_objective_ns for spec in classes)
        self.max_request_threads = max(spec.threads for spec in classes)
        self.has_load_class = any(spec.is_load for spec in classes)
