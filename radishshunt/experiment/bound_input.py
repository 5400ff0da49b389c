"""Description of a deployment and its day, from which :mod:`.bound` computes an upper bound."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from radishshunt.release.note import Name
from radishshunt.util.yaml_documents import load_document, validate

if TYPE_CHECKING:
    from pathlib import Path

# The example of the tests takes 135 MB when its day is extended to this limit.
MAX_STEPS = 10_000

Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1)]
Slowdown = Annotated[float, Field(ge=1, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TargetGroup(_Section):
    """Equal targets of one failure domain; a target of speed 2 takes half the work time."""

    name: Name
    domain: Name
    count: Count
    slots: Count
    speed: Positive = 1.0


class SlowedShare(_Section):
    """Share of the targets that is slowed by a factor at any moment."""

    share: Share
    factor: Slowdown


class Service(_Section):
    """A service; the names of its groups are unique in the description."""

    name: Name
    keyed: bool = False
    groups: Annotated[list[TargetGroup], Field(min_length=1)]
    slowed: SlowedShare = SlowedShare(share=0, factor=1)


class Tail(_Section):
    """Share of the requests whose work takes ``factor`` times the mean, at most ``cap_ms``.

    With ``by_attempt``, an attempt and not the request is long, so that a request that may be
    repeated need not be.
    """

    share: Share
    factor: Positive
    cap_ms: Positive | None = None
    by_attempt: bool = False


class RequestKind(_Section):
    """A kind of request.

    ``work_ms`` is the mean work time outside the tail at speed 1. ``other_services`` has the share
    of requests that go to another service instead of ``service``.
    """

    name: Name
    service: Name
    other_services: dict[Name, Share] = {}
    rate_per_s: dict[Name, NotNegative] = Field(description="Requests per second by domain.")
    work_ms: Positive
    objective_ms: Positive
    deadline_ms: Positive
    timeout_ms: Positive
    full_value: Positive
    late_value: NotNegative = 0.0
    priority: int = Field(0, description="Not used, since the bound counts only value.")
    repeatable: bool = False
    tail: list[Tail] = []

    @model_validator(mode="after")
    def _check(self) -> RequestKind:
        if self.late_value > self.full_value:
            raise ValueError("late_value is larger than full_value")
        if self.objective_ms > self.deadline_ms:
            raise ValueError("objective_ms is larger than deadline_ms")
        if sum(self.other_services.values()) > 1 or sum(t.share for t in self.tail) > 1:
            raise ValueError("the shares of other_services or of tail are above 1")
        return self


class Wave(_Section):
    """Demand that rises and falls by ``swing`` of its mean; phases are parts of the period."""

    swing: Share
    period_s: Positive
    phase: dict[Name, float] = {}


class EventKind(StrEnum):
    """What happens between the start and the end of an event."""

    HOT_KEY = "hot-key"
    NO_OWNER = "no-owner"
    LOST = "lost"
    CUT_OFF = "cut-off"
    SLOWED = "slowed"
    COLD = "cold"
    BURST = "burst"
    EVACUATED = "evacuated"


_NEEDS = {
    EventKind.HOT_KEY: {"service", "share"},
    EventKind.NO_OWNER: {"service", "share"},
    EventKind.LOST: {"group", "count"},
    EventKind.CUT_OFF: {"group", "count"},
    EventKind.SLOWED: {"group", "count", "factor"},
    EventKind.COLD: {"group", "count", "factor"},
    EventKind.BURST: {"factor"},
    EventKind.EVACUATED: {"domain"},
}


class Event(_Section):
    """An event. Events that overlap concern different targets of a group.

    ``share`` is that of the service's requests which are for the hot key or for keys without owner.
    A burst without ``domain`` or ``kinds`` concerns all of them.
    """

    event: EventKind
    start_s: NotNegative
    end_s: Positive
    service: Name | None = None
    group: Name | None = None
    domain: Name | None = None
    kinds: list[Name] | None = None
    count: Count | None = None
    share: Share | None = None
    factor: Positive | None = None

    @model_validator(mode="after")
    def _check(self) -> Event:
        members = self.model_fields_set - {"event", "start_s", "end_s"}
        optional = {"domain", "kinds"} if self.event is EventKind.BURST else set()
        if members - optional != _NEEDS[self.event]:
            raise ValueError(f"{self.event} needs exactly {', '.join(sorted(_NEEDS[self.event]))}")
        if self.event in (EventKind.SLOWED, EventKind.COLD) and (self.factor or 0) < 1:
            raise ValueError("factor is below 1")
        if self.end_s <= self.start_s:
            raise ValueError("end_s is not after start_s")
        return self


class Day(_Section):
    """A deployment, its demand and its events during one day."""

    name: Name
    seconds: Positive
    step_s: Positive = 0.25
    services: Annotated[list[Service], Field(min_length=1)]
    kinds: Annotated[list[RequestKind], Field(min_length=1)]
    wave: Wave | None = None
    events: list[Event] = []

    @model_validator(mode="after")
    def _check(self) -> Day:
        if self.seconds / self.step_s > MAX_STEPS:
            raise ValueError(f"the day has more than {MAX_STEPS} steps")
        services = {s.name for s in self.services}
        groups = [g for s in self.services for g in s.groups]
        kinds = {k.name for k in self.kinds}
        domains = {g.domain for g in groups} | {d for k in self.kinds for d in k.rate_per_s}
        if len(services) < len(self.services) or len(kinds) < len(self.kinds):
            raise ValueError("names of services or kinds are not unique")
        if len({g.name for g in groups}) < len(groups):
            raise ValueError("names of groups are not unique")
        used = {k.service for k in self.kinds}.union(*(k.other_services for k in self.kinds))
        unknown = used - services | set(self.wave.phase if self.wave else ()) - domains
        for event in self.events:
            unknown |= {event.service} - services - {None}
            unknown |= {event.group} - {g.name for g in groups} - {None}
            unknown |= {event.domain} - domains - {None}
            unknown |= set(event.kinds or ()) - kinds
        if unknown:
            raise ValueError(f"unknown names: {', '.join(sorted(map(str, unknown)))}")
        unkeyed = {s.name for s in self.services if not s.keyed}
        if any(event.service in unkeyed for event in self.events):
            raise ValueError("hot-key and no-owner need a keyed service")
        return self


def read_day(file: Path) -> Day:
    """Read a description.

    :raises SettingsError: If the file is not a valid description.
    """
    return validate(Day, load_document(file.read_text("utf-8"), str(file)))
