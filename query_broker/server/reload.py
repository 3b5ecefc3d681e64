"""Reload at SIGHUP: reads and checks the configuration completely, then applies it in one step."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..config import Config, ConfigError, keys_needing_restart, load, removed_keys
from .graceful_shutdown import GracefulShutdown
from .host import NodeContext

#: What an absent key means, in the log.
USES_DEFAULT = "its default is used"
#: The endpoint list is watched on, since a broker that does not watch it misses every drain.
ABSENT_NOW = {"bus": "the endpoint list is still watched at the former address"}


class ReloadableNode(NodeContext, Protocol):
    """The part of a node that the reload needs."""

    config: Config
    shutdown: GracefulShutdown

    def apply_config(self, config: Config) -> None:
        """Apply a configuration, or reject it before anything is changed."""

    def follow_endpoint_list(self, address: tuple[str, int]) -> None:
        """Watch the endpoint list at this address."""


class ConfigReloader:
    """Replaces the configuration of a running node, or keeps it if the new one is rejected."""

    def __init__(
        self, node: ReloadableNode, start_config: Config, environ: Mapping[str, str]
    ) -> None:
        """Create a reloader for a node.

        Args:
            node: The node whose configuration is replaced.
            start_config: The configuration as it was read at the start. Changes to some of its keys
                take effect only at the next start; a reload logs these keys.
            environ: Environment with the path of the file and the variables that override its keys.
        """
        self.node = node
        self.start_config = start_config
        self.environ = environ

    def reload(self) -> None:
        """Read the configuration again and apply it; a faulty one is logged and counted."""
        if self.node.shutdown.started:
            self.node.log("reload", "SIGHUP ignored during the drain")
            return
        try:
            config = load(self.environ)
            self.node.apply_config(config)
        except ConfigError as error:
            self.reject(str(error))
        except Exception as error:  # no file content may end a serving broker
            self.reject(f"{type(error).__name__}: {error}")
        else:
            self._adopt(config)

    def reject(self, reason: str) -> None:
        """Count and log a rejected configuration."""
        self.node.dispatcher.metrics_counts.reloads_rejected += 1
        self.node.log("reload", f"the configuration stays as it was: {reason}")

    def _adopt(self, config: Config) -> None:
        """Update the node after a configuration has been applied."""
        self.node.dispatcher.metrics_counts.reloads_applied += 1
        for remark in config.remarks():
            self.node.log("config", remark)
        for key in removed_keys(self.node.config.source, config.source):
            self.node.log("config", f"{key}: is absent now: {ABSENT_NOW.get(key, USES_DEFAULT)}")
        restart_keys = keys_needing_restart(self.start_config, config)
        self.node.config = self.node.dispatcher.config
        result = "done"
        if restart_keys:
            result += f"; restart required for: {', '.join(restart_keys)}"
        self.node.log("reload", result)
        if config.discovery_address is not None:
            self.node.follow_endpoint_list(config.discovery_address)
