"""Decoding of the operators' configuration and the targets' entries."""

from __future__ import annotations

import logging
import math
import re
from typing import Annotated, Any, Literal, TypeVar

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
    Workspace,
)
from radishshunt.gateway.rows import RowReader
from radishshunt.platform.names import CONFIGURATION_KEY, EVACUATION_PREFIX
from radishshunt.util.json_decoder import JsonDecoder, convert
from radishshunt.util.streams import parse_address
from radishshunt.workspaces.api_keys import key_digest

logger = logging.getLogger(__name__)

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    # Large responses.
    "download": RequestKind.IDEMPOTENT,
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
    TimeoutMs: NonNegativeNumber
    # An unknown kind is not repeated.
    Kind: str = ""
    Service: NonEmptyText | None = None
    Split: list[_Part] | None = None
    # Latency objective: an answer within it has its full value. 0 stands for the timeout.
    SloMs: NonNegativeNumber = 0
    MaxAttempts: Integer = DEFAULT_ATTEMPTS
    Priority: Integer = 0
    Public: bool = False


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


class _Workspace(msgspec.Struct):
    # Put in the place of ApiKeys by redact_keys.
    KeyDigests: list[str] = msgspec.field(default_factory=list)
    Priority: Integer | None = None
    # 0 stands for no limit.
    RatePerS: NonNegativeNumber = 0
    Burst: NonNegativeNumber = 0


class _Meta(msgspec.Struct):
    Name: str = ""


class _Resource(msgspec.Struct):
    ResourceKind: str
    Meta: _Meta = msgspec.field(default_factory=_Meta)
    Spec: dict[str, Any] = msgspec.field(default_factory=dict)


class _Configuration(msgspec.Struct):
    Version: NonNegativeInteger
    Resources: list[Any]


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


_KEYS_FIELD = "apikeys"
_CONFIGURATION_DECODER = JsonDecoder(_Configuration)
_DOCUMENT_DECODER = JsonDecoder(dict)
_ENTRY_DECODER = JsonDecoder(_Entry)


