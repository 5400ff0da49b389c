"""YAML documents with the line number of each value."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from radishshunt.errors import SettingsError

M = TypeVar("M", bound=BaseModel)
ValuePath = tuple[str | int, ...]


@dataclass(slots=True)
class YamlDocument:
    """A parsed document.

    :param source: Name of the document in messages, for example a file's path.
    :param lines: Line number of each value, by its path.
    """

    source: str
    value: Any
    lines: dict[ValuePath, int] = field(default_factory=dict)

    def line_of(self, path: ValuePath) -> int:
        """Return the line of the value at a path, or of its nearest recorded ancestor."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def load_document(text: str, source: str) -> YamlDocument:
    """Parse YAML text and record the line of each value.

    :raises SettingsError: If the text is not valid YAML, repeats a key or contains several
        documents.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        raise SettingsError([f"{source}:{line}: {getattr(exc, 'problem', exc)}"]) from exc
    except (RecursionError, ValueError) as exc:
        raise SettingsError([f"{source}:1: not a valid YAML document: {exc}"]) from exc
    document = YamlDocument(source, value)
    problems: list[str] = []
    if node is not None:
        _collect_lines(node, (), document, problems)
    if problems:
        raise SettingsError(problems)
    return document


def validate(model: type[M], document: YamlDocument) -> M:
    """Validate a document against a model.

    :raises SettingsError: With one entry per problem: source, line, path and message.
    """
    try:
        return model.model_validate(document.value)
    except ValidationError as exc:
        raise SettingsError([_format_problem(document, error) for error in exc.errors()]) from exc


def _format_problem(document: YamlDocument, error: Any) -> str:
    path = error["loc"]
    name = ".".join(str(part) for part in path) or "document"
    message = error["msg"].removeprefix("Value error, ")
    return f"{document.source}:{document.line_of(path)}: {name}: {message}"


def _collect_lines(
    node: yaml.Node, path: ValuePath, document: YamlDocument, problems: list[str]
) -> None:
    document.lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            line = key.start_mark.line + 1
            if key.value in seen:
                problems.append(f"{document.source}:{line}: {key.value}: duplicate key")
            seen.add(key.value)
            document.lines[(*path, key.value)] = line
            _collect_lines(value, (*path, key.value), document, problems)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_lines(value, (*path, index), document, problems)
