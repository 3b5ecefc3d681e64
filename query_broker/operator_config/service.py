"""A node with an operators' file: what the file sets is put in force at the start and at SIGHUP."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

from ..config import Config, ConfigError
from ..deadlines.retry_budget import RetryBudget
from ..deadlines.settings import DeadlineSettings
from ..discovery.event_codec import EndpointListEvent
from ..discovery.watch_client import WatchClient
from ..dispatch.deadline_controls import DEFAULT_ANSWER_MARGIN_NS
from ..dispatch.observers import DispatchObserver, RequestEnding
from ..dispatch.requests import ActiveRequest
from ..protocols.client_connection import ClientConnection
from ..server.node import Node
from .script import OperatorConfig, OperatorFileError, evaluate

if TYPE_CHECKING:
    from ..membership.service import MembershipService
    from ..membership.views import MembershipView
    from ..outlier_consensus.service import OutlierConsensusService
    from ..quotas.service import QuotaService
    from ..startup.service import StartupService

LEARN = 1_000_000_000  # ns between two looks at the margin


class _TraceObserver(DispatchObserver):
    """Gives the log of requests' traces the end of each request."""

    def __init__(self, write: Callable[[ActiveRequest, str], None]) -> None:
        self._write = write

    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        self._write(request, ending.value)


