"""Explanation of a request by a host on the users' platform, as text or as JSON."""

from __future__ import annotations

import json
import re
from typing import Any

import typer

from radishshunt.cmd.admin_client import AdminClient
from radishshunt.errors import RadishshuntError, SettingsError

_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[^:/\s@?#]+):(\d{1,5})")


def explain_request(gateway: str, params: dict[str, str], *, as_json: bool) -> None:
    """Ask a host where a request would go now, and print the answer.

    :param gateway: Metrics address of the host, ``ip:port``.
    :param params: Parameters of the question.
    :raises RadishshuntError: If the host does not answer or refuses to.
    """
    match = _ADDRESS.fullmatch(gateway)
    if match is None or not 0 < int(match[2]) < 65536:
        raise SettingsError([f"gateway: expected IP:PORT instead of {gateway!r}"])
    try:
        doc = AdminClient(f"http://{gateway}").call("GET", "/explain", params=params)
    except ValueError as exc:
        # Hosts of earlier builds answer every path with their metrics.
        raise RadishshuntError(f"{gateway}: the host does not explain requests") from exc
    if as_json:
        typer.echo(json.dumps(doc))
        return
    for line in explanation_lines(doc):
        typer.echo(line)


def explanation_lines(doc: dict[str, Any]) -> list[str]:
    """Return the lines that show an explanation."""
    cfg = doc["configuration"]
    version = "none" if cfg["version"] is None else cfg["version"]
    rows = [
        ("host", f"{doc['host']} in {doc['domain']}{', stopping' if doc['stopping'] else ''}"),
        ("state", _join(f"configuration {version}", _age(cfg["state_age"]), cfg["reason"])),
    ]
    if (route := doc["route"]) is not None:
        shares = ", ".join(_share_text(share) for share in route["shares"]) or "no service"
        rows.append(("route", f"{route['name']} ({route['kind']}, priority {route['priority']})"))
        rows.append(("services", shares))
    if (key := doc["api_key"]) is not None:
        rows.append(("api key", _key_text(key)))
    if (quota := doc["quota"]) is not None:
        rows.append(("quota", f"{quota['decision']}, {quota['tokens_here']} tokens leased here"))
    if (owner := doc["owner"]) is not None:
        rows += _owner_rows(owner)
    for target in doc["targets"]:
        mark = "*" if target["chosen"] else " "
        rows.append(("target", f"{mark} {_target_text(target)}"))
    rows.append(("decision", _decision_text(doc["decision"])))
    if (after := doc["after_failure"]) is not None:
        rows.append(("if refused", _decision_text(after["refused_by_target"])))
        rows.append(("if silent", _decision_text(after["no_answer"])))
        rows.append(("retries", _retries_text(after)))
    return [f"{name:<11} {text}" for name, text in rows]


def _join(*parts: str) -> str:
    return ", ".join(part for part in parts if part)


def _age(seconds: float | None) -> str:
    return "never up to date" if seconds is None else f"heard of changes {seconds:.1f} s ago"


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f} s"


def _share_text(share: dict[str, Any]) -> str:
    return f"{share['service']} weight {share['weight']:g}{' (next)' if share['chosen'] else ''}"


def _key_text(key: dict[str, Any]) -> str:
    if not key["needed"]:
        return "not needed"
    workspace = f"of workspace {key['workspace']}" if key["workspace"] else "none given"
    confirmable = "could be confirmed now" if key["confirmable"] else "cannot be confirmed now"
    return _join(
        workspace,
        confirmable,
        f"confirmed {_seconds(key['confirmed_age'])} ago",
        "configuration unreadable" if key["suspended"] else "",
    )


def _owner_rows(owner: dict[str, Any]) -> list[tuple[str, str]]:
    use = "may be used" if owner["usable"] else "may not be used"
    keys = "" if owner["first"] is None else f"keys {owner['first']} to {owner['last']}"
    rows = [("owner", _join(owner["target"] or "none", keys, use) + f": {owner['reason']}")]
    if owner["state"] is not None:
        rows.append(("load", _target_text(owner["state"])))
    return rows


def _target_text(target: dict[str, Any]) -> str:
    cost = target.get("cost")
    cost_text = ""
    if cost is not None:
        terms = " + ".join(
            f"{name} {seconds:.3f}" for name, seconds in cost.items() if name != "total" and seconds
        )
        cost_text = f"cost {cost['total']:.3f} s = {terms}"
    flags = [
        f"{name} for {target[field]:.1f} s"
        for name, field in (
            ("cold", "cold_for"),
            ("avoided", "avoided_for"),
            ("unreachable", "unreachable_for"),
        )
        if target[field]
    ]
    report = target["report_age"]
    return _join(
        f"{target['target']} in {target['domain']}",
        f"load {target['occupancy']:g} of {target['slots']} slots",
        "no report" if report is None else f"reported {report:.1f} s ago",
        f"{target['waiting_here']} waiting here" if target["waiting_here"] else "",
        f"work time {target['work_time']:.3f} s",
        f"learned ratio {target['learned_ratio']:.2f}" if target["learned_ratio"] else "",
        f"named limit {target['named_limit']:g}/s" if target["named_limit"] is not None else "",
        f"overload {target['overload']:.1f}" if target["overload"] else "",
        *flags,
        cost_text,
    ) + (f": {target['reason']}" if target.get("reason") else "")


def _decision_text(decision: dict[str, Any]) -> str:
    if decision["action"] == "send":
        return f"send to {decision['target']}"
    if decision["action"] == "wait":
        what = {
            "owner": "an owner",
            "place": f"a place at {decision['target']}",
            "quota": "tokens of the workspace's quota",
            "cold-tokens": f"tokens of all hosts for the cold target {decision['target']}",
            "cold-check": "the target's answer whether it is cold",
        }[decision["waits_for"]]
        return f"wait for {what}, up to {decision['wait']:.2f} s"
    text = f"refuse with {decision['status']} {decision['reason']} ({decision['outcome']})"
    text += f": {decision['detail']}"
    if decision["retry_after"] is not None:
        low, high = decision["retry_after"]
        text += f"; Retry-After {low:.2f}" + (f" to {high:.2f}" if high > low else "")
    return text


def _retries_text(after: dict[str, Any]) -> str:
    repeatable = "repeatable" if after["repeatable"] else "not repeatable"
    budget = f"{after['retry_budget']:g} of {after['retry_budget_capacity']:g} retries left"
    spare = "" if after["retry_allowed"] else "none of them for this request"
    return _join(repeatable, f"attempts left: {after['attempts_left']}", budget, spare)
