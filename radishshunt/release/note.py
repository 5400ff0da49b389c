"""Release notes: YAML format, validation and effect on the catalog."""

from __future__ import annotations

import json
from collections import Counter
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
        raise ValueError("an address must consist of an IP address, a colon and a port") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("a port must be a number from 1 to 65535")
    return value


Address = Annotated[str, AfterValidator(_check_address)]


class _Part(BaseModel):
    """Base of a note and its parts: immutable, and unknown members are errors."""

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
    """A service in the ``changed`` part of a note; omitted members keep their values.

    :ivar keyed: Must have the value in force if given; :func:`apply_note` rejects a change.
    :ivar slices: Like ``keyed``.
    """

    keyed: bool | None = None
    slices: int | None = None
    grant_seconds: Annotated[float, Field(ge=0.5, le=30)] | None = None


class TargetChange(_Part):
    """A target in the ``changed`` part of a note; omitted members keep their values."""

    address: Address | None = None
    domain: Name | None = None
    slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    connections: Annotated[int, Field(ge=2, le=100_000)] | None = None
    checks_fences: bool | None = None
    cold_slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    cold_seconds: Annotated[float, Field(ge=0, le=3600)] | None = None


class Added(_Part):
    """Domains, services and targets that a note adds."""

    domains: list[Name] = []
    services: dict[Name, ServiceEntry] = {}
    targets: dict[Name, TargetEntry] = {}


class Changed(_Part):
    """Services and targets that a note changes."""

    services: dict[Name, ServiceChange] = {}
    targets: dict[Name, TargetChange] = {}


class WithdrawnNames(_Part):
    """Names of domains, services and targets that a note withdraws."""

    domains: list[Name] = []
    services: list[Name] = []
    targets: list[Name] = []


class DomainNames(_Part):
    """Names of failure domains that a note takes out or brings back."""

    domains: list[Name] = []


class ReleaseNote(_Part):
    """A release note.

    :ivar predecessor: Version of the preceding note, 0 for the first note.
    """

    predecessor: Annotated[int, Field(ge=0)]
    author: str = ""
    summary: str = ""
    added: Added = Added()
    changed: Changed = Changed()
    withdrawn: WithdrawnNames = WithdrawnNames()
    taken_out: DomainNames = DomainNames()
    brought_back: DomainNames = DomainNames()

    @property
    def version(self) -> int:
        """Version that results when the note is accepted."""
        return self.predecessor + 1

    @property
    def digest(self) -> str:
        """Digest of the note's content, independent of the order in which it is written."""
        content = _canonical(self.model_dump(mode="json"))
        return sha256(json.dumps(content, sort_keys=True).encode()).hexdigest()


def parse_note(text: str, source: str = "release note") -> ReleaseNote:
    """Parse and validate a release note.

    :param source: Name of the document in messages, for example a file's path.
    :raises SettingsError: With all problems, each with line and path.
    """
    document = load_document(text, source)
    return validate(ReleaseNote, document)


def apply_note(catalog: Catalog, note: ReleaseNote) -> Catalog:
    """Return the catalog that results from a note that is not accepted yet.

    :raises SettingsError: With all parts of the note that do not fit the catalog.
    """
    problems = _find_contradictions(note)
    next_catalog = _apply(catalog, note, problems)
    problems += _find_inconsistencies(next_catalog, note)
    if problems:
        raise SettingsError(problems)
    return next_catalog


def apply_accepted(catalog: Catalog, note: ReleaseNote) -> Catalog:
    """Return the catalog that results from an accepted note.

    The note is not validated, because an accepted note stays in force even if a later release of
    this program has stricter checks.
    """
    return _apply(catalog, note, [])


def _apply(catalog: Catalog, note: ReleaseNote, problems: list[str]) -> Catalog:
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
    _check_immutable_members(note, services, problems)
    _change(note.changed.services, services, ServiceSpec, "services", problems)
    _change(note.changed.targets, targets, TargetSpec, "targets", problems)
    _set_domain_states(note.taken_out.domains, DomainState.OUT, "taken_out", domains, problems)
    _set_domain_states(note.brought_back.domains, DomainState.IN, "brought_back", domains, problems)
    return Catalog(note.version, note.digest, domains, services, targets)


def _canonical(value: Any) -> Any:
    """Return a JSON value with sorted lists, since all lists of a note are sets of names."""
    if isinstance(value, dict):
        return {name: _canonical(item) for name, item in value.items()}
    return sorted(value) if isinstance(value, list) else value


