"""The ``check`` command: settings files and release notes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from radishshunt.cmd.admin_client import AsJson
from radishshunt.errors import ExitStatus, SettingsError
from radishshunt.release.note import ReleaseNote
from radishshunt.settings import Settings
from radishshunt.util.yaml_documents import YamlDocument, load_document, validate


def check(
    files: Annotated[list[Path], typer.Argument(help="Settings or release notes, as YAML.")],
    as_json: AsJson = False,
) -> None:
    """Check settings files and release notes; every problem is printed, a line each.

    Exit status: 0 if all are valid, 3 if one is not.
    """
    results = [_check(file) for file in files]
    if as_json:
        typer.echo(json.dumps({"files": results}))
    else:
        for item in results:
            if item["valid"]:
                typer.echo(f"{item['file']}: {item['kind']} {item['name']} is valid")
            for problem in item["problems"]:
                typer.echo(f"radishshunt: {problem}", err=True)
    if not all(item["valid"] for item in results):
        raise typer.Exit(ExitStatus.INVALID_INPUT)


def _check(file: Path) -> dict:
    kind, name = "document", ""
    problems: list[str] = []
    try:
        document = load_document(file.read_text("utf-8"), str(file))
        if is_note(document):
            kind = "release note"
            name = f"for version {validate(ReleaseNote, document).version}"
        else:
            kind = "settings"
            name = f"of host {validate(Settings, document).host.name}"
    except SettingsError as exc:
        problems = exc.problems
    return {
        "file": str(file),
        "kind": kind,
        "name": name,
        "valid": not problems,
        "problems": problems,
    }


def is_note(document: YamlDocument) -> bool:
    """Return whether a document is a release note rather than settings.

    The kind with more of its members at the top of the document wins, so that a misspelled or
    missing member does not turn a note into settings.
    """
    members = set(document.value) if isinstance(document.value, dict) else set()
    as_note = len(members & ReleaseNote.model_fields.keys())
    return as_note > len(members & Settings.model_fields.keys())
