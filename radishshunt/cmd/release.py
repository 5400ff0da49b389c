"""The ``release`` commands: submit release notes, show the version in force and the history."""

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
    """Show which version is in force on each host.

    Exit status: 0 if all hosts have the same version, 1 if one differs or does not answer.
    """
    doc = AdminClient(admin, token, ca, cert).call("GET", "/v1/hosts")
    if as_json:
        typer.echo(json.dumps(doc))
    else:
        _print_hosts(doc)
    if any(host["state"] in ("differs", "no-answer") for host in doc["hosts"]):
        raise typer.Exit(ExitStatus.FAILED)


@release_app.command()
def history(
    admin: AdminUrl,
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    as_json: AsJson = False,
) -> None:
    """List the accepted release notes, oldest first."""
    doc = AdminClient(admin, token, ca, cert).call("GET", "/v1/releases")
    if as_json:
        typer.echo(json.dumps(doc))
        return
    for note in doc["releases"]:
        typer.echo(f"{note['version']:>6}  {note['author']:<16}  {note['summary']}")


def _print_hosts(doc: dict[str, Any]) -> None:
    taken_out = [name for name, state in sorted(doc["domains"].items()) if state == "out"]
    typer.echo(f"version {doc['version']}, digest {doc['digest'][:12]}")
    if taken_out:
        typer.echo(f"domains taken out: {', '.join(taken_out)}")
    for host in doc["hosts"]:
        version = "-" if host["version"] is None else str(host["version"])
        state_suffix = "" if host["state"] == "ok" else f"  ! {host['state']}"
        line = f"{host['host']:<20} {host['domain']:<20} version {version:>6}{state_suffix}"
        typer.echo(line.rstrip())
