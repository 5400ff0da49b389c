"""Writes docs/reference/settings.md from the models of the settings."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, get_args

from pydantic import BaseModel, TypeAdapter
from pydantic_core import PydanticUndefined

from radishshunt.settings import Settings

if TYPE_CHECKING:
    from pydantic.fields import FieldInfo

TARGET = Path(__file__).parent / "reference" / "settings.md"
HEAD = """\
# Settings of an entry host

`radishshunt serve FILE` reads these settings from YAML; `radishshunt check FILE` checks them.
Unknown members are errors. `make reference` writes this page from `radishshunt/settings.py`.
"""


def render() -> str:
    """Return the page."""
    parts = [HEAD]
    for name, field in Settings.model_fields.items():
        section = _model_of(field.annotation)
        parts.append(_section(name, section, required=field.is_required()))
    return "\n".join(parts)


def _section(path: str, model: type[BaseModel], *, required: bool) -> str:
    need = "Required." if required else "Optional; each member has a default."
    lines = [f"## `{path}`", "", f"{_summary(model)} {need}", ""]
    lines += ["| member | type | default | meaning |", "|---|---|---|---|"]
    nested = []
    for name, field in model.model_fields.items():
        inner = _model_of(field.annotation)
        kind = "section" if inner else _type_name(field)
        meaning = field.description or _summary(inner)
        lines.append(f"| `{name}` | {kind} | {_default(field)} | {meaning} |")
        if inner:
            nested.append(_section(f"{path}.{name}", inner, required=field.is_required()))
    return "\n".join([*lines, "", *nested])


def _summary(model: type[BaseModel] | None) -> str:
    return (model.__doc__ or "").strip().splitlines()[0] if model else ""


def _model_of(annotation: Any) -> type[BaseModel] | None:
    for item in (annotation, *get_args(annotation)):
        if isinstance(item, type) and issubclass(item, BaseModel):
            return item
    return None


def _type_name(field: FieldInfo) -> str:
    schema = _schema(field)
    options = [s for s in schema.get("anyOf", [schema]) if s.get("type") != "null"]
    first = options[0]
    name = {"array": "list of text", "string": "text", "number": "number"}.get(
        first["type"], first["type"]
    )
    limits = {"minimum": "from", "exclusiveMinimum": "above", "maximum": "to", "minLength": "from"}
    words = [f"{word} {first[key]}" for key, word in limits.items() if key in first]
    unit = " characters" if "minLength" in first else ""
    pattern = f", `{first['pattern']}`" if "pattern" in first else ""
    return f"{name}{' ' if words else ''}{' '.join(words)}{unit}{pattern}"


def _schema(field: FieldInfo) -> dict[str, Any]:
    annotation = field.annotation
    for item in field.metadata:
        annotation = Annotated[annotation, item]
    return TypeAdapter(annotation).json_schema()


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required" if field.is_required() else "built from its members"
    if field.default is None:
        return "none"
    return f"`{field.default}`"


if __name__ == "__main__":
    TARGET.write_text(render(), "utf-8")
    sys.stdout.write(f"wrote {TARGET}\n")
