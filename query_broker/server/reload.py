"""Reload at SIGHUP: the configuration is read and checked completely, then applied in one step."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..config import Config, ConfigError, keys_needing_restart
from ..config import reload as read_again
from .graceful_shutdown import GracefulShutdown
from .host import NodeContext


class ReloadableNode(NodeContext, Protocol):
    """What the reload needs of its node."""

    config: Config
    shutdown: GracefulShutdown

    def apply_config(self, config: Config) -> None:
        """Apply a configuration, or reject it before anything has changed."""

    def follow_endpoint_list(self, address: tuple[str, int]) -> None:
        """Watch the endpoint list at this address."""


class ConfigReloader:
    """Replaces the configuration of a running node, or keeps it if the new one is rejected."""

    def __init__(
        self, node: ReloadableNode, started_with: Config, environ: Mapping[str, str]
    ) -> None:
        """Remember what the process was started with.

        Args:
            node: The node whose configuration is replaced.
            started_with: The configuration as it was read at the start. Some of its keys are fixed
                until the next start; a reload names those that differ.
            environ: Environment with the path of the file and the variables that override its keys.
        """
        self.node = node
        self.started_with = started_with
        self.environ = environ

    def reload(self) -> None:
        """Read the configuration again and apply it; a faulty one is logged and counted."""
        if self.node.shutdown.begun:
            self.node.log("reload", "SIGHUP: not during the drain")
            return
        try:
            config = read_again(self.node.config, self.environ)
            self.node.apply_config(config)
        except ConfigError as error:
            self.reject(str(error))
        except Exception as error:  # no file may end a broker that serves
            self.reject(f"{type(error).__name__}: {error}")
        else:
            self._adopt(config)

    def reject(self, reason: str) -> None:
        """Count and log a configuration that is not applied."""
        self.node.dispatcher.metrics_counts.reloads_rejected += 1
        self.node.log("reload", f"the configuration stays as it was: {reason}")

    def _adopt(self, config: Config) -> None:
        """Update the node after a configuration has been applied."""
        self.node.dispatcher.metrics_counts.reloads_applied += 1
        for remark in config.remarks():
            self.node.log("config", remark)
        fixed_keys = keys_needing_restart(self.started_with, config)
        self.node.config = self.node.dispatcher.config
        result = "done"
        if fixed_keys:
            result += f"; with the next start only: {', '.join(fixed_keys)}"
        self.node.log("reload", result)
        if config.discovery_address is not None:
            self.node.follow_endpoint_list(config.discovery_address)