def redact_keys(value: bytes) -> bytes:
    """Return the configuration in a row with digests in the place of API keys.

    Of a workspace, only the fields that are known remain, since others might hold keys as well.

    :return: The same bytes if there are no workspaces, empty ones if they cannot be read.
    """
    try:
        doc = _DOCUMENT_DECODER.decode(value)
        resources = doc.get("Resources")
        if not isinstance(resources, list):
            return b""
        redacted = [
            _redact_workspace(item) if _is_workspace(item) else _remove_keys(item)
            for item in resources
        ]
        if redacted == resources:
            return value
        return msgspec.json.encode({**doc, "Resources": redacted})
    except (ProtocolError, ValueError, OverflowError, RecursionError):
        return b""


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration in a row, whose API keys :func:`redact_keys` has replaced.

    A resource that cannot be read affects only what it concerns, and the narrower reading counts:
    requests of its route are refused, its service has no targets, its keys are unknown.

    :raises ProtocolError: If the row is no configuration.
    """
    try:
        doc = _CONFIGURATION_DECODER.decode(value)
    except ProtocolError as exc:
        raise ProtocolError(f"configuration: {exc}") from exc
    routes: list[Route] = []
    services: dict[str, Service] = {}
    limits = CallerLimits()
    # A workspace that cannot be read still means that requests need keys.
    workspaces = {} if _has_workspaces(doc) else None
    for resource in doc.Resources:
        kind = name = ""
        try:
            item = convert(resource, _Resource)
            kind, name = item.ResourceKind, item.Meta.Name
            if item.ResourceKind == "Routes":
                routes.append(_route(name, item.Spec))
            elif item.ResourceKind == "Services":
                services[name] = _service(name, convert(item.Spec, _Service))
            elif item.ResourceKind == "Limits":
                limits = _limits(convert(item.Spec, _Limits))
            elif item.ResourceKind == "Tenants" and workspaces is not None:
                workspaces[name] = _workspace(name, convert(item.Spec, _Workspace))
        except ProtocolError as exc:
            logger.warning("ignoring %s %s of configuration %d: %s", kind, name, doc.Version, exc)
    return Configuration(doc.Version, tuple(routes), services, limits, workspaces)


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


def _has_workspaces(doc: _Configuration) -> bool:
    return any(_is_workspace(item) for item in doc.Resources)


def _is_workspace(item: Any) -> bool:
    return isinstance(item, dict) and item.get("ResourceKind") == "Tenants"


def _redact_workspace(item: dict[str, Any]) -> dict[str, Any]:
    meta, spec = item.get("Meta"), item.get("Spec", {})
    meta = meta if isinstance(meta, dict) else {}
    if not isinstance(spec, dict):
        return {"ResourceKind": "Tenants", "Spec": None}
    keys = spec.get("ApiKeys")
    keys = keys if isinstance(keys, list) else []
    redacted = {name: spec[name] for name in ("Priority", "RatePerS", "Burst") if name in spec}
    redacted["KeyDigests"] = [key_digest(key.encode()) for key in keys if isinstance(key, str)]
    return {
        "ResourceKind": "Tenants",
        "Meta": {"Name": meta["Name"]} if "Name" in meta else {},
        "Spec": redacted,
    }


def _remove_keys(value: Any) -> Any:
    """Return a resource that is no workspace without fields that are named like those of keys."""
    if isinstance(value, list):
        return [_remove_keys(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {name: _remove_keys(item) for name, item in value.items() if name.lower() != _KEYS_FIELD}


_Model = TypeVar("_Model")


def _convert_readable(spec: dict[str, Any], model: type[_Model], *needed: str) -> _Model:
    """Convert the fields of a resource to a model; fields that do not fit it have their default.

    :param needed: Fields without which the resource means nothing.
    :raises ProtocolError: If one of these does not fit.
    """
    readable = {}
    for field in msgspec.structs.fields(model):
        if field.name not in spec:
            continue
        try:
            readable[field.name] = convert(spec[field.name], field.type)
        except ProtocolError:
            if field.name in needed:
                raise
    return convert(readable, model)


def _route(name: str, spec: dict[str, Any]) -> Route:
    """Return a route.

    A route of which no service can be read is kept, so that its requests are refused instead of
    matching another route.
    """
    item = _convert_readable(spec, _Route, "Host", "Prefix", "TimeoutMs")
    if item.Split:
        shares = tuple(Share(part.Service, part.Weight) for part in item.Split)
    elif item.Service and spec.get("Split") is None:
        shares = (Share(item.Service, 1.0),)
    else:
        logger.warning("route %s has no service", name)
        shares = ()
    timeout = item.TimeoutMs / 1000
    # Attempts that cannot be read are not taken for the default, which allows a second one.
    attempts = item.MaxAttempts if _is_readable(spec, "MaxAttempts", Integer) else 1
    return Route(
        name=name,
        host=item.Host.lower(),
        prefix=item.Prefix,
        kind=_KINDS.get(item.Kind, RequestKind.NON_IDEMPOTENT),
        shares=shares,
        timeout_seconds=timeout,
        objective_seconds=item.SloMs / 1000 or timeout,
        max_attempts=max(1, attempts),
        priority=item.Priority,
        public=item.Public,
    )


def _is_readable(spec: dict[str, Any], name: str, kind: Any) -> bool:
    """Return whether a field is absent or fits a type."""
    if name not in spec:
        return True
    try:
        convert(spec[name], kind)
    except ProtocolError:
        return False
    return True


def _workspace(name: str, spec: _Workspace) -> Workspace:
    if not _ID.fullmatch(name):
        raise ProtocolError("the name does not fit into a header")
    return Workspace(
        name, frozenset(spec.KeyDigests), spec.Priority, spec.RatePerS or math.inf, spec.Burst
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
