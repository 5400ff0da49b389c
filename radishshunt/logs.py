"""Structured logging, with one line for each routing and placement decision."""

from __future__ import annotations

import json
import logging
import sys
import time
from datetime import UTC, datetime
from enum import Enum
from typing import Any, TextIO

import eliot
from eliot.stdlib import EliotHandler

from radishshunt.util.bounded_writer import BoundedWriter


class LogFormat(Enum):
    """Output format of log lines."""

    JSON = "json"
    TEXT = "text"


_HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


def configure_logging(log_format: LogFormat, host: str, stream: TextIO = sys.stderr) -> None:
    """Write all log lines of the process to a stream.

    :param host: Name of the host, added to every line.
    """
    eliot.add_global_fields(host=host)
    if log_format is LogFormat.JSON:
        eliot.to_file(stream)
    else:
        eliot.add_destinations(lambda message: stream.write(format_line(message)))
    _forward_standard_logging()


def configure_nonblocking_logging(host: str, descriptor: int) -> None:
    """Write all log lines as JSON, without ever blocking on a slow reader.

    :param host: Name of the host, added to every line.
    :param descriptor: Open file descriptor, for example that of standard output.
    """
    eliot.add_global_fields(host=host)
    eliot.add_destinations(BoundedWriter(descriptor, time.time))
    _forward_standard_logging()


def _forward_standard_logging() -> None:
    root = logging.getLogger("radishshunt")
    root.addHandler(EliotHandler())
    root.setLevel(logging.INFO)
    root.propagate = False


def discard_logs() -> None:
    """Discard all log lines; without a destination, eliot buffers them in memory."""
    eliot.add_destinations(lambda message: None)


def decision(kind: str, **fields: Any) -> None:
    """Log a routing or placement decision.

    :param kind: Kind of decision, for example ``route`` or ``takeover``.
    :param fields: Fields of the line, as listed in docs/operations/logs.md.
    """
    eliot.log_message(message_type=f"decision:{kind}", **fields)


def format_line(message: dict[str, Any]) -> str:
    """Return a log message as one human-readable line."""
    logged_at = datetime.fromtimestamp(message.get("timestamp", 0), UTC)
    kind = message.get("message_type") or message.get("action_type") or "log"
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in message.items()
        if name not in _HIDDEN_FIELDS
    )
    return f"{logged_at:%H:%M:%S.%f} {kind} {fields}\n"


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return json.dumps(text) if " " in text or "\n" in text else text
