"""The ``explain`` command: how a key is routed."""

from __future__ import annotations

import json
from typing import Annotated
from urllib.parse import quote

import typer

from radishshunt.cmd.admin_client import AdminClient, AdminUrl, AsJson, CaFile, CertFile, Token


def explain(
    service: Annotated[str, typer.Argument(help="Name of a service.")],
    key: Annotated[str, typer.Argument(help="Key as sent by callers.")],
    admin: AdminUrl,
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    as_json: AsJson = False,
) -> None:
    """Show the owner, epoch and dispatcher of a key, and the reason for the assignment."""
    client = AdminClient(admin, token, ca, cert)
    path = f"/v1/services/{quote(service, safe='')}/explain"
    doc = client.call("GET", path, params={"key": key})
    if as_json:
        typer.echo(json.dumps(doc))
        return
    for name, value in doc.items():
        typer.echo(f"{name:<12} {'-' if value is None else value}")
