"""Questions for the explanation of a request over HTTP: who may ask, and what."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address, ip_network
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import parse_qsl

import msgspec

from radishshunt.errors import SettingsError
from radishshunt.gateway.caller_api import DEFAULT_TIMEOUT_SECONDS
from radishshunt.gateway.model import LAST_KEY

if TYPE_CHECKING:
    from radishshunt.gateway.explanation import Explainer

# Path on the metrics port that explains where a request would go.
EXPLAIN_PATH = "/explain"
MAX_DEADLINE_SECONDS = 3600.0

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=8192)]
# Type and default of each parameter; those without a default are required.
_PARAMETERS: dict[str, tuple[Any, Any]] = {
    "host": (_Text, None),
    "path": (Annotated[str, msgspec.Meta(pattern="^/", max_length=8192)], None),
    "method": (Annotated[str, msgspec.Meta(pattern="^[A-Z]{1,16}$")], "GET"),
    "key": (Annotated[int, msgspec.Meta(ge=0, le=LAST_KEY)], None),
    "workspace": (_Text, None),
    "body_bytes": (Annotated[int, msgspec.Meta(ge=0, le=2**40)], 0),
    "deadline": (
        Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_SECONDS)],
        DEFAULT_TIMEOUT_SECONDS,
    ),
}
_REQUIRED = ("host", "path")


@dataclass(frozen=True, slots=True)
class ExplainQuery:
    """A request that is to be explained.

    :param path: Path, with the query if there is one.
    :param key: Key that the target must own, ``None`` if the request has no key.
    :param workspace: Workspace whose API key the request is assumed to have.
    :param deadline: Seconds for which the caller waits.
    """

    host: str
    path: str
    method: str = "GET"
    key: int | None = None
    workspace: str | None = None
    body_bytes: int = 0
    deadline: float = DEFAULT_TIMEOUT_SECONDS


def parse_query(text: str) -> ExplainQuery:
    """Parse the query of a URL.

    :raises SettingsError: With one line for each problem.
    """
    values: dict[str, Any] = {}
    problems: list[str] = []
    seen: set[str] = set()
    for name, value in parse_qsl(text, keep_blank_values=True):
        if name not in _PARAMETERS:
            problems.append(f"{name}: unknown parameter")
        elif name in seen:
            problems.append(f"{name}: given more than once")
        else:
            try:
                values[name] = msgspec.convert(value, _PARAMETERS[name][0], strict=False)
            except msgspec.ValidationError as exc:
                problems.append(f"{name}: {exc}")
        seen.add(name)
    problems += [f"{name}: missing" for name in _REQUIRED if name not in seen]
    if problems:
        raise SettingsError(problems)
    return ExplainQuery(**values)


def answer_explanation(
    explainer: Explainer, allowed: tuple[str, ...], asker: str, query: str
) -> tuple[int, dict[str, Any]]:
    """Return the status and the document that answer a question.

    :param allowed: IP addresses and networks that may ask.
    :param asker: IP address of the one who asks.
    :param query: Query of the URL.
    """
    if not allowed:
        return 404, {"detail": "explanations are off; the setting Router.ExplainFrom allows them"}
    if not _is_allowed(asker, allowed):
        return 403, {"detail": f"{asker or 'this address'} may not ask for explanations"}
    try:
        return 200, explainer.explain(parse_query(query))
    except SettingsError as exc:
        return 422, {"detail": str(exc)}


def _is_allowed(asker: str, allowed: tuple[str, ...]) -> bool:
    try:
        address = ip_address(asker)
    except ValueError:
        return False
    return any(address in ip_network(network) for network in allowed)
