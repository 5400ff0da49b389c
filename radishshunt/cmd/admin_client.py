"""Client of the administration API and options shared by the commands that use it."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

from radishshunt.errors import (
    AdminUnreachable,
    ConflictError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    RadishshuntError,
    SettingsError,
)

CALL_TIMEOUT_SECONDS = 15.0

AdminUrl = Annotated[
    str, typer.Option("--admin", envvar="RADISHSHUNT_ADMIN", help="URL of the administration API.")
]
Token = Annotated[str, typer.Option(envvar="RADISHSHUNT_TOKEN", help="Bearer token.")]
CaFile = Annotated[
    Path | None,
    typer.Option("--ca", envvar="RADISHSHUNT_CA", help="PEM file with the API's CA certificate."),
]
CertFile = Annotated[
    Path | None,
    typer.Option(
        "--cert", envvar="RADISHSHUNT_CERT", help="PEM file with the client certificate and key."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Write one JSON document.")]

_ERRORS_BY_STATUS: dict[int, type[RadishshuntError]] = {
    409: ConflictError,
    503: PlatformUnavailable,
    504: PlatformOutcomeUnknown,
}


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Sends requests to the administration API of one host.

    :param ca: PEM file with the certificate authority that signed the API's certificate.
    :param cert: PEM file with a client certificate and its key, for mutual TLS.
    """

    url: str
    token: str = ""
    ca: Path | None = None
    cert: Path | None = None

    def call(self, method: str, path: str, **options: Any) -> Any:
        """Send a request and return the JSON document of the response.

        :raises RadishshuntError: If the request fails; the subclass corresponds to the response's
            status or to the connection error.
        """
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            with httpx.Client(
                verify=self._ssl_context(), timeout=CALL_TIMEOUT_SECONDS, trust_env=False
            ) as client:
                url = self.url.rstrip("/") + path
                resp = client.request(method, url, headers=headers, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise AdminUnreachable(f"{self.url}: {exc}") from exc
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as exc:
            raise RadishshuntError(f"{self.url}: {exc}") from exc
        except httpx.HTTPError as exc:
            if method == "GET":
                raise AdminUnreachable(f"{self.url}: {exc!r}") from exc
            message = f"{self.url}: {exc!r}; submit the same note again to find out"
            raise PlatformOutcomeUnknown(message) from exc
        if resp.status_code == 200:
            return resp.json()
        raise _response_error(method, resp)

    def _ssl_context(self) -> ssl.SSLContext | bool:
        if not self.url.startswith("https:"):
            return True
        try:
            context = ssl.create_default_context(cafile=self.ca)
            if self.cert is not None:
                context.load_cert_chain(self.cert)
        except (OSError, ssl.SSLError) as exc:
            raise SettingsError([f"{self.ca or self.cert}: {exc}"]) from exc
        return context


def _response_error(method: str, resp: httpx.Response) -> RadishshuntError:
    detail = _detail(resp)
    if resp.status_code == 422:
        return SettingsError(detail.splitlines())
    cls = _ERRORS_BY_STATUS.get(resp.status_code)
    if cls is None:
        # The host may have failed unexpectedly after it accepted the note.
        cls = (
            PlatformOutcomeUnknown
            if method != "GET" and resp.status_code >= 500
            else RadishshuntError
        )
    return cls(detail)


def _detail(resp: httpx.Response) -> str:
    try:
        return resp.json()["detail"]
    except (ValueError, KeyError, TypeError):
        return f"status {resp.status_code}"
