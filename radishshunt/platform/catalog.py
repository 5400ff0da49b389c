"""Decoding of the operators' configuration and the targets' entries."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

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
from radishshunt.util.json_decoder import JsonDecoder, convert
from radishshunt.util.streams import parse_address

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    # Uploads must not be repeated.
    "upload": RequestKind.NON_IDEMPOTENT,
}
# Attempts for a request if its route sets no limit; the second one may use another target.
DEFAULT_ATTEMPTS = 2
# Ids of targets stand in a header of each request to them.
_ID = re.compile(r"[!-~]+")
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
# Messages between hosts have room for 64 bits.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]


class _Part(msgspec.Struct):
    Service: NonEmptyText
    Weight: NonNegativeNumber


class _Route(msgspec.Struct):
    Host: NonEmptyText
    Prefix: NonEmptyText
    Kind: Literal["idempotent", "non_idempotent", "upload"]
    TimeoutMs: NonNegativeNumber
    Service: NonEmptyText | None = None
    Split: list[_Part] | None = None
    # Latency objective: an answer within it has its full value. 0 stands for the timeout.
    SloMs: NonNegativeNumber = 0
    MaxAttempts: Integer = DEFAULT_ATTEMPTS
    Priority: Integer = 0


class _Service(msgspec.Struct):
    MaxConns: Integer = 100
    IsSharded: bool = False
    ColdPerS: NonNegativeNumber = 0
    # Time for which requests are slow on keys that were moved without a handover.
    WarmS: NonNegativeNumber = 0
    HealthPath: NonEmptyText = "/healthz"


class _Limits(msgspec.Struct):
    MaxHeaderBytes: Integer = CallerLimits().head_bytes
    MaxBodyBytes: Integer = CallerLimits().body_bytes
    HeaderTimeoutMs: NonNegativeNumber = CallerLimits().head_seconds * 1000
    IdleTimeoutMs: NonNegativeNumber = CallerLimits().idle_seconds * 1000


class _Meta(msgspec.Struct):
    Name: str = ""


class _Resource(msgspec.Struct):
    ResourceKind: str
    Meta: _Meta = msgspec.field(default_factory=_Meta)
    Spec: dict[str, Any] = msgspec.field(default_factory=dict)


class _Configuration(msgspec.Struct):
    Version: NonNegativeInteger
    Resources: list[_Resource]


class _Info(msgspec.Struct):
    Service: NonEmptyText
    Zone: NonEmptyText
    Version: str
    # Number of requests that the target processes concurrently.
    Capacity: PositiveInteger


class _Status(msgspec.Struct):
    State: Literal["ready", "draining"]
    Sequence: NonNegativeInteger
    WarmupLeftMs: NonNegativeNumber


class _Entry(msgspec.Struct):
    Addr: NonEmptyText
    Info: _Info
    Status: _Status
    # Start time of the target's process, in milliseconds since the Unix epoch.
    born: NonNegativeInteger | None = None


_CONFIGURATION_DECODER = JsonDecoder(_Configuration)
_ENTRY_DECODER = JsonDecoder(_Entry)


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration in a row.

    :raises ProtocolError: If the row is malformed.
    """
    try:
        doc = _CONFIGURATION_DECODER.decode(value)
        routes: list[Route] = []
        services: dict[str, Service] = {}
        limits = CallerLimits()
        for item in doc.Resources:
            name = item.Meta.Name
            if item.ResourceKind == "Routes":
                routes.append(_route(name, convert(item.Spec, _Route)))
            elif item.ResourceKind == "Services":
                services[name] = _service(name, convert(item.Spec, _Service))
            elif item.ResourceKind == "Limits":
                limits = _limits(convert(item.Spec, _Limits))
        return Configuration(doc.Version, tuple(routes), services, limits)
    except ProtocolError as exc:
        raise ProtocolError(f"configuration: {exc}") from exc


def decode_target(key: str, value: bytes) -> TargetEntry:
    """Decode the entry of a target in a row.

    :param key: Key of the row, which is the target's id.
    :raises ProtocolError: If the entry is malformed, or no request can be sent with its id or to
        its address.
    """
    try:
        entry = _ENTRY_DECODER.decode(value)
        ip, port = parse_address(entry.Addr)
        if not _ID.fullmatch(key):
            raise ProtocolError("invalid id")
    except ProtocolError as exc:
        raise ProtocolError(f"target entry {key}: {exc}") from exc
    return TargetEntry(
        id=key,
        incarnation=entry.born or 0,
        service=entry.Info.Service,
        address=f"{ip}:{port}",
        domain=entry.Info.Zone,
        slots=entry.Info.Capacity,
        draining=entry.Status.State == "draining",
        cold_seconds=entry.Status.WarmupLeftMs / 1000,
        sequence=entry.Status.Sequence,
    )


class CatalogReader(RowReader):
    """Decodes the rows that the users' platform writes."""

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
        raise ProtocolError(f"route {name} has no service")
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
