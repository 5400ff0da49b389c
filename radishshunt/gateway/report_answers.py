"""Numbers of reports and their answers, on both ends of a link.

A message may be delayed on a link for seconds. An answer names the report that it answers, so that
a host can count the age that the answer states from when it sent that report.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from radishshunt.gateway.messages import AllowanceDemand

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.messages import AllowanceGrant, Report

    # Called with the name of a host and its demands; returns the tokens that it may use.
    GrantTokens = Callable[[str, tuple[AllowanceDemand, ...]], tuple[AllowanceGrant, ...]]

# Reports that may be unanswered at a time; a later answer than to the last ones confirms nothing.
# At five reports per second, this is more than a link may delay them for.
MAX_UNANSWERED_REPORTS = 64


class AllowanceExchange(ABC):
    """What a host wants of the allowances that all hosts share, and what it is granted."""

    @abstractmethod
    def start_link(self) -> None:
        """Record that the following demands go over a new link, maybe to another host."""

    @abstractmethod
    def next_demands(self, sent_at: float) -> tuple[AllowanceDemand, ...]:
        """Return the demands for a report that is about to be sent.

        :param sent_at: Time of the host's boot clock.
        """

    @abstractmethod
    def add_grants(
        self, grants: tuple[AllowanceGrant, ...], sent_at: float, *, leading: bool
    ) -> None:
        """Take over the grants of an answered report.

        :param sent_at: Time of the host's boot clock at which the report was sent.
        :param leading: Whether the host that answered leads; a backup grants nothing.
        """

    @abstractmethod
    async def wait_until_urgent(self) -> None:
        """Return once there is demand that must not wait for the next regular report."""


def grant_nothing(
    host: str,  # noqa: ARG001
    demands: tuple[AllowanceDemand, ...],  # noqa: ARG001
) -> tuple[AllowanceGrant, ...]:
    """Grant no tokens."""
    return ()


class SentReports:
    """Numbers and send times of the reports that a host has sent on one link."""

    def __init__(self) -> None:
        self._last_number = 0
        self._sent_at: dict[int, float] = {}

    def add(self, sent_at: float) -> int:
        """Return the number of a report that is about to be sent.

        :param sent_at: Time of the host's boot clock.
        """
        self._last_number += 1
        self._sent_at[self._last_number] = sent_at
        self._sent_at.pop(self._last_number - MAX_UNANSWERED_REPORTS, None)
        return self._last_number

    def take(self, number: int) -> float | None:
        """Return when an answered report was sent, and forget it and all earlier ones.

        :return: ``None`` if the number is unknown, or no newer than one that was answered.
        """
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self._sent_at = {key: at for key, at in self._sent_at.items() if key > number}
        return sent_at


class UnansweredReport:
    """The last report received on a link, until it is answered."""

    def __init__(self) -> None:
        self._number = 0
        self._demands: dict[str, AllowanceDemand] = {}

    def record(self, report: Report) -> None:
        """Record a report; what it wants replaces what an unanswered one wanted.

        Returned tokens are added up, since each report returns other ones.
        """
        # Without workspaces, only reports with demands are numbered.
        self._number = report.number or self._number
        returned = {name: demand.returned for name, demand in self._demands.items()}
        wanted = {demand.allowance: demand for demand in report.demands}
        self._demands = {
            name: AllowanceDemand(
                name,
                wanted[name].wanted if name in wanted else 0.0,
                returned.get(name, 0.0) + (wanted[name].returned if name in wanted else 0.0),
                (wanted if name in wanted else self._demands)[name].held,
            )
            for name in {**returned, **wanted}
        }

    def take(self) -> tuple[int, tuple[AllowanceDemand, ...]]:
        """Return the number of the report, 0 if there is none to answer, and the demands."""
        number, demands = self._number, tuple(self._demands.values())
        self._number, self._demands = 0, {}
        return number, demands
