"""A host of the gateway: its components, startup and shutdown."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.body_memory import LARGE_REQUESTS_SHARE, BodyMemory, body_limit
from radishshunt.clock import BootClock, SystemClock
from radishshunt.gateway.caller_api import CallerApi
from radishshunt.gateway.cold_shares import PREFIX as COLD_PREFIX
from radishshunt.gateway.cold_shares import find_cold_quota
from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.explain_queries import EXPLAIN_PATH, answer_explanation
from radishshunt.gateway.explanation import ExplainedHost, Explainer
from radishshunt.gateway.follower import Follower
from radishshunt.gateway.host_count import HostCount
from radishshunt.gateway.leadership import Leadership
from radishshunt.gateway.link_client import LinkClient
from radishshunt.gateway.link_server import UPDATE_INTERVAL_SECONDS, LinkServer
from radishshunt.gateway.load_statistics import ReportedLoadStatistics
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.sender import Sender
from radishshunt.gateway.suspect_exchange import SuspectExchange
from radishshunt.gateway.suspect_record import SuspectRecord
from radishshunt.gateway.time_budgets import log_exceeded_budgets
from radishshunt.gateway.view import View
from radishshunt.http_server import HttpServer
from radishshunt.logs import decision
from radishshunt.metrics import Metrics
from radishshunt.quarantine import Quarantine
from radishshunt.shares.host_shares import HostShares
from radishshunt.shares.leader_shares import LeaderShares
from radishshunt.supervisor import Supervisor
from radishshunt.target_model import TargetModel
from radishshunt.workspaces.authentication import Authentication
from radishshunt.workspaces.quotas import WorkspaceQuotas, find_quota

if TYPE_CHECKING:
    from radishshunt.gateway.messages import AllowanceDemand, AllowanceGrant, Report
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.rows import RowReader, RowStore
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.policy.shares import Quota

logger = logging.getLogger(__name__)

# Interval at which a host that does not lead takes over what the leader has stated.
SYNCHRONIZE_SECONDS = 0.5
# The platform removes a host from rotation after two failed readiness checks, one per second.
OUT_OF_ROTATION_SECONDS = 2.6
# A host that has read the store within this time can lead.
RECENT_READ_SECONDS = 0.3
# Path on the metrics port that tells which configuration is in force on each host.
HOSTS_PATH = "/hosts"
# A stopping host ends its last requests this long before the platform would kill it.
STOP_MARGIN_SECONDS = 0.6
# It exits this long before, or once their responses have been sent.
EXIT_MARGIN_SECONDS = 0.4


class GatewayHost:
    """One host of the gateway, built from its settings and the platform's services.

    :ivar stopping: Whether the host is stopping, so that its readiness check fails.
    """

    def __init__(
        self,
        cfg: HostSettings,
        store: RowStore,
        reader: RowReader,
        protocol: TargetProtocol,
        ready_path: str,
    ) -> None:
        self.cfg = cfg
        self.stopping = False
        self.view = View(reader, BootClock(), cfg.heartbeat_seconds)
        self._store = store
        self._ready_path = ready_path
        self._wall_clock = SystemClock()
        self.quarantine = Quarantine()
        self.target_model = TargetModel(cfg, self.view)
        self.sender = Sender(
            cfg,
            self.view,
            protocol,
            self.quarantine,
            self._wall_clock,
            target_model=self.target_model,
        )
        self._suspects = SuspectExchange(self.quarantine, self._wall_clock)
        self.metrics = Metrics()
        self.metrics.registry.register(self.sender.chooser.response_costs.traffic)
        self._memory = BodyMemory(body_limit(cfg.memory_bytes), LARGE_REQUESTS_SHARE)
        self.leadership = Leadership(cfg, self.view, store)
        self._suspect_record = SuspectRecord(
            self.view,
            self.leadership,
            self.quarantine,
            self._suspects,
            self._wall_clock,
            cfg.max_row_bytes,
        )
        self.load_statistics = ReportedLoadStatistics(self.view.clock, self.target_model)
        self.coordinator = Coordinator(
            cfg, self.view, self.leadership, protocol, self.load_statistics, self.view.clock
        )
        self._host_count = HostCount(self.view.clock)
        self._host_shares = HostShares(self.view.clock, lambda: self._host_count.largest)
        self._leader_shares = LeaderShares(
            self.view.clock,
            self._find_quota,
            lambda: self.leadership.term,
            self._host_count,
        )
        self._link_client = LinkClient(
            cfg,
            self.view,
            self.sender.report,
            self._suspects,
            self._host_shares,
            self.target_model,
            lambda: self.leadership.valid,
        )
        authentication = Authentication(self.view, lambda: self.cfg.bounds, lambda: self._state_age)
        quotas = WorkspaceQuotas(self._host_shares, lambda: self.cfg.bounds, self.metrics)
        self.caller_api = CallerApi(
            self.view,
            self.sender,
            protocol,
            self._memory,
            self.metrics,
            authentication,
            quotas,
        )
        self._explainer = Explainer(
            ExplainedHost(
                name=cfg.name,
                domain=cfg.domain,
                view=self.view,
                sender=self.sender,
                caller_api=self.caller_api,
                authentication=authentication,
                quotas=quotas,
                quarantine=self.quarantine,
                clock=self._wall_clock,
                memory=self._memory,
                target_model=self.target_model,
                state_age=lambda: self._state_age,
            )
        )
        self.sender.chooser.cold_admission.use_links(self._misses_changes, self._host_shares)
        self.view.update_bounds(cfg.bounds)
        self._link_server = LinkServer(
            cfg,
            self.view,
            lambda: self.leadership.valid,
            self._receive_report,
            self._suspects,
            self._leader_shares.grant_tokens,
            self.target_model,
            lambda: self.leadership.resigned_term,
        )
        self._caller_server = HttpServer(self.caller_api.app, cfg.callers_address, name="callers")
        self._readiness_server = HttpServer(
            self._readiness_app, cfg.readiness_address, name="ready"
        )
        self._metrics_server = HttpServer(
            self._metrics_app, f"{cfg.ip}:{cfg.metrics_port}", name="metrics"
        )
        # Version of the configuration in force here, and since when.
        self._own_version = (0, 0.0)
        self._supervisor = Supervisor(
            self.view.clock, lambda name: self.metrics.component_failures.labels(name).inc()
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        decision("start", callers=self.cfg.callers_address, domain=self.cfg.domain)
        log_exceeded_budgets(self.cfg.bounds)
        components = {f"follow-{t.value}": self._follower(t).run for t in Topic}
        components["callers"] = self._caller_server.run
        components["ready"] = self._readiness_server.run
        components["metrics"] = self._metrics_server.run
        components["coordinator"] = self.coordinator.run
        components["link"] = self._link_client.run
        components["links"] = self._link_server.run
        components["report"] = self._record_own_load
        components["shares"] = partial(
            self._host_shares.serve_own_leader, self._grants_own_tokens, self._grant_own_tokens
        )
        components["tidy"] = self.sender.clean_up
        components["silence"] = self.sender.watch_silence
        components["losses"] = self.sender.confirm_crashes
        components["suspects"] = self._suspect_record.run
        await self._supervisor.run(components)

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds; addresses change only at a restart."""
        decision("reload", changed=cfg.bounds != self.cfg.bounds)
        log_exceeded_budgets(cfg.bounds)
        self.cfg = replace(self.cfg, bounds=cfg.bounds, explain_from=cfg.explain_from)
        self.view.update_bounds(self.cfg.bounds)
        self.sender.update_settings(self.cfg)
        self._link_client.update_settings(self.cfg)
        self._link_server.update_settings(self.cfg)
        self.leadership.update_settings(self.cfg)
        self.coordinator.update_settings(self.cfg)

    async def stop(self) -> None:
        """Leave the rotation, wait for running requests to finish, and return.

        It returns at the latest :data:`EXIT_MARGIN_SECONDS` before the grace period ends. Requests
        that are still unanswered :data:`STOP_MARGIN_SECONDS` before that end with an error.
        """
        killed_at = trio.current_time() + self.cfg.bounds.stop_grace_seconds
        self.stopping = True
        self.sender.stop(killed_at - STOP_MARGIN_SECONDS)
        self._caller_server.close_after_response = True
        decision("stop", running=self.caller_api.running)
        with trio.move_on_at(killed_at - EXIT_MARGIN_SECONDS):
            async with trio.open_nursery() as nursery:
                # The store may be slow, and callers must not wait for it.
                nursery.start_soon(self.leadership.release_lease)
                await trio.sleep(OUT_OF_ROTATION_SECONDS)
                await self._caller_server.stop_accepting()
                await self._wait_until_unused()

    async def _wait_until_unused(self) -> None:
        """Close connections as they become idle, until there are none and no requests."""
        while True:
            self._caller_server.close_idle()
            if not self.caller_api.running and not self._caller_server.open_connections:
                return
            await trio.sleep(0.05)

    def _follower(self, topic: Topic) -> Follower:
        return Follower(topic, self.view, self._store, self._reads_store, lambda: self.cfg.bounds)

    def _reads_store(self, topic: Topic) -> bool:
        """Return whether this host reads a topic from the store itself.

        The leader does not read the ``OWN`` topic: only the leader writes its rows, and it applies
        its writes to its view directly.
        """
        if self.leadership.valid:
            return topic is not Topic.OWN
        return self._link_client.store_needed

    def _find_quota(self, name: str) -> Quota | None:
        """Return the quota of an allowance that all hosts share, ``None`` if there is none."""
        if name.startswith(COLD_PREFIX):
            return find_cold_quota(self.view, name, self.cfg.bounds)
        return find_quota(self.view.cfg, name, self.cfg.bounds)

    def _misses_changes(self) -> bool:
        """Return whether changes in the store may not reach this host at this moment."""
        if self.view.freshness.followed_age <= self.cfg.bounds.live_state_age_seconds:
            return False
        return self.leadership.valid or self._link_client.misses_changes

    @property
    def _state_age(self) -> float:
        """Seconds since this host last heard of changes, from the store or from another host."""
        return min(self.view.freshness.followed_age, self._link_client.state_age)

    async def _record_own_load(self) -> None:
        """Record this host's own load while it leads, and what hosts must agree on.

        Also forget targets and rows that were removed long ago, and settle disputed rows.
        """
        while True:
            leading = self.leadership.valid
            await trio.sleep(UPDATE_INTERVAL_SECONDS if leading else SYNCHRONIZE_SECONDS)
            self.view.forget_removed()
            self.view.settle_disputed_rows()
            if self.leadership.valid:
                self.load_statistics.add_report(self.sender.report())
                self._link_client.backups = self._link_server.backups
                self._host_count.record(self._link_server.hosts)
                self._log_hosts_behind()
            else:
                self._link_server.backups = self._link_client.backups
                self._link_server.known_hosts = max(1, self._link_client.hosts)
                self._host_count.record(self._link_client.hosts)
            self.sender.chooser.hosts = self.coordinator.hosts = self._host_count.largest
            self.target_model.update_hosts(self._host_count.largest)

    def _receive_report(self, report: Report) -> None:
        """Take the report of another host while this one leads."""
        self.load_statistics.add_report(report)
        self._leader_shares.record_report(report.host)
        if report.followed_age < RECENT_READ_SECONDS and self.leadership.has_lost_store:
            # The store answers another host.
            self.leadership.resign()
            self._link_server.announce_resignation()

    def _grants_own_tokens(self) -> bool:
        return self.view.cfg is not None and self.leadership.valid

    def _grant_own_tokens(self, demands: tuple[AllowanceDemand, ...]) -> tuple[AllowanceGrant, ...]:
        """Return the tokens that this host, which leads, may use itself."""
        self._leader_shares.record_report(self.cfg.name)
        return self._leader_shares.grant_tokens(self.cfg.name, demands)

    def _log_hosts_behind(self) -> None:
        """Log hosts on which a configuration is not in force in time."""
        cfg = self.view.cfg
        if cfg is None:
            return
        if cfg.version != self._own_version[0]:
            self._own_version = (cfg.version, self.view.clock.now())
        behind = self._link_server.host_versions.newly_behind(
            *self._own_version, self.cfg.bounds.apply_seconds
        )
        for host, version in behind.items():
            decision("host-behind", behind=host, version=version, in_force=cfg.version)

    async def _readiness_app(self, scope: Any, receive: Any, send: Any) -> None:
        """Respond to the platform's readiness check."""
        serving = self._caller_server.is_listening and not self.stopping
        ready = scope["path"] == self._ready_path and self.view.complete and serving
        await _send_response(send, 200 if ready else 503, json.dumps({"ready": ready}).encode())

    async def _metrics_app(self, scope: Any, receive: Any, send: Any) -> None:
        """Respond with the metrics of this host, or with the hosts and their configurations."""
        if scope["path"] == HOSTS_PATH:
            await _send_response(send, 200, json.dumps(self._hosts_document()).encode())
            return
        if scope["path"] == EXPLAIN_PATH:
            asker = scope["client"][0] if scope.get("client") else ""
            query = scope["query_string"].decode("latin-1")
            status, doc = answer_explanation(self._explainer, self.cfg.explain_from, asker, query)
            await _send_response(send, status, json.dumps(doc).encode())
            return
        self.metrics.running.set(self.caller_api.running)
        self.metrics.body_bytes.set(self._memory.used_bytes)
        self.metrics.catalog_version.set(self.view.cfg.version if self.view.cfg else 0)
        self.metrics.learned_speeds.set(self.target_model.known_targets)
        self.metrics.speed_steps.set(self.target_model.steps)
        self.metrics.stated_speeds.set(self.target_model.stated)
        await _send_response(send, 200, self.metrics.render())

    def _hosts_document(self) -> dict[str, Any]:
        """Return the configuration in force here and, on the leader, on all linked hosts."""
        cfg = self.view.cfg
        hosts = self._link_server.host_versions.document() if self.leadership.valid else []
        return {
            "host": self.cfg.name,
            "configuration": cfg.version if cfg else 0,
            "leader": self.view.leader.host,
            "hosts": hosts,
        }


async def _send_response(send: Any, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
