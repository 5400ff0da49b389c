"""Records what the responses of targets tell about them: load, limits and statements."""

from __future__ import annotations

import logging
import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from radishshunt.logs import decision

if TYPE_CHECKING:
    from radishshunt.gateway.attempts import TargetState
    from radishshunt.gateway.exchange import HttpResponse
    from radishshunt.gateway.model import Route, Service, TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.view import View
    from radishshunt.policy.direct.target_load import ServiceWorkTimes
    from radishshunt.target_model import TargetModel

logger = logging.getLogger(__name__)


class ResponseRecorder:
    """Records what complete responses tell about their targets.

    :param work_times: Mean work times of the services.
    :param target_model: Learned speeds, if they may be used.
    """

    def __init__(
        self,
        view: View,
        protocol: TargetProtocol,
        work_times: ServiceWorkTimes,
        target_model: TargetModel | None,
    ) -> None:
        self._view = view
        self._protocol = protocol
        self._work_times = work_times
        self._target_model = target_model

    def record_load(
        self,
        response: HttpResponse,
        route: Route,
        service: Service,
        entry: TargetEntry,
        state: TargetState,
        seconds: float,
    ) -> None:
        """Record the load and the work time that a response tells.

        :param seconds: Time between the request and its response.
        """
        report = self._protocol.load_report(response)
        if report is not None:
            now = trio.current_time()
            state.load.on_report(report.running, report.waiting, report.slowdown, now)
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return
        if self._protocol.is_not_run(response):
            return
        running, waiting = (report.running, report.waiting) if report is not None else (0, 0)
        work_seconds = state.load.on_answer(seconds, running, waiting)
        self._work_times.on_work(service.name, work_seconds)
        if self._target_model is not None:
            self._target_model.on_work(entry, route.name, work_seconds, report)

    def record_limit(self, response: HttpResponse, entry: TargetEntry, state: TargetState) -> None:
        """Record the limit that a target names in a response, or that it names none any more."""
        limit = self._protocol.request_limit(response)
        if limit is None:
            logger.warning("ignoring the malformed limit of target %s", entry.id)
            return
        if math.isinf(limit) and response.status >= HTTPStatus.BAD_REQUEST:
            # Refusals and errors do not come from the work that the limit protects.
            return
        if state.request_limiter.on_limit(limit, entry.incarnation, trio.current_time()):
            decision("target-limit", target=entry.id, limit=limit)

    def record_statement(self, response: HttpResponse, entry: TargetEntry) -> None:
        """Record what a target states about itself in a response."""
        statement = self._protocol.statement(response, entry)
        if statement is not None:
            self._view.record_statements((statement,), own=True)
