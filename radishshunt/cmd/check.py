"""The ``check`` command: validation of settings files and release notes."""

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
    """Check settings files and release notes, and print each problem on its own line.

    Exit status: 0 if all files are valid, 3 otherwise.
    """
    results = [_check_file(file) for file in files]
    if as_json:
        typer.echo(json.dumps({"files": results}))
    else:
        for result in results:
            if result["valid"]:
                typer.echo(f"{result['file']}: {result['kind']} {result['name']} is valid")
            for problem in result["problems"]:
                typer.echo(f"radishshunt: {problem}", err=True)
    if not all(result["valid"] for result in results):
        raise typer.Exit(ExitStatus.INVALID_INPUT)


def _check_file(file: Path) -> dict:
    kind, name = "document", ""
    problems: list[str] = []
    try:
        document = load_document(file.read_text("utf-8"), str(file))
        if is_release_note(document):
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


def is_release_note(document: YamlDocument) -> bool:
    """Return whether a document is a release note rather than settings.

    Compares how many top-level members belong to each format, so that a note with a misspelled or
    missing member is not taken for settings.
    """
    members = set(document.value) if isinstance(document.value, dict) else set()
    note_members = len(members & ReleaseNote.model_fields.keys())
    return note_members > len(members & Settings.model_fields.keys())
