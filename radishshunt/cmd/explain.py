"""The ``explain`` command: how a key, or a request to a host on the users' platform, is routed."""

from __future__ import annotations

import json
from typing import Annotated
from urllib.parse import quote

import typer

from radishshunt.cmd.admin_client import AdminClient, AsJson, CaFile, CertFile, Token
from radishshunt.cmd.explain_gateway import explain_request


def explain(
    service: Annotated[
        str, typer.Argument(help="Name of a service; with --gateway, host of the request.")
    ],
    key: Annotated[
        str,
        typer.Argument(metavar="KEY", help="Key as sent by callers; with --gateway, its path."),
    ],
    admin: Annotated[
        str,
        typer.Option("--admin", envvar="RADISHSHUNT_ADMIN", help="URL of the administration API."),
    ] = "",
    token: Token = "",
    ca: CaFile = None,
    cert: CertFile = None,
    gateway: Annotated[
        str, typer.Option(help="Metrics address IP:PORT of a host on the users' platform.")
    ] = "",
    request_key: Annotated[
        str, typer.Option("--key", help="With --gateway: key that the target must own.")
    ] = "",
    method: Annotated[str, typer.Option(help="With --gateway: method of the request.")] = "",
    workspace: Annotated[
        str, typer.Option(help="With --gateway: workspace whose API key the request has.")
    ] = "",
    body_bytes: Annotated[
        str, typer.Option(metavar="INTEGER", help="With --gateway: size of the body.")
    ] = "",
    deadline: Annotated[
        str, typer.Option(metavar="SECONDS", help="With --gateway: how long the caller waits.")
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Show the owner, epoch and dispatcher of a key, and the reason for the assignment.

    With --gateway, show where a request would go now and why, without sending it.
    """
    options = {
        "key": request_key,
        "method": method,
        "workspace": workspace,
        "body_bytes": body_bytes,
        "deadline": deadline,
    }
    given = {name: value for name, value in options.items() if value}
    if gateway:
        explain_request(gateway, {"host": service, "path": key, **given}, as_json=as_json)
        return
    if given:
        names = ", ".join(f"--{name.replace('_', '-')}" for name in given)
        raise typer.BadParameter("needs --gateway", param_hint=names)
    if not admin:
        raise typer.BadParameter("missing; --gateway may stand instead", param_hint="--admin")
    client = AdminClient(admin, token, ca, cert)
    path = f"/v1/services/{quote(service, safe='')}/explain"
    doc = client.call("GET", path, params={"key": key})
    if as_json:
        typer.echo(json.dumps(doc))
        return
    for name, value in doc.items():
        typer.echo(f"{name:<12} {'-' if value is None else value}")