class ConfiguredNode(Node):
    """``said``: what the file says now; ``path``: where SIGHUP reads it again."""

    def __init__(
        self,
        config: Config,
        said: OperatorConfig,
        path: str,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        self.said, self.path = said, path
        self.pending: OperatorConfig | None = None
        self.reading: asyncio.Future[OperatorConfig] | None = None
        self.learned = 0
        self.sized = (
            config.settings.fleet_size,
            config.settings.broker_index,
        )  # what the module goes by
        self.starting: StartupService | None = None
        self.membership: MembershipService | None = None
        self.sharing: QuotaService | None = None
        self.judging: OutlierConsensusService | None = None
        self.trace_observer: _TraceObserver | None = None
        super().__init__(config, environ)
        self._set_terms(said)
        if said.start is not None:
            from ..startup.service import StartupService

            self.starting = StartupService(self, said.start)
            self.admin_api.calls.append(self.starting.call)
        if said.members is not None:
            try:
                from ..membership.service import MembershipService
            except ImportError as error:
                raise ConfigError(f"members: needs the extra 'members': {error}") from None
            self.membership = MembershipService(self, said.members, self._view_changed)
            self.admin_api.calls.append(self.membership.call)
            self.dispatcher.extensions.metrics_sources.append(self.membership.metrics)
            self.dispatcher.extensions.settings_adjusters.append(self.membership.adjust)
            self._share(said, self.membership)

    # --- the start ---

    def ready(self) -> bool:
        return super().ready() and (self.starting is None or self.starting.ready())

    def came(self, connection: ClientConnection) -> bool:
        if not super().came(connection):
            return False
        if self.starting is not None:
            self.starting.came(connection)
        return True

    def make_watch_client(self, address: tuple[str, int]) -> WatchClient:
        watch_client = super().make_watch_client(address)
        if self.starting is not None:
            self.starting.pace(watch_client)
        return watch_client

    def endpoint_list_changed(self, event: EndpointListEvent) -> None:
        super().endpoint_list_changed(event)
        if self.starting is not None:
            self.starting.told()

    def stop(self) -> None:
        if self.starting is not None:
            self.starting.stop()
        if self.membership is not None:
            self.membership.stop()
        super().stop()

    # --- the other brokers ---

    def _share(self, said: OperatorConfig, membership: MembershipService) -> None:
        if said.shares is None and said.verdicts is None:
            return
        if said.shares is not None:
            from ..quotas.service import QuotaService

            self.sharing = QuotaService(self, membership, said.shares)
            self.admin_api.calls.append(self.sharing.handle_admin_call)
            budget = self.dispatcher.deadline_controls.retry_budget
            if budget is not None and self.sharing.has_retry_limit:
                budget.gate = self.sharing.admit_retry
        if said.verdicts is not None:
            from ..outlier_consensus.service import OutlierConsensusService

            self.judging = OutlierConsensusService(self, membership, said.verdicts)
            self.admin_api.calls.append(self.judging.handle_admin_call)

    async def open_sockets(self) -> None:
        if self.membership is not None:
            await self.membership.open()

    def _view_changed(self, view: MembershipView) -> None:
        if (view.effective_size, view.effective_index) != self.sized:
            self.sized = view.effective_size, view.effective_index
            self.dispatcher.refresh_settings()
            if self.starting is not None:
                self.starting.resize(view.effective_index, view.effective_size)

    # --- what the file says ---

    def _check(self, said: OperatorConfig) -> OperatorConfig:
        """Turn it down here, before anything is changed."""
        if said.map is not None:
            raise OperatorFileError(
                f"{self.path}: cell: cells need a start anew, since there were none"
            )
        return said

    def _apply(self, said: OperatorConfig) -> None:
        self.said = said
        self._set_terms(said)

    def _set_terms(self, said: OperatorConfig) -> None:
        controls = self.dispatcher.deadline_controls
        terms = said.deadlines or DeadlineSettings()
        controls.settings = terms
        if terms.learn:
            from ..deadlines.stage_latencies import StageLatencies

            if controls.stages is None or controls.stages.terms != terms.margin:
                controls.stages = StageLatencies(terms.margin)
            controls.margin_ns = controls.stages.margin
        else:
            controls.stages = None
            controls.margin_ns = DEFAULT_ANSWER_MARGIN_NS
        if terms.further is None:
            controls.retry_budget = None
        elif controls.retry_budget is None or controls.retry_budget.terms != terms.further:
            controls.retry_budget = RetryBudget(terms.further)
            if self.sharing is not None and self.sharing.has_retry_limit:
                controls.retry_budget.gate = self.sharing.admit_retry
        self.log.sink = None
        if self.trace_observer is not None:
            self.dispatcher.extensions.remove_observer(self.trace_observer)
            self.trace_observer = None
        if said.logs is not None and said.logs.format != "plain":
            from ..server.structured_log import Lines, stories

            lines = Lines(self.config.name, said.logs)
            self.log.sink = lines
            self.trace_observer = _TraceObserver(stories(self.log, lines, self.clock.now))
            self.dispatcher.add_observer(self.trace_observer)

    def after_tick(self) -> None:
        super().after_tick()
        now = self.clock.now()
        if self.starting is not None:
            self.starting.tick(now)
        if (
            self.closing_announced
            and self.membership is not None
            and not self.membership.detector.own.left
        ):
            self.membership.leave()
        controls = self.dispatcher.deadline_controls
        if controls.stages is not None and now - self.learned >= LEARN:
            self.learned = now
            controls.margin_ns = controls.stages.learn(now)

    # --- SIGHUP ---

    def reload(self) -> None:
        """The operators' file is evaluated beside the loop, then both files are taken or
        neither.
        """
        if self.shutdown.begun:
            return super().reload()
        if self.reading is not None:
            return
        loop = asyncio.get_running_loop()
        self.reading = loop.run_in_executor(None, partial(evaluate, self.path))
        self.reading.add_done_callback(self._evaluated)

    def _evaluated(self, future: asyncio.Future[OperatorConfig]) -> None:
        self.reading = None
        if future.cancelled():
            return
        try:
            self.pending = self._check(future.result())
        except OperatorFileError as error:
            self.reloader.reject(str(error))
            return
        except Exception as error:  # danger: no file, however odd, may end a process that serves
            self.reloader.reject(f"{self.path}: {type(error).__name__}: {error}")
            return
        super().reload()
        self.pending = None
        if self.membership is not None:
            self.membership.reload()
        if self.sharing is not None:
            self.sharing.configure()

    def apply_config(self, config: Config) -> None:
        super().apply_config(config)
        if self.pending is not None:
            self._apply(self.pending)
