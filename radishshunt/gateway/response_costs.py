"""What this host has learned about the responses of routes, for the choice of targets."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

from radishshunt.gateway.domain_traffic import DomainTraffic
from radishshunt.policy.direct.domain_occupancy import DomainOccupancy
from radishshunt.policy.response_size import Candidate, ResponseSizes, choose_by_bytes

if TYPE_CHECKING:
    from random import Random

    from radishshunt.gateway.exchange import HttpResponse
    from radishshunt.gateway.model import Configuration, Route, TargetEntry
    from radishshunt.gateway.protocol import CallerRequest
    from radishshunt.gateway.view import Target
    from radishshunt.policy.direct.target_load import TargetLoadEstimate


class ResponseCosts:
    """Weighs the bytes of responses against the wait in the home domain.

    :ivar sizes: Sizes of the responses by route.
    :ivar traffic: Bytes to and from targets of other domains.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        self.sizes = ResponseSizes()
        self.traffic = DomainTraffic(domain)
        self._domain = domain
        self._rng = rng
        self._occupancy = DomainOccupancy()

    def trial(self, rng: Random) -> ResponseCosts:
        """Return a copy for choices without effect, which must not record anything.

        :param rng: Copy of the random generator.
        """
        other = copy(self)
        other._rng = rng
        return other

    def on_sent(self, req: CallerRequest, route: Route, entry: TargetEntry) -> None:
        """Record a request that was sent, whether or not it was answered."""
        self.traffic.record(entry, route, sent=len(req.body))

    def on_response(
        self, route: Route, entry: TargetEntry, response: HttpResponse, load: TargetLoadEstimate
    ) -> None:
        """Record a response, after its load report has been recorded."""
        self.traffic.record(entry, route, received=len(response.body))
        if response.status < 400:
            self.sizes.record(route.name, len(response.body))
        if (report := load.last_report) is not None and self.sizes.is_large(route.name):
            self._occupancy.record(entry.service, entry.domain, report[0] / load.slots)

    def expected_bytes(self, route: Route) -> int:
        """Return the number of bytes to reserve for a response before its request is sent."""
        return int(self.sizes.expected(route.name)) if self.sizes.is_large(route.name) else 0

    def occupancy(self, entry: TargetEntry, load: TargetLoadEstimate, now: float) -> float:
        """Return the expected number of requests of all hosts at a target."""
        return load.own_requests + self._occupancy.other_requests(
            entry.service, entry.domain, load.slots, load.last_report, now
        )

    def candidate(
        self, target: Target, cost: float, load: TargetLoadEstimate, occupancy: float
    ) -> Candidate[Target]:
        """Return a target as a candidate.

        :param cost: Expected seconds until the response, without the penalty for other domains.
        """
        near = target.entry.domain == self._domain
        work = load.work_seconds * load.slowdown
        return Candidate(target, cost, load.wait_at(occupancy), work, near)

    def choose(
        self,
        candidates: list[Candidate[Target]],
        req: CallerRequest,
        route: Route,
        now: float,
        *,
        far_seconds: float,
        seconds_per_byte: float,
    ) -> Candidate[Target]:
        """Return the candidate that gets the request."""
        size = len(req.body) + self.sizes.expected(route.name)
        remaining = req.received_at + route.objective_seconds - now
        return choose_by_bytes(
            candidates, far_seconds, seconds_per_byte * size, remaining, self._rng
        )

    def clean_up(self, cfg: Configuration | None) -> None:
        """Forget routes and services that the configuration no longer has."""
        if cfg is not None:
            self.sizes.retain(route.name for route in cfg.routes)
            self._occupancy.retain(set(cfg.services))
