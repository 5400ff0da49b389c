"""YAML documents that remember the line of each value."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from radishshunt.errors import SettingsError

M = TypeVar("M", bound=BaseModel)
Path = tuple[str | int, ...]


@dataclass(slots=True)
class YamlDocument:
    """A parsed document.

    :param lines: Line number of each value, by its path.
    """

    source: str
    value: Any
    lines: dict[Path, int] = field(default_factory=dict)

    def line_of(self, path: Path) -> int:
        """Return the line of a path, or of the nearest value above it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def load_document(text: str, source: str) -> YamlDocument:
    """Parse a YAML text.

    :raises SettingsError: If the text is not YAML, repeats a key or holds several documents.
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
    """Check a document against a model.

    :raises SettingsError: With one line for each problem: source, line, path, message.
    """
    try:
        return model.model_validate(document.value)
    except ValidationError as exc:
        raise SettingsError([_problem(document, item) for item in exc.errors()]) from exc


def _problem(document: YamlDocument, item: Any) -> str:
    path = item["loc"]
    name = ".".join(str(part) for part in path) or "document"
    message = item["msg"].removeprefix("Value error, ")
    return f"{document.source}:{document.line_of(path)}: {name}: {message}"


def _collect_lines(
    node: yaml.Node, path: Path, document: YamlDocument, problems: list[str]
) -> None:
    document.lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            line = key.start_mark.line + 1
            if key.value in seen:
                problems.append(f"{document.source}:{line}: {key.value}: key is given twice")
            seen.add(key.value)
            document.lines[(*path, key.value)] = line
            _collect_lines(value, (*path, key.value), document, problems)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_lines(value, (*path, index), document, problems)
