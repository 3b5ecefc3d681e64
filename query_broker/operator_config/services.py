"""Creates the services that an operators' file configures, and connects them to their node.

A service is imported only if the file configures it: some need optional dependencies, and every
import takes time at the start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config import ConfigError
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import QuotaSettings
from ..startup.settings import StartupSettings
from .apply import gate_retries

if TYPE_CHECKING:
    from ..membership.service import MembershipService
    from ..membership.view_publisher import ViewListener
    from ..outlier_consensus.service import OutlierConsensusService
    from ..quotas.service import QuotaService
    from ..server.node import Node
    from ..startup.service import StartupService


def create_startup_service(node: Node, settings: StartupSettings) -> StartupService:
    """Create the service that paces the start of a broker while its whole fleet starts."""
    from ..startup.service import StartupService

    service = StartupService(node, settings)
    node.admin_api.add_call_handler(service)
    return service


def create_membership_service(
    node: Node, settings: MembershipSettings, listener: ViewListener
) -> MembershipService:
    """Create the service that finds the other brokers.

    Args:
        node: The node to whose metrics, admin API and settings the service is added.
        settings: The settings of the operators' file.
        listener: Called with each new view of the fleet.

    Raises:
        ConfigError: An optional dependency is not installed.
    """
    try:
        from ..membership.service import MembershipService
    except ImportError as error:
        problem = f"members: needs the extra 'members': {error}"
        raise ConfigError(problem) from None
    service = MembershipService(node, settings, listener)
    node.admin_api.add_call_handler(service)
    node.dispatcher.extensions.add_metrics_source(service)
    node.dispatcher.extensions.add_settings_adjuster(service)
    return service


def create_quota_service(
    node: Node, membership_service: MembershipService, settings: QuotaSettings
) -> QuotaService:
    """Create the service that shares limits, and connect its retry limit to the retry budget."""
    from ..quotas.service import QuotaService

    service = QuotaService(node, membership_service, settings)
    node.admin_api.add_call_handler(service)
    gate_retries(node.dispatcher.deadline_controls, service)
    return service


def create_outlier_consensus_service(
    node: Node,
    membership_service: MembershipService,
    settings: OutlierConsensusSettings,
) -> OutlierConsensusService:
    """Create the service that shares observations of endpoints and operators' overrides."""
    from ..outlier_consensus.service import OutlierConsensusService

    service = OutlierConsensusService(node, membership_service, settings)
    node.admin_api.add_call_handler(service)
    return service
