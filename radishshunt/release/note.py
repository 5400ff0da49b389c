"""Release notes: their YAML form, their checks and their effect."""

from __future__ import annotations

from dataclasses import asdict
from hashlib import sha256
from ipaddress import ip_address
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from radishshunt.errors import SettingsError
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec
from radishshunt.util.yaml_documents import load_document, validate

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an address is an IP number, a colon and a port") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("a port is a number from 1 to 65535")
    return value


Address = Annotated[str, AfterValidator(_check_address)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceEntry(_Part):
    """A service in the ``added`` part of a note."""

    keyed: bool
    slices: Annotated[int, Field(ge=1, le=65536)] = 1024
    grant_seconds: Annotated[float, Field(ge=0.5, le=30)] = 1.2


class TargetEntry(_Part):
    """A target in the ``added`` part of a note."""

    service: Name
    address: Address
    domain: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 3
    connections: Annotated[int, Field(ge=2, le=100_000)] = 120
    checks_fences: bool = True
    cold_slots: Annotated[int, Field(ge=1, le=10_000)] = 1
    cold_seconds: Annotated[float, Field(ge=0, le=3600)] = 10.0


class ServiceChange(_Part):
    """A service in the ``changed`` part of a note; unnamed members stay as they are."""

    grant_seconds: Annotated[float, Field(ge=0.5, le=30)] | None = None


class TargetChange(_Part):
    """A target in the ``changed`` part of a note; unnamed members stay as they are."""

    address: Address | None = None
    domain: Name | None = None
    slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    connections: Annotated[int, Field(ge=2, le=100_000)] | None = None
    checks_fences: bool | None = None
    cold_slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    cold_seconds: Annotated[float, Field(ge=0, le=3600)] | None = None


class Added(_Part):
    """What a note adds."""

    domains: list[Name] = []
    services: dict[Name, ServiceEntry] = {}
    targets: dict[Name, TargetEntry] = {}


class Changed(_Part):
    """What a note changes."""

    services: dict[Name, ServiceChange] = {}
    targets: dict[Name, TargetChange] = {}


class Names(_Part):
    """What a note withdraws."""

    domains: list[Name] = []
    services: list[Name] = []
    targets: list[Name] = []


class DomainNames(_Part):
    """Failure domains that a note takes out or brings back."""

    domains: list[Name] = []


class ReleaseNote(_Part):
    """A release note.

    :ivar predecessor: Version of the note that this one follows, 0 for the first.
    """

    predecessor: Annotated[int, Field(ge=0)]
    author: str = ""
    summary: str = ""
    added: Added = Added()
    changed: Changed = Changed()
    withdrawn: Names = Names()
    taken_out: DomainNames = DomainNames()
    brought_back: DomainNames = DomainNames()

    @property
    def version(self) -> int:
        """Version that the note gets when it is accepted."""
        return self.predecessor + 1

    @property
    def digest(self) -> str:
        """Digest of the note's content; equal for the same note written differently."""
        return sha256(self.model_dump_json().encode()).hexdigest()


def parse_note(text: str, source: str = "release note") -> ReleaseNote:
    """Read a release note.

    :param source: Name of the document for messages, for example a file's path.
    :raises SettingsError: With every problem, each with line and path.
    """
    document = load_document(text, source)
    return validate(ReleaseNote, document)


def apply_note(catalog: Catalog, note: ReleaseNote) -> Catalog:
    """Return the catalog that holds after a note.

    :raises SettingsError: With every part of the note that does not fit the catalog.
    """
    problems: list[str] = []
    domains, services, targets = (
        dict(catalog.domains),
        dict(catalog.services),
        dict(catalog.targets),
    )
    _remove(note.withdrawn.targets, targets, "targets", problems)
    _remove(note.withdrawn.services, services, "services", problems)
    _remove(note.withdrawn.domains, domains, "domains", problems)
    for name in note.added.domains:
        _add(name, DomainState.IN, domains, "domains", problems)
    for name, entry in note.added.services.items():
        _add(name, ServiceSpec(name, **entry.model_dump()), services, "services", problems)
    for name, entry in note.added.targets.items():
        _add(name, TargetSpec(name, **entry.model_dump()), targets, "targets", problems)
    _change(note.changed.services, services, ServiceSpec, "services", problems)
    _change(note.changed.targets, targets, TargetSpec, "targets", problems)
    _set_states(note.taken_out.domains, DomainState.OUT, "taken_out", domains, problems)
    _set_states(note.brought_back.domains, DomainState.IN, "brought_back", domains, problems)
    for target in targets.values():
        if target.service not in services:
            problems.append(f"targets.{target.name}: service {target.service} is not known")
        if target.domain not in domains:
            problems.append(f"targets.{target.name}: domain {target.domain} is not known")
    if problems:
        raise SettingsError(problems)
    return Catalog(note.version, note.digest, domains, services, targets)


def _add(name: str, value: Any, into: dict, kind: str, problems: list[str]) -> None:
    if name in into:
        problems.append(f"added.{kind}.{name}: exists already")
    into[name] = value


def _remove(names: list[str], items: dict, kind: str, problems: list[str]) -> None:
    for name in names:
        if items.pop(name, None) is None:
            problems.append(f"withdrawn.{kind}: {name} is not known")


def _change(
    changes: dict[str, Any], items: dict, cls: type, kind: str, problems: list[str]
) -> None:
    for name, change in changes.items():
        if name not in items:
            problems.append(f"changed.{kind}.{name}: is not known")
            continue
        members = asdict(items[name]) | change.model_dump(exclude_none=True)
        items[name] = cls(**members)


def _set_states(
    names: list[str], state: DomainState, part: str, domains: dict, problems: list[str]
) -> None:
    for name in names:
        if name not in domains:
            problems.append(f"{part}.domains: {name} is not known")
        domains[name] = state
