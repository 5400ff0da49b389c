"""The platform's settings file: lines of the form ``a.b=value``."""

from __future__ import annotations

import logging
from ipaddress import ip_network
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from radishshunt.errors import SettingsError
from radishshunt.gateway.settings import Bounds, HostSettings
from radishshunt.platform.store import RESTORES_FIELD_BYTES

if TYPE_CHECKING:
    from pathlib import Path

logger = logging.getLogger(__name__)

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:]+:\d{1,5}$")]
PortRange = Annotated[str, msgspec.Meta(pattern=r"^\d{1,5},\d{1,5}$")]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
MAX_NUMBER = 1e12
PositiveNumber = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Offset of the metrics port from the first port of the range, which other hosts connect to.
METRICS_PORT_OFFSET = 1

# Type of each field that has to be present.
_REQUIRED_FIELDS: dict[str, Any] = {
    "Self.NodeId": NonEmptyText,
    "Self.Ip": NonEmptyText,
    "Self.Zone": NonEmptyText,
    "Network.Bind.FrontAddr": Address,
    "Network.Bind.Ready": Address,
    "Network.PortRange": PortRange,
    "Platform.Platform.Addr": Address,
}
# Type and default of each other field.
_OPTIONAL_FIELDS: dict[str, tuple[Any, Any]] = {
    # Usable share of a core, and the speed of that core as a multiple of one core.
    "Self.Limits.CpuShare": (PositiveNumber, 1.0),
    "Self.Limits.Cores": (PositiveNumber, 1.0),
    "Self.Limits.LinkMbps": (PositiveNumber, 1000.0),
    "Self.Limits.MemoryMb": (PositiveNumber, 300.0),
    "Self.Bootstrap": (bool, False),
    "Network.Seeds": (str, ""),
    "Platform.HeartbeatMs": (PositiveNumber, 1000.0),
    "Platform.Platform.RowBytes": (PositiveNumber, 65536.0),
    "Terms.Bounds.HoldMaxMs": (PositiveNumber, Bounds().max_grant_seconds * 1000),
    "Terms.Bounds.GraceS": (PositiveNumber, Bounds().stop_grace_seconds),
    "Terms.Bounds.DrainMs": (PositiveNumber, Bounds().drain_seconds * 1000),
    "Terms.Bounds.ApplyMs": (PositiveNumber, Bounds().apply_seconds * 1000),
    "Terms.Bounds.EvacuateMs": (PositiveNumber, Bounds().evacuate_seconds * 1000),
    "Terms.Bounds.ContactMs": (PositiveNumber, Bounds().contact_seconds * 1000),
    "Terms.Bounds.RetryRatio": (NonNegativeNumber, Bounds().retry_ratio),
    "Terms.Bounds.RetrySlack": (NonNegativeNumber, Bounds().retry_slack),
    "Terms.Bounds.RetryWindowS": (PositiveNumber, Bounds().retry_window_seconds),
    "Terms.Bounds.ColdMultiplier": (NonNegativeNumber, Bounds().cold_multiplier),
    "Terms.Bounds.ColdSlack": (NonNegativeNumber, Bounds().cold_slack),
    "Terms.Bounds.StrictRevoke": (bool, Bounds().strict_revoke),
    "Terms.Bounds.RevokeMs": (PositiveNumber, Bounds().revoke_seconds * 1000),
    "Terms.Bounds.QuotaWindowS": (PositiveNumber, Bounds().quota_window_seconds),
    "Terms.Bounds.QuotaExcess": (NonNegativeNumber, Bounds().quota_excess),
    "Terms.Bounds.QuotaSlack": (NonNegativeNumber, Bounds().quota_slack),
    # Not written by the platform; without it, the number of hosts decides.
    "Router.LearnedTargetSpeed": (bool, None),
    "Router.ExplainFrom": (str, ""),
}


