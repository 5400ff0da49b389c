"""Catalog of the services, targets and failure domains in force after a release note."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, replace
from enum import Enum


class DomainState(Enum):
    """Whether the targets of a failure domain get new work."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service.

    :param keyed: Whether each key has exactly one owner.
    :param slices: Number of slices of a keyed service.
    :param grant_seconds: Duration of a grant, which bounds both execution time and failover time.
    """

    name: str
    keyed: bool
    slices: int = 1024
    grant_seconds: float = 1.2


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target.

    :param address: ``ip:port`` of the target's HTTP interface.
    :param slots: Number of requests that the target runs concurrently when it is warm.
    :param connections: Maximum number of connections that the target accepts.
    :param checks_fences: Whether the target refuses requests with an old epoch.
    :param cold_slots: Number of requests that the target runs concurrently during a cold start.
    :param cold_seconds: Duration of a cold start.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int = 3
    connections: int = 120
    checks_fences: bool = True
    cold_slots: int = 1
    cold_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """State that results from all accepted release notes.

    :param version: Number of the last accepted note, 0 for none.
    :param digest: Digest of that note.
    """

    version: int = 0
    digest: str = ""
    domains: dict[str, DomainState] = field(default_factory=dict)
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    targets: dict[str, TargetSpec] = field(default_factory=dict)

    def targets_of(self, service: str) -> list[TargetSpec]:
        """Return the targets of a service, sorted by name."""
        return sorted(
            (t for t in self.targets.values() if t.service == service), key=lambda t: t.name
        )

    def takes_work(self, target: str) -> bool:
        """Return whether a target may get new work: it is listed in a domain that is in use."""
        spec = self.targets.get(target)
        return spec is not None and self.domains.get(spec.domain) is DomainState.IN

    def to_json(self) -> bytes:
        """Return the catalog as JSON."""
        doc = asdict(self)
        doc["domains"] = {name: state.value for name, state in self.domains.items()}
        return json.dumps(doc, separators=(",", ":"), sort_keys=True).encode()

    @classmethod
    def from_json(cls, data: bytes) -> Catalog:
        """Parse a catalog from the output of :meth:`to_json`."""
        doc = json.loads(data)
        return cls(
            version=doc["version"],
            digest=doc["digest"],
            domains={name: DomainState(state) for name, state in doc["domains"].items()},
            services={name: ServiceSpec(**spec) for name, spec in doc["services"].items()},
            targets={name: TargetSpec(**spec) for name, spec in doc["targets"].items()},
        )

    def with_version(self, version: int, digest: str) -> Catalog:
        """Return a copy of the catalog with another version and digest."""
        return replace(self, version=version, digest=digest)
