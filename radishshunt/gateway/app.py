"""A host of the gateway: its parts and how they start and stop."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.clock import BootClock, SystemClock
from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.follower import Follower
from radishshunt.gateway.front import Front
from radishshunt.gateway.heat import MeasuredHeat
from radishshunt.gateway.leadership import Leadership
from radishshunt.gateway.links import NEWS_SECONDS, LinkClient, LinkServer
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.sender import Sender
from radishshunt.gateway.view import View
from radishshunt.http_server import HttpServer
from radishshunt.logs import decision
from radishshunt.memory import BodyMemory
from radishshunt.metrics import Metrics
from radishshunt.quarantine import Quarantine
from radishshunt.supervisor import Supervisor

if TYPE_CHECKING:
    from radishshunt.gateway.messages import Report
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.rows import RowReader, RowStore
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.wire.messages import Suspect

logger = logging.getLogger(__name__)

# Memory for the bodies of all requests; a host has 300 MB.
BODY_BYTES = 96 * 1024 * 1024
# The platform takes a host out after two checks, one a second, without success.
OUT_OF_ROTATION_SECONDS = 2.6
# Time before the platform kills a host that was told to stop.
STOP_MARGIN_SECONDS = 0.6


class GatewayHost:
    """One host, built from its settings and the platform's services."""

    def __init__(
        self,
        cfg: HostSettings,
        store: RowStore,
        reader: RowReader,
        protocol: TargetProtocol,
        ready_path: str,
    ) -> None:
        self.cfg = cfg
        self.leaving = False
        self.view = View(reader, BootClock())
        self._store = store
        self._ready_path = ready_path
        self._wall = SystemClock()
        self.quarantine = Quarantine()
        self.sender = Sender(cfg, self.view, protocol, self.quarantine, self._wall)
        self.metrics = Metrics()
        self.front = Front(self.view, self.sender, protocol, BodyMemory(BODY_BYTES), self.metrics)
        self.leadership = Leadership(cfg, self.view, store)
        self.heat = MeasuredHeat(self.view.clock)
        self.coordinator = Coordinator(
            cfg, self.view, self.leadership, protocol, self.heat, self.view.clock
        )
        self._link = LinkClient(cfg, self.view, self.sender.report, self._take_suspects)
        self._links = LinkServer(
            cfg, self.view, lambda: self.leadership.valid, self._take_report, self._suspects
        )
        self._callers = HttpServer(self.front.app, cfg.callers, name="callers")
        self._checks = HttpServer(self._check_app, cfg.ready, name="ready")
        self._figures = HttpServer(
            self._metrics_app, f"{cfg.ip}:{cfg.metrics_port}", name="metrics"
        )
        self._supervisor = Supervisor(self.view.clock)

    async def run(self) -> None:
        """Serve until cancelled."""
        decision("start", callers=self.cfg.callers, domain=self.cfg.domain)
        parts = {f"follow-{t.value}": self._follower(t).run for t in Topic}
        parts["callers"] = self._callers.run
        parts["ready"] = self._checks.run
        parts["metrics"] = self._figures.run
        parts["coordinator"] = self.coordinator.run
        parts["link"] = self._link.run
        parts["links"] = self._links.run
        parts["report"] = self._report_own
        parts["tidy"] = self.sender.tidy
        parts["losses"] = self.sender.confirm_losses
        await self._supervisor.run(parts)

    def update_settings(self, cfg: HostSettings) -> None:
        """Take bounds that have changed; addresses stay those of the start."""
        decision("reload", changed=cfg.bounds != self.cfg.bounds)
        self.cfg = replace(self.cfg, bounds=cfg.bounds)
        self.sender.update_settings(self.cfg)
        self.coordinator.update_settings(self.cfg)

    async def stop(self) -> None:
        """Leave the rotation, finish the requests that run, and return."""
        stop_at = trio.current_time() + self.cfg.bounds.grace - STOP_MARGIN_SECONDS
        self.leaving = True
        self._callers.leaving = True
        decision("stop", running=self.front.running)
        await self.leadership.give_up()
        await trio.sleep(OUT_OF_ROTATION_SECONDS)
        await self._callers.stop_accepting()
        while trio.current_time() < stop_at:
            self._callers.close_idle()
            if not self.front.running and not self._callers.open:
                break
            await trio.sleep(0.05)

    def _follower(self, topic: Topic) -> Follower:
        return Follower(topic, self.view, self._store, self._needs_store)

    def _needs_store(self, topic: Topic) -> bool:
        """Return whether this host asks the store about a topic itself.

        The leader alone writes the own rows and takes its writes into its view.
        """
        if self.leadership.valid:
            return topic is not Topic.OWN
        return not self._link.fresh

    async def _report_own(self) -> None:
        """Take this host's own load while it leads, and the number of hosts in any case."""
        while True:
            await trio.sleep(NEWS_SECONDS)
            self.view.forget_gone()
            if self.leadership.valid:
                self.heat.take(self.sender.report())
                self.sender.hosts = self._links.hosts
            elif self._link.hosts:
                self.sender.hosts = self._link.hosts

    def _suspects(self) -> tuple[Suspect, ...]:
        return tuple(self.quarantine.suspects(self._wall.now()))

    def _take_suspects(self, suspects: tuple[Suspect, ...]) -> None:
        self.quarantine.merge(suspects, self._wall.now())

    def _take_report(self, report: Report) -> None:
        self.heat.take(report)
        self._take_suspects(report.suspects)

    async def _check_app(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer the platform's readiness check."""
        ready = scope["path"] == self._ready_path and self.view.complete and not self.leaving
        await _answer(send, 200 if ready else 503, json.dumps({"ready": ready}).encode())

    async def _metrics_app(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer with the metrics of this host, whatever the path."""
        self.metrics.running.set(self.front.running)
        self.metrics.catalog_version.set(self.view.cfg.version if self.view.cfg else 0)
        await _answer(send, 200, self.metrics.render())


async def _answer(send: Any, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
