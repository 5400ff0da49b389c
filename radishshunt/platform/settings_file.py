"""The platform's settings file: lines of the form ``a.b=value``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, Field, ValidationError

from radishshunt.errors import SettingsError
from radishshunt.gateway.settings import Bounds, HostSettings

if TYPE_CHECKING:
    from pathlib import Path

Address = Annotated[str, Field(pattern=r"^[^:]+:\d{1,5}$")]
# Offset of the metrics port from the first port of the range, which other hosts connect to.
METRICS_PORT_OFFSET = 1


class _Bind(BaseModel):
    FrontAddr: Address
    Ready: Address


class _Network(BaseModel):
    Bind: _Bind
    PortRange: Annotated[str, Field(pattern=r"^\d{1,5},\d{1,5}$")]


class _Limits(BaseModel):
    # Usable share of a core, and the speed of that core as a multiple of one core.
    CpuShare: Annotated[float, Field(gt=0)] = 1.0
    Cores: Annotated[float, Field(gt=0)] = 1.0
    LinkMbps: Annotated[float, Field(gt=0)] = 1000.0


class _Self(BaseModel):
    NodeId: Annotated[str, Field(min_length=1)]
    Ip: Annotated[str, Field(min_length=1)]
    Zone: Annotated[str, Field(min_length=1)]
    Limits: _Limits = _Limits()


class _Store(BaseModel):
    Addr: Address


class _Platform(BaseModel):
    Platform: _Store
    HeartbeatMs: Annotated[float, Field(gt=0)] = 1000.0


class _Bounds(BaseModel):
    HoldMaxMs: Annotated[float, Field(gt=0)] = Bounds().max_grant_seconds * 1000
    GraceS: Annotated[float, Field(gt=0)] = Bounds().stop_grace_seconds
    DrainMs: Annotated[float, Field(gt=0)] = Bounds().drain_seconds * 1000
    ApplyMs: Annotated[float, Field(gt=0)] = Bounds().apply_seconds * 1000
    EvacuateMs: Annotated[float, Field(gt=0)] = Bounds().evacuate_seconds * 1000
    ContactMs: Annotated[float, Field(gt=0)] = Bounds().contact_seconds * 1000
    RetryRatio: Annotated[float, Field(ge=0)] = Bounds().retry_ratio
    RetrySlack: Annotated[float, Field(ge=0)] = Bounds().retry_slack
    RetryWindowS: Annotated[float, Field(gt=0)] = Bounds().retry_window_seconds
    ColdMultiplier: Annotated[float, Field(ge=0)] = Bounds().cold_multiplier
    ColdSlack: Annotated[float, Field(ge=0)] = Bounds().cold_slack


class _Terms(BaseModel):
    Bounds: _Bounds = _Bounds()


class _File(BaseModel):
    Self: _Self
    Network: _Network
    Platform: _Platform
    Terms: _Terms = _Terms()


def load_host_settings(path: Path) -> HostSettings:
    """Read a host's settings.

    :raises SettingsError: With one line for each problem.
    """
    return parse_host_settings(path.read_text("utf-8"), str(path))


def parse_host_settings(text: str, source: str) -> HostSettings:
    """Parse settings and ignore unknown fields.

    :param source: Name of the file, for error messages.
    :raises SettingsError: With one line for each problem.
    """
    doc, lines, problems = _parse_fields(text, source)
    try:
        cfg = _File.model_validate(doc)
    except ValidationError as exc:
        for error in exc.errors():
            path = ".".join(str(part) for part in error["loc"])
            line = lines.get(path)
            location = f"{source}:{line}" if line else source
            problems.append(f"{location}: {path}: {error['msg']}")
    if problems:
        raise SettingsError(problems)
    bounds = cfg.Terms.Bounds
    first_port = int(cfg.Network.PortRange.partition(",")[0])
    return HostSettings(
        name=cfg.Self.NodeId,
        ip=cfg.Self.Ip,
        domain=cfg.Self.Zone,
        callers_address=cfg.Network.Bind.FrontAddr,
        readiness_address=cfg.Network.Bind.Ready,
        peer_port=first_port,
        metrics_port=first_port + METRICS_PORT_OFFSET,
        store_address=cfg.Platform.Platform.Addr,
        heartbeat_seconds=cfg.Platform.HeartbeatMs / 1000,
        cores=cfg.Self.Limits.CpuShare * cfg.Self.Limits.Cores,
        link_mbps=cfg.Self.Limits.LinkMbps,
        bounds=Bounds(
            max_grant_seconds=bounds.HoldMaxMs / 1000,
            stop_grace_seconds=bounds.GraceS,
            drain_seconds=bounds.DrainMs / 1000,
            apply_seconds=bounds.ApplyMs / 1000,
            evacuate_seconds=bounds.EvacuateMs / 1000,
            contact_seconds=bounds.ContactMs / 1000,
            retry_ratio=bounds.RetryRatio,
            retry_slack=bounds.RetrySlack,
            retry_window_seconds=bounds.RetryWindowS,
            cold_multiplier=bounds.ColdMultiplier,
            cold_slack=bounds.ColdSlack,
        ),
    )


def _parse_fields(text: str, source: str) -> tuple[dict, dict[str, int], list[str]]:
    """Return the fields as nested dictionaries, the line of each field, and the problems."""
    doc: dict = {}
    lines: dict[str, int] = {}
    problems: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        path, separator, value = line.partition("=")
        if not separator:
            problems.append(f"{source}:{number}: expected a line of the form a.b=value")
            continue
        path = path.strip()
        lines[path] = number
        *parents, leaf = path.split(".")
        table = doc
        for parent in parents:
            table = table.setdefault(parent, {})
            if not isinstance(table, dict):
                problems.append(f"{source}:{number}: {path}: {parent} already has a value")
                break
        else:
            table[leaf] = value.strip()
    return doc, lines, problems
