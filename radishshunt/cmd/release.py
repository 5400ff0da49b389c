"""The ``release`` commands: submit a note, show its state and its history."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

from radishshunt.errors import (
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    RadishshuntError,
    SettingsError,
)
from radishshunt.release.note import parse_note

release_app = typer.Typer(help="Release notes.", no_args_is_help=True)

AdminUrl = Annotated[
    str, typer.Option("--admin", envvar="RADISHSHUNT_ADMIN", help="Administration API's URL.")
]
Token = Annotated[str, typer.Option(envvar="RADISHSHUNT_TOKEN", help="Bearer token.")]
CALL_TIMEOUT_SECONDS = 15.0
_ERRORS: dict[int, type[RadishshuntError]] = {
    409: Conflict,
    503: PlatformUnavailable,
    504: OutcomeUnknown,
}


@release_app.command()
def submit(
    file: Annotated[Path, typer.Argument(help="Release note, as YAML.")],
    admin: AdminUrl,
    token: Token = "",
) -> None:
    """Submit a release note."""
    text = file.read_text("utf-8")
    parse_note(text, str(file))
    doc = call(admin, token, "POST", "/v1/releases", content=text.encode())
    typer.echo(f"accepted as version {doc['version']}, digest {doc['digest'][:12]}")


@release_app.command()
def status(admin: AdminUrl, token: Token = "") -> None:
    """Show what is in force."""
    typer.echo(json.dumps(call(admin, token, "GET", "/v1/status"), indent=2))


@release_app.command()
def history(admin: AdminUrl, token: Token = "") -> None:
    """List the accepted notes, oldest first."""
    for note in call(admin, token, "GET", "/v1/releases")["releases"]:
        typer.echo(f"{note['version']:>6}  {note['author']:<16}  {note['summary']}")


def call(admin: str, token: str, method: str, path: str, **options: Any) -> Any:
    """Call the administration API.

    :raises RadishshuntError: Of the kind that the answer's status stands for.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        resp = httpx.request(
            method,
            admin.rstrip("/") + path,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
            **options,
        )
    except httpx.ConnectError as exc:
        raise PlatformUnavailable(f"{admin}: {exc}") from exc
    except httpx.HTTPError as exc:
        raise OutcomeUnknown(f"{admin}: {exc!r}; submit the same note again to find out") from exc
    if resp.status_code == 200:
        return resp.json()
    detail = _detail(resp)
    if resp.status_code == 422:
        raise SettingsError(detail.splitlines())
    raise _ERRORS.get(resp.status_code, RadishshuntError)(detail)


def _detail(resp: httpx.Response) -> str:
    try:
        return resp.json()["detail"]
    except (ValueError, KeyError, TypeError):
        return f"status {resp.status_code}"
