"""Decoding of the operators' rows and of the targets' entries."""

from __future__ import annotations

import json
from typing import Annotated, Literal

from pydantic import BaseModel, Field, ValidationError

from radishshunt.errors import ProtocolError
from radishshunt.gateway.model import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    Service,
    Share,
    TargetEntry,
)
from radishshunt.gateway.rows import RowReader
from radishshunt.platform.names import CONFIGURATION_KEY, EVACUATION_PREFIX

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    # Uploads must not be repeated either.
    "upload": RequestKind.NON_IDEMPOTENT,
}
# A route without a limit of its own may try a second target.
DEFAULT_ATTEMPTS = 2
Text = Annotated[str, Field(strict=True, min_length=1)]
Count = Annotated[int, Field(strict=True, ge=0)]
Amount = Annotated[float, Field(ge=0)]


class _Part(BaseModel):
    Service: Text
    Weight: Amount


class _Route(BaseModel):
    Host: Text
    Prefix: Text
    Kind: Literal["idempotent", "non_idempotent", "upload"]
    Service: Text | None = None
    Split: list[_Part] | None = None
    TimeoutMs: Amount
    # Time within which an answer has its full worth.
    SloMs: Amount = 0
    MaxAttempts: int = DEFAULT_ATTEMPTS
    Priority: int = 0


class _Service(BaseModel):
    MaxConns: int = 100
    IsSharded: bool = False
    ColdPerS: Amount = 0
    # Time for which keys are slow that arrive without handover.
    WarmS: Amount = 0
    HealthPath: Text = "/healthz"


class _Limits(BaseModel):
    MaxHeaderBytes: int = CallerLimits().head_bytes
    MaxBodyBytes: int = CallerLimits().body_bytes
    HeaderTimeoutMs: Amount = CallerLimits().head_seconds * 1000
    IdleTimeoutMs: Amount = CallerLimits().idle_seconds * 1000


class _Info(BaseModel):
    Service: Text
    Zone: Text
    Version: Annotated[str, Field(strict=True)]
    # Requests that the target processes at once.
    Capacity: Annotated[int, Field(strict=True, ge=1)]


class _Status(BaseModel):
    State: Literal["ready", "draining"]
    Sequence: Count
    WarmupLeftMs: Annotated[float, Field(strict=True, ge=0)]


class _Entry(BaseModel):
    Addr: Text
    Info: _Info
    Status: _Status
    # Start of the target's process in Unix milliseconds.
    born: Count | None = None


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in a row.

    :raises ProtocolError: If it can't be read.
    """
    try:
        doc = json.loads(value)
        version = int(doc["Version"])
        routes: list[Route] = []
        services: dict[str, Service] = {}
        limits = CallerLimits()
        for item in doc["Resources"]:
            kind, name, spec = item["ResourceKind"], item.get("Meta", {}).get("Name", ""), None
            spec = item.get("Spec", {})
            if kind == "Routes":
                routes.append(_route(name, _Route(**spec)))
            elif kind == "Services":
                services[name] = _service(name, _Service(**spec))
            elif kind == "Limits":
                limits = _limits(_Limits(**spec))
        return Configuration(version, tuple(routes), services, limits)
    except (ValidationError, ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ProtocolError(f"configuration: {exc}") from exc


def decode_target(key: str, value: bytes) -> TargetEntry:
    """Return the target in a row.

    :raises ProtocolError: If the entry names no target that can be used.
    """
    try:
        entry = _Entry(**json.loads(value))
        ip, _, port = entry.Addr.rpartition(":")
        if not ip or not 0 < int(port) < 65536:
            raise ValueError(f"address {entry.Addr}")
    except (ValidationError, ValueError, TypeError) as exc:
        raise ProtocolError(f"entry {key}: {exc}") from exc
    return TargetEntry(
        id=key,
        life=entry.born or 0,
        service=entry.Info.Service,
        address=entry.Addr,
        domain=entry.Info.Zone,
        slots=entry.Info.Capacity,
        draining=entry.Status.State == "draining",
        cold_seconds=entry.Status.WarmupLeftMs / 1000,
    )


class CatalogReader(RowReader):
    """Decodes the rows of the users' platform."""

    def is_configuration(self, key: str) -> bool:
        return key == CONFIGURATION_KEY

    def configuration(self, value: bytes) -> Configuration:
        return decode_configuration(value)

    def evacuated_domain(self, key: str) -> str | None:
        return key[len(EVACUATION_PREFIX) :] if key.startswith(EVACUATION_PREFIX) else None

    def target(self, key: str, value: bytes) -> TargetEntry:
        return decode_target(key, value)


def _route(name: str, spec: _Route) -> Route:
    if spec.Split:
        shares = tuple(Share(part.Service, part.Weight) for part in spec.Split)
    elif spec.Service:
        shares = (Share(spec.Service, 1.0),)
    else:
        raise ValueError(f"route {name} has no service")
    timeout = spec.TimeoutMs / 1000
    return Route(
        name=name,
        host=spec.Host.lower(),
        prefix=spec.Prefix,
        kind=_KINDS[spec.Kind],
        shares=shares,
        timeout_seconds=timeout,
        objective_seconds=spec.SloMs / 1000 or timeout,
        max_attempts=max(1, spec.MaxAttempts),
        priority=spec.Priority,
    )


def _service(name: str, spec: _Service) -> Service:
    return Service(name, spec.IsSharded, spec.MaxConns, spec.ColdPerS, spec.WarmS, spec.HealthPath)


def _limits(spec: _Limits) -> CallerLimits:
    return CallerLimits(
        spec.MaxHeaderBytes,
        spec.MaxBodyBytes,
        spec.HeaderTimeoutMs / 1000,
        spec.IdleTimeoutMs / 1000,
    )
