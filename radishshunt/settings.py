"""Settings of an entry host, read from YAML and validated."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from radishshunt.release.note import Address, Name
from radishshunt.util.yaml_documents import load_document, validate


class _Section(BaseModel):
    """Base of the sections of the settings: immutable, and unknown members are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(_Section):
    """Who this host is."""

    name: Name = Field(description="Unique name of the host.")
    domain: Name = Field(description="Failure domain that the host is in.")


class TlsSection(_Section):
    """Files of a listener's TLS identity."""

    certificate: Path = Field(description="PEM file with the certificate chain.")
    key: Path = Field(description="PEM file with the private key.")
    client_ca: Path | None = Field(
        None, description="PEM file of the authority that clients' certificates must come from."
    )


class CallersSection(_Section):
    """Listener for callers."""

    address: Address = Field(description="ip:port to listen on.")
    tls: TlsSection | None = Field(None, description="TLS files; without them plain HTTP.")


class AdminSection(_Section):
    """Listener of the administration API."""

    address: Address = Field(description="ip:port to listen on.")
    token: Annotated[str, Field(min_length=16)] | None = Field(
        None, description="Bearer token, at least 16 characters."
    )
    tls: TlsSection | None = Field(None, description="TLS files; with client_ca, mutual TLS.")

    @model_validator(mode="after")
    def _check_authentication(self) -> AdminSection:
        if self.token is None and (self.tls is None or self.tls.client_ca is None):
            raise ValueError("needs a token, or tls with client_ca")
        return self


class PeersSection(_Section):
    """Listener for other hosts, and the first hosts to ask."""

    address: Address = Field(description="ip:port to listen on.")
    advertise: Address | None = Field(
        None, description="ip:port that other hosts reach this one at, if not the address."
    )
    seeds: list[Address] = Field([], description="Peers to ask when the platform is down.")


class PlatformSection(_Section):
    """Where the platform's services are."""

    url: Annotated[str, Field(pattern=r"^https?://")] = Field(description="Base URL.")


class LimitsSection(_Section):
    """Limits that protect the host."""

    body_bytes: Annotated[int, Field(ge=0, le=1 << 30)] = Field(
        8 * 1024 * 1024, description="Largest body of a request or a recorded answer, in bytes."
    )
    body_memory_bytes: Annotated[int, Field(ge=1 << 20)] = Field(
        256 * 1024 * 1024, description="Memory for request bodies waiting at once, in bytes."
    )
    callers: Annotated[int, Field(ge=1)] = Field(
        2000, description="Requests of callers served at once."
    )
    connections: Annotated[int, Field(ge=1)] = Field(
        4000, description="Connections of callers open at once."
    )
    default_timeout_seconds: Annotated[float, Field(gt=0, le=300)] = Field(
        2.0, description="Time for a request without Request-Timeout."
    )
    max_timeout_seconds: Annotated[float, Field(gt=0, le=300)] = Field(
        30.0, description="Largest Request-Timeout."
    )
    queue_per_target: Annotated[int, Field(ge=0)] = Field(
        64, description="Requests that may wait for one target."
    )
    stop_seconds: Annotated[float, Field(gt=0)] = Field(
        30.0, description="Time for running requests after TERM."
    )

    @model_validator(mode="after")
    def _check_timeouts(self) -> LimitsSection:
        if self.default_timeout_seconds > self.max_timeout_seconds:
            raise ValueError("default_timeout_seconds is larger than max_timeout_seconds")
        return self


class Settings(_Section):
    """Settings of one entry host."""

    host: HostSection
    callers: CallersSection
    admin: AdminSection
    peers: PeersSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()

    @model_validator(mode="after")
    def _check_addresses(self) -> Settings:
        addresses = [self.callers.address, self.admin.address, self.peers.address]
        if len(set(addresses)) < len(addresses):
            raise ValueError("callers, admin and peers need different addresses")
        return self


def load_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate settings.

    :param source: Name of the document in error messages, for example the path of a file.
    :raises SettingsError: With all problems, each with its line and its path in the document.
    """
    return validate(Settings, load_document(text, source))
