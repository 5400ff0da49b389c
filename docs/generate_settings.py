"""Writes docs/reference/settings.md from the pydantic models of the settings."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, get_args

from pydantic import BaseModel, TypeAdapter
from pydantic_core import PydanticUndefined

from radishshunt.settings import Settings

if TYPE_CHECKING:
    from pydantic.fields import FieldInfo

OUTPUT_PATH = Path(__file__).parent / "reference" / "settings.md"
PAGE_HEADER = """\
# Settings of an entry host

`radishshunt serve FILE` reads these settings from YAML; `radishshunt check FILE` checks them.
Unknown members are errors. `make reference` writes this page from `radishshunt/settings.py`.
"""


def render() -> str:
    """Return the page as Markdown."""
    sections = [PAGE_HEADER]
    for name, field in Settings.model_fields.items():
        model = _model_of(field.annotation)
        sections.append(_section(name, model, required=field.is_required()))
    return "\n".join(sections)


def _section(path: str, model: type[BaseModel], *, required: bool) -> str:
    requirement = "Required." if required else "Optional; each member has a default."
    lines = [f"## `{path}`", "", f"{_summary(model)} {requirement}", ""]
    lines += ["| member | type | default | meaning |", "|---|---|---|---|"]
    nested_sections = []
    for name, field in model.model_fields.items():
        nested_model = _model_of(field.annotation)
        type_name = "section" if nested_model else _type_name(field)
        description = field.description or _summary(nested_model)
        lines.append(f"| `{name}` | {type_name} | {_default(field)} | {description} |")
        if nested_model:
            nested_sections.append(
                _section(f"{path}.{name}", nested_model, required=field.is_required())
            )
    return "\n".join([*lines, "", *nested_sections])


def _summary(model: type[BaseModel] | None) -> str:
    return (model.__doc__ or "").strip().splitlines()[0] if model else ""


def _model_of(annotation: Any) -> type[BaseModel] | None:
    for item in (annotation, *get_args(annotation)):
        if isinstance(item, type) and issubclass(item, BaseModel):
            return item
    return None


def _type_name(field: FieldInfo) -> str:
    schema = _schema(field)
    alternatives = [s for s in schema.get("anyOf", [schema]) if s.get("type") != "null"]
    type_schema = alternatives[0]
    name = {"array": "list of text", "string": "text", "number": "number"}.get(
        type_schema["type"], type_schema["type"]
    )
    limits = {"minimum": "from", "exclusiveMinimum": "above", "maximum": "to", "minLength": "from"}
    limit_texts = [
        f"{word} {type_schema[key]}" for key, word in limits.items() if key in type_schema
    ]
    unit = " characters" if "minLength" in type_schema else ""
    pattern = f", `{type_schema['pattern']}`" if "pattern" in type_schema else ""
    return f"{name}{' ' if limit_texts else ''}{' '.join(limit_texts)}{unit}{pattern}"


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
    OUTPUT_PATH.write_text(render(), "utf-8")
    sys.stdout.write(f"wrote {OUTPUT_PATH}\n")
