"""The ``release`` commands: submit a note, show its state and its history."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from radishshunt.cmd.admin_client import AdminClient, AdminUrl, AsJson, CaFile, CertFile, Token
from radishshunt.errors import ExitStatus
from radishshunt.release.note import parse_note

release_app = typer.Typer(help="Release notes.", no_args_is_help=True)


@release_app.command()
def submit(
    file: Annotated[Path, typer.Argument(help="Release note, as YAML.")],
    admin: AdminUrl,
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    as_json: AsJson = False,
) -> None:
    """Submit a release note.

    Exit status: 0 accepted, 3 invalid, 4 another note was accepted first, 5 not accepted because
    the platform is down, 6 unknown (submit the same note again), 7 the host does not answer.
    """
    text = file.read_text("utf-8")
    parse_note(text, str(file))
    client = AdminClient(admin, token, ca, cert)
    doc = client.call("POST", "/v1/releases", content=text.encode())
    if as_json:
        typer.echo(json.dumps(doc))
    else:
        typer.echo(f"accepted as version {doc['version']}, digest {doc['digest'][:12]}")


@release_app.command()
def status(
    admin: AdminUrl,
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    as_json: AsJson = False,
) -> None:
    """Show host by host which version is in force.

    Exit status: 0 if all hosts have the same version, 1 if one differs or does not answer.
    """
    doc = AdminClient(admin, token, ca, cert).call("GET", "/v1/hosts")
    if as_json:
        typer.echo(json.dumps(doc))
    else:
        _print_hosts(doc)
    if any(item["state"] in ("differs", "no-answer") for item in doc["hosts"]):
        raise typer.Exit(ExitStatus.FAILED)


@release_app.command()
def history(
    admin: AdminUrl,
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    as_json: AsJson = False,
) -> None:
    """List the accepted notes, oldest first."""
    doc = AdminClient(admin, token, ca, cert).call("GET", "/v1/releases")
    if as_json:
        typer.echo(json.dumps(doc))
        return
    for note in doc["releases"]:
        typer.echo(f"{note['version']:>6}  {note['author']:<16}  {note['summary']}")


def _print_hosts(doc: dict[str, Any]) -> None:
    out = [name for name, state in sorted(doc["domains"].items()) if state == "out"]
    typer.echo(f"version {doc['version']}, digest {doc['digest'][:12]}")
    if out:
        typer.echo(f"domains taken out: {', '.join(out)}")
    for item in doc["hosts"]:
        version = "-" if item["version"] is None else str(item["version"])
        mark = "" if item["state"] == "ok" else f"  ! {item['state']}"
        line = f"{item['host']:<20} {item['domain']:<20} version {version:>6}{mark}"
        typer.echo(line.rstrip())