def _find_contradictions(note: ReleaseNote) -> list[str]:
    """Return the parts of a note that contradict each other."""
    problems = []
    lists = {
        "added.domains": note.added.domains,
        "withdrawn.domains": note.withdrawn.domains,
        "withdrawn.services": note.withdrawn.services,
        "withdrawn.targets": note.withdrawn.targets,
        "taken_out.domains": note.taken_out.domains,
        "brought_back.domains": note.brought_back.domains,
    }
    for path, names in lists.items():
        problems += [f"{path}: {n} is listed more than once" for n in sorted(_duplicates(names))]
    # If a note could withdraw a target and add one of the same name, the name would refer to
    # another process from one version to the next. With two notes, there is a version in between
    # in which the old process gets no work. The same rule applies to domains and services.
    for kind in ("domains", "services", "targets"):
        withdrawn = set(getattr(note.withdrawn, kind))
        overlap = sorted(withdrawn & set(getattr(note.added, kind)))
        problems += [f"added.{kind}.{n}: is withdrawn by the same note" for n in overlap]
    for kind in ("services", "targets"):
        overlap = sorted(set(getattr(note.added, kind)) & set(getattr(note.changed, kind)))
        problems += [f"changed.{kind}.{n}: is added by the same note" for n in overlap]
    overlap = sorted(set(note.taken_out.domains) & set(note.brought_back.domains))
    problems += [f"brought_back.domains: {n} is taken out by the same note" for n in overlap]
    return problems


def _duplicates(names: list[str]) -> set[str]:
    return {name for name, count in Counter(names).items() if count > 1}


def _check_immutable_members(
    note: ReleaseNote, services: dict[str, ServiceSpec], problems: list[str]
) -> None:
    for name, change in note.changed.services.items():
        spec = services.get(name)
        for member in ("keyed", "slices"):
            value = getattr(change, member)
            if spec is not None and value not in (None, getattr(spec, member)):
                problems.append(
                    f"changed.services.{name}.{member}: cannot change, because every key "
                    "would move; add a service with another name"
                )


def _find_inconsistencies(catalog: Catalog, note: ReleaseNote) -> list[str]:
    """Return the problems of the resulting catalog.

    The note is used only to tell withdrawn names from unknown ones.
    """
    problems = []
    withdrawn_services = set(note.withdrawn.services)
    withdrawn_domains = set(note.withdrawn.domains)
    target_at_address: dict[str, str] = {}
    usable_services: set[str] = set()
    for target in catalog.targets.values():
        path = f"targets.{target.name}"
        if target.service not in catalog.services:
            is_withdrawn = target.service in withdrawn_services
            problems.append(
                f"{path}: service {target.service} is {'withdrawn' if is_withdrawn else 'unknown'}"
            )
        if target.domain not in catalog.domains:
            is_withdrawn = target.domain in withdrawn_domains
            problems.append(
                f"{path}: domain {target.domain} is {'withdrawn' if is_withdrawn else 'unknown'}"
            )
        other = target_at_address.setdefault(target.address, target.name)
        if other != target.name:
            problems.append(f"{path}: address {target.address} is already used by target {other}")
        if target.cold_slots > target.slots:
            problems.append(f"{path}: cold_slots is larger than slots")
        # One connection is reserved for grants and fences.
        if target.connections <= target.slots:
            problems.append(f"{path}: connections is not larger than slots")
        if catalog.domains.get(target.domain) is DomainState.IN:
            usable_services.add(target.service)
    problems += [
        f"services.{name}: has no target in a domain that accepts work"
        for name in sorted(catalog.services.keys() - usable_services)
    ]
    return problems


def _add(name: str, value: Any, items: dict, kind: str, problems: list[str]) -> None:
    if name in items:
        problems.append(f"added.{kind}.{name}: already exists")
    items[name] = value


def _remove(names: list[str], items: dict, kind: str, problems: list[str]) -> None:
    for name in names:
        if items.pop(name, None) is None:
            problems.append(f"withdrawn.{kind}: {name} does not exist")


def _change(
    changes: dict[str, Any], items: dict, cls: type, kind: str, problems: list[str]
) -> None:
    for name, change in changes.items():
        if name not in items:
            problems.append(f"changed.{kind}.{name}: does not exist")
            continue
        members = asdict(items[name]) | change.model_dump(exclude_none=True)
        items[name] = cls(**members)


def _set_domain_states(
    names: list[str], state: DomainState, part: str, domains: dict, problems: list[str]
) -> None:
    for name in names:
        if name not in domains:
            problems.append(f"{part}.domains: {name} does not exist")
            continue
        domains[name] = state
