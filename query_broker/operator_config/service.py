"""A node with an operators' file: what the file sets is put in force at the start and at SIGHUP."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING

from ..config.reading import Config, ConfigError
from ..deadlines.retry_budget import RetryBudget
from ..deadlines.settings import DeadlineSettings
from ..discovery.event_codec import EndpointListEvent
from ..discovery.watch_client import WatchClient
from ..dispatch.dispatcher import WAY_BACK
from ..protocols.client_connection import ClientConnection
from ..server.node import Node
from .script import OperatorConfig, OperatorFileError, evaluate

if TYPE_CHECKING:
    from ..membership.service import MembershipService
    from ..membership.views import MembershipView
    from ..quotas.service import Judging, Sharing
    from ..startup.service import StartupService

LEARN = 1_000_000_000  # ns between two looks at the margin


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
        self.sharing: Sharing | None = None
        self.judging: Judging | None = None
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
            self.dispatcher.more_figures.append(self.membership.metrics)
            self.dispatcher.adjust.append(self.membership.adjust)
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

    def _feed(self, bus: tuple[str, int]) -> WatchClient:
        feed = super()._feed(bus)
        if self.starting is not None:
            self.starting.pace(feed)
        return feed

    def _news(self, event: EndpointListEvent) -> None:
        super()._news(event)
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
        from ..quotas.service import Judging, Sharing

        if said.shares is not None:
            self.sharing = Sharing(self, membership, said.shares)
            self.admin_api.calls.append(self.sharing.call)
            if self.dispatcher.budget is not None and "further" in self.sharing.of_kind:
                self.dispatcher.budget.gate = self.sharing.may_try
        if said.verdicts is not None:
            self.judging = Judging(self, membership, said.verdicts)
            self.admin_api.calls.append(self.judging.call)

    async def _open(self) -> None:
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
        broker, terms = self.dispatcher, said.deadlines or DeadlineSettings()
        broker.terms = terms
        if terms.learn:
            from ..deadlines.stage_latencies import StageLatencies

            if broker.stages is None or broker.stages.terms != terms.margin:
                broker.stages = StageLatencies(terms.margin)
            broker.margin = broker.stages.margin
        else:
            broker.stages, broker.margin = None, WAY_BACK
        if terms.further is None:
            broker.budget = None
        elif broker.budget is None or broker.budget.terms != terms.further:
            broker.budget = RetryBudget(terms.further)
            if self.sharing is not None and "further" in self.sharing.of_kind:
                broker.budget.gate = self.sharing.may_try
        self.log.sink, broker.story = None, None
        if said.logs is not None and said.logs.format != "plain":
            from ..server.structured_log import Lines, stories

            lines = Lines(self.config.name, said.logs)
            self.log.sink = lines
            broker.story = stories(self.log, lines, self.clock.now)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        super()._tick(loop)
        now = self.clock.now()
        if self.starting is not None:
            self.starting.tick(now)
        if (
            self.closing_announced
            and self.membership is not None
            and not self.membership.detector.own.left
        ):
            self.membership.leave()
        if self.dispatcher.stages is not None and now - self.learned >= LEARN:
            self.learned = now
            self.dispatcher.margin = self.dispatcher.stages.learn(now)

    # --- SIGHUP ---

    def reload(self) -> None:
        """The operators' file is evaluated beside the loop, then both files are taken or
        neither.
        """
        if self.shutdown.begun_at:
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
            self._turned_down(str(error))
            return
        except Exception as error:  # danger: no file, however odd, may end a process that serves
            self._turned_down(f"{self.path}: {type(error).__name__}: {error}")
            return
        super().reload()
        self.pending = None
        if self.membership is not None:
            self.membership.reload()
        if self.sharing is not None:
            self.sharing.configure()

    def _take(self, read: Config) -> None:
        super()._take(read)
        if self.pending is not None:
            self._apply(self.pending)