class SettingsFile:
    """The settings file, which the platform may replace at any time.

    It may be absent or incomplete for a moment.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        # Content that was last read, whether or not it was valid; ``None`` if it was unreadable.
        self._content: bytes | None = None

    def load(self) -> HostSettings:
        """Read the settings.

        :raises SettingsError: With one line for each problem.
        """
        self._content = None
        try:
            self._content = self._path.read_bytes()
            text = self._content.decode("utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise SettingsError([f"{self._path}: {exc}"]) from exc
        return parse_host_settings(text, str(self._path))

    def has_changed(self) -> bool:
        """Return whether the content differs from the one that was last read.

        An unreadable file has not changed yet.
        """
        try:
            return self._path.read_bytes() != self._content
        except OSError as exc:
            logger.warning("reading the settings file failed: %s", exc)
            return False


def parse_host_settings(text: str, source: str) -> HostSettings:
    """Parse settings and ignore unknown fields.

    :param source: Name of the file, for error messages.
    :raises SettingsError: With one line for each problem.
    """
    fields, problems = _parse_fields(text, source)
    values = {name: default for name, (_, default) in _OPTIONAL_FIELDS.items()}
    types = _REQUIRED_FIELDS | {name: kind for name, (kind, _) in _OPTIONAL_FIELDS.items()}
    for name, kind in types.items():
        if name not in fields:
            if name in _REQUIRED_FIELDS:
                problems.append(f"{source}: {name}: the field is missing")
            continue
        line, value = fields[name]
        try:
            values[name] = msgspec.convert(value, kind, strict=False)
        except msgspec.ValidationError as exc:
            problems.append(f"{source}:{line}: {name}: {exc}")
    try:
        _networks(values["Router.ExplainFrom"])
    except ValueError as exc:
        line, _ = fields["Router.ExplainFrom"]
        problems.append(f"{source}:{line}: Router.ExplainFrom: {exc}")
    if problems:
        raise SettingsError(problems)
    return _host_settings(values)


def _host_settings(values: dict[str, Any]) -> HostSettings:
    first_port = int(values["Network.PortRange"].partition(",")[0])
    return HostSettings(
        name=values["Self.NodeId"],
        ip=values["Self.Ip"],
        domain=values["Self.Zone"],
        callers_address=values["Network.Bind.FrontAddr"],
        readiness_address=values["Network.Bind.Ready"],
        peer_port=first_port,
        metrics_port=first_port + METRICS_PORT_OFFSET,
        store_address=values["Platform.Platform.Addr"],
        seed_ips=tuple(
            seed.rpartition(":")[0] for seed in values["Network.Seeds"].split(",") if seed
        ),
        first_start=values["Self.Bootstrap"],
        heartbeat_seconds=values["Platform.HeartbeatMs"] / 1000,
        cores=values["Self.Limits.CpuShare"] * values["Self.Limits.Cores"],
        link_mbps=values["Self.Limits.LinkMbps"],
        memory_bytes=int(values["Self.Limits.MemoryMb"] * 1_000_000),
        learned_target_speed=values["Router.LearnedTargetSpeed"],
        explain_from=_networks(values["Router.ExplainFrom"]),
        max_row_bytes=int(values["Platform.Platform.RowBytes"]) - RESTORES_FIELD_BYTES,
        bounds=Bounds(
            max_grant_seconds=values["Terms.Bounds.HoldMaxMs"] / 1000,
            stop_grace_seconds=values["Terms.Bounds.GraceS"],
            drain_seconds=values["Terms.Bounds.DrainMs"] / 1000,
            apply_seconds=values["Terms.Bounds.ApplyMs"] / 1000,
            evacuate_seconds=values["Terms.Bounds.EvacuateMs"] / 1000,
            contact_seconds=values["Terms.Bounds.ContactMs"] / 1000,
            retry_ratio=values["Terms.Bounds.RetryRatio"],
            retry_slack=values["Terms.Bounds.RetrySlack"],
            retry_window_seconds=values["Terms.Bounds.RetryWindowS"],
            cold_multiplier=values["Terms.Bounds.ColdMultiplier"],
            cold_slack=values["Terms.Bounds.ColdSlack"],
            strict_revoke=values["Terms.Bounds.StrictRevoke"],
            revoke_seconds=values["Terms.Bounds.RevokeMs"] / 1000,
            quota_window_seconds=values["Terms.Bounds.QuotaWindowS"],
            quota_excess=values["Terms.Bounds.QuotaExcess"],
            quota_slack=values["Terms.Bounds.QuotaSlack"],
        ),
    )


def _networks(text: str) -> tuple[str, ...]:
    """Return the IP addresses and networks of a list that is separated by commas.

    :raises ValueError: If one of them is malformed.
    """
    return tuple(str(ip_network(item.strip())) for item in text.split(",") if item.strip())


def _parse_fields(text: str, source: str) -> tuple[dict[str, tuple[int, str]], list[str]]:
    """Return the line number and value of each field, and the problems."""
    fields: dict[str, tuple[int, str]] = {}
    problems: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = (number, value.strip())
        else:
            problems.append(f"{source}:{number}: expected a line of the form a.b=value")
    return fields, problems
