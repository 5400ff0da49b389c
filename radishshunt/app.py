"""An entry host: creates its components from the settings and runs them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.admin import build_app
from radishshunt.body_memory import BodyMemory
from radishshunt.clock import Clock, SystemClock
from radishshunt.contact import Contact
from radishshunt.directory import Directory
from radishshunt.dispatch.manager import DispatchManager
from radishshunt.dispatch.takeover import Takeover
from radishshunt.frontend import Frontend
from radishshunt.http_server import HttpServer
from radishshunt.intent_log import IntentLog
from radishshunt.members import Members
from radishshunt.membership import Membership
from radishshunt.metrics import Metrics
from radishshunt.model import HostInfo, HostRef, ip_of, new_incarnation
from radishshunt.peers import PeerNetwork
from radishshunt.planning import RowPlanner
from radishshunt.platform.http import connect
from radishshunt.quarantine import Quarantine
from radishshunt.router import Router
from radishshunt.status import explain, host_status, hosts_status, update_metrics
from radishshunt.supervisor import Supervisor
from radishshunt.sync import Sync
from radishshunt.wire.messages import Heartbeat

if TYPE_CHECKING:
    from radishshunt.platform import Platform
    from radishshunt.release.catalog import Catalog
    from radishshunt.release.note import ReleaseNote
    from radishshunt.settings import Settings

logger = logging.getLogger(__name__)

STOP_POLL_SECONDS = 0.05


class Host:
    """One entry host.

    :param cfg: Validated settings.
    :param platform: Client of the platform; by default one for the URL in the settings.
    :param clock: Source of time; by default the system clock.
    """

    def __init__(
        self, cfg: Settings, platform: Platform | None = None, clock: Clock | None = None
    ) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self.platform = platform or connect(cfg.platform.url, ip_of(cfg.peers.address))
        self.me = HostInfo(
            cfg.host.name,
            cfg.host.domain,
            cfg.peers.advertise or cfg.peers.address,
            incarnation=new_incarnation(),
        )
        self.metrics = Metrics()
        self.directory = Directory()
        self.network = PeerNetwork(self.me, cfg.peers.address)
        ref = HostRef(self.me.host, self.me.incarnation)
        self.intents = IntentLog(ref, self.network, self.clock)
        self.quarantine = Quarantine()
        self.dispatch = DispatchManager(
            ref,
            self.directory,
            cfg.limits,
            self.clock,
            ip_of(cfg.peers.address),
            log=self.intents,
            quarantine=self.quarantine,
        )
        self.members = Members(self.me, self.network, self.clock)
        self.contact = Contact(self.directory, self.members)
        self.dispatch.may_send = self.contact.may_send_new_work
        self.membership = Membership(
            self.network,
            self.clock,
            self.build_heartbeat,
            self._on_heartbeat,
            self.members,
            self.contact,
            self._group_partners,
        )
        self.sync = Sync(
            self.directory,
            self.network,
            self.platform,
            self.clock,
            self._on_catalog,
            self.members,
            self.contact,
            cfg.peers.seeds,
        )
        self.takeover = Takeover(
            HostRef(self.me.host, self.me.incarnation),
            self.directory,
            self.dispatch,
            self.membership,
            self.network,
            self.clock,
            self.sync.refresh_row,
        )
        self.planning = RowPlanner(
            self.me.host,
            self.directory,
            self.dispatch,
            self.membership,
            self.sync,
            self.platform.table,
            self.takeover,
        )
        self.memory = BodyMemory(cfg.limits.body_memory_bytes)
        self.router = Router(
            self.me.host,
            self.directory,
            self.dispatch,
            self.network,
            self.clock,
            self.metrics,
            self.memory,
        )
        self._group_partners_cache: tuple[int, frozenset[str]] = (0, frozenset())
        self.frontend = Frontend(self.router, cfg.limits, self.clock, self.metrics, self.memory)
        self.leaving = False
        self._callers_server: HttpServer | None = None
        self.started = trio.Event()
        self._stop = trio.Event()

    def stop(self) -> None:
        """Start a graceful shutdown; :meth:`run` returns when it is complete."""
        self.leaving = True
        self.members.announce_self(leaving=True)
        if self._callers_server is not None:
            # Responses now close their connections, so that no caller sends a request on one that
            # the host is about to close.
            self._callers_server.close_after_response = True
        self._stop.set()

    async def run(self) -> None:
        """Run the host until it is stopped."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run)
            nursery.start_soon(self._run_components)
            self.started.set()
            await self._stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    def build_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this host."""
        return Heartbeat(
            host=self.me.host,
            incarnation=self.me.incarnation,
            domain=self.me.domain,
            address=self.me.address,
            catalog_version=self.directory.catalog.version,
            groups=self.dispatch.states(),
            suspects=self.quarantine.suspects(self.clock.now()),
            leaving=self.leaving,
            sent_at=self.clock.now(),
            platform_seen_at=self.sync.platform_seen_at,
            rows_digest=self.directory.rows_digest,
        )

    async def apply_catalog(self, catalog: Catalog, note: ReleaseNote | None = None) -> None:
        """Apply an accepted catalog on this host and announce it to the peers.

        :param note: Release note that the catalog results from.
        """
        self.sync.apply_catalog(catalog, "submitted here", note)
        await trio.lowlevel.checkpoint()

    def unready_reasons(self) -> list[str]:
        """Return why load balancers should not route callers to this host; empty if it is ready."""
        reasons = []
        if self.leaving:
            reasons.append("the host is stopping")
        if not self.directory.catalog.version:
            reasons.append("no release note is known yet")
        if not self.sync.loaded:
            reasons.append("the rows have not yet been read from a peer or the platform")
        elif not self.contact.may_send_new_work(self.clock.now()):
            reasons.append("no recent contact with a peer or with the platform")
        return reasons

    def status(self) -> dict[str, Any]:
        """Return this host's state; see :func:`radishshunt.status.host_status`."""
        return host_status(self)

    async def hosts_status(self) -> dict[str, Any]:
        """Return which version is in force on each host."""
        return await hosts_status(self)

    def explain(self, service: str, key: str) -> dict[str, Any]:
        """Return which target serves a key and why."""
        return explain(self, service, key)

    def render_metrics(self) -> bytes:
        """Return the host's metrics in Prometheus text format."""
        update_metrics(self)
        return self.metrics.render()

    async def _run_components(self) -> None:
        await Supervisor(
            self.clock, lambda name: self.metrics.component_failures.labels(name).inc()
        ).run(
            {
                "membership": self.membership.run,
                "fetches": self.sync.run_fetches,
                "platform": self.sync.run_platform,
                "dispatch": self.dispatch.run,
                "takeover": self.takeover.run,
                "planner": self.planning.run,
                "callers": self._serve_callers,
                "admin": self._serve_admin,
            }
        )

    async def _serve_callers(self) -> None:
        cfg = self.cfg.callers
        limit = self.cfg.limits.connections
        server = HttpServer(
            self.frontend.app, cfg.address, name="callers", tls=cfg.tls, max_connections=limit
        )
        self._callers_server = server
        server.close_after_response = self.leaving
        await server.run()

    async def _serve_admin(self) -> None:
        cfg = self.cfg.admin
        await HttpServer(build_app(self), cfg.address, name="admin", tls=cfg.tls).run()

    async def _drain(self) -> None:
        """Hand over all groups and serve all accepted connections, at most ``stop_seconds``."""
        with trio.move_on_after(self.cfg.limits.stop_seconds):
            await self.takeover.hand_over_all()
            while self.dispatch.busy or self.dispatch.groups:
                await trio.sleep(STOP_POLL_SECONDS)
            server = self._callers_server
            if server is not None:
                await server.stop_accepting()
                while server.open_connections:
                    server.close_idle()
                    await trio.sleep(STOP_POLL_SECONDS)

    def _group_partners(self) -> frozenset[str]:
        """Return the other dispatchers and standby dispatchers of this host's groups."""
        digest = self.directory.rows_digest
        if self._group_partners_cache[0] != digest:
            me = self.me.host
            paired = set()
            for row in self.directory.rows.values():
                standby = row.standby_dispatcher.host if row.standby_dispatcher else me
                if me in (row.dispatcher.host, standby):
                    paired |= {row.dispatcher.host, standby}
            self._group_partners_cache = (digest, frozenset(paired - {me}))
        return self._group_partners_cache[1]

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.sync.apply_heartbeat(heartbeat)
        self.quarantine.merge(heartbeat.suspects, self.clock.now())

    def _on_catalog(self, catalog: Catalog) -> None:
        self.metrics.catalog_version.set(catalog.version)
