"""Documentation pages that have to agree with the code."""

from __future__ import annotations

import ast
import re
import runpy
from pathlib import Path

from radishshunt.errors import ExitStatus

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"


def test_settings_page_is_current() -> None:
    """Guards against settings that are missing or outdated on the settings page.

    ``make reference`` generates the page.
    """
    render = runpy.run_path(str(DOCS / "generate_settings.py"))["render"]
    assert (DOCS / "reference" / "settings.md").read_text("utf-8") == render()


def test_log_page_lists_the_fields_of_all_decisions() -> None:
    """Guards against decisions in the log whose fields are not documented."""
    assert _documented_decisions() == _logged_decisions()


def test_command_line_page_lists_all_exit_statuses() -> None:
    """Guards against exit statuses that are not documented."""
    text = (DOCS / "reference" / "command-line.md").read_text("utf-8")
    listed = {int(number) for number in re.findall(r"^\| (\d+) \|", text, re.MULTILINE)}
    assert listed == {int(status) for status in ExitStatus} | {130}


def test_http_page_lists_all_reasons_of_the_callers_listener() -> None:
    """Guards against problem documents whose reason is not documented."""
    text = (DOCS / "reference" / "http.md").read_text("utf-8")
    for name in ("frontend.py", "http_server.py", "router.py", "targets.py", "dispatch/lane.py"):
        for reason in _reasons(ROOT / "radishshunt" / name):
            assert f"`{reason}`" in text, f"{name}: {reason}"


def _documented_decisions() -> dict[str, set[str]]:
    text = (DOCS / "operations" / "logs.md").read_text("utf-8")
    sections = re.split(r"^## `decision:([a-z-]+)`$", text, flags=re.MULTILINE)[1:]
    return {
        kind: set(re.findall(r"^\| `([a-z_]+)` \|", body, re.MULTILINE))
        for kind, body in zip(sections[::2], sections[1::2], strict=True)
    }


def _logged_decisions() -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "radishshunt").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "decision":
                kind = node.args[0]
                assert isinstance(kind, ast.Constant), f"{path}: decision kind is not a constant"
                names = [keyword.arg for keyword in node.keywords]
                assert None not in names, f"{path}: the fields of {kind.value} are not named"
                found.setdefault(kind.value, set()).update(names)
    return found


def _reasons(path: Path) -> set[str]:
    """Return the reasons that a module passes to errors and refusals."""
    functions = {"NotRun", "NotOwner", "OutcomeOfRequestUnknown", "_bad", "refuse", "refused"}
    found = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "id", getattr(node.func, "attr", ""))
        if name not in functions:
            continue
        for arg in node.args[:2]:
            if isinstance(arg, ast.Constant) and isinstance(arg.value, str):
                if re.fullmatch(r"[a-z]+(-[a-z]+)*", arg.value):
                    found.add(arg.value)
                break
    return found
