"""When a request without an answer is sent once more on another connection.

Load pattern: a target with a full queue never answers a request that it cannot queue, nor any later
one on that connection, while its other connections are served.
"""

from __future__ import annotations

# An answer that takes this multiple of the expected time is not expected any more. Work times vary,
# and a request that is still being worked on must not be given up.
SILENCE_FACTOR = 5.0
# Multiple of the expected time that must be left for the second attempt.
SECOND_ATTEMPT_FACTOR = 1.5


def silence_deadline(
    now: float, deadline: float, objective: float, expected_wait: float, work_seconds: float
) -> float:
    """Return the time at which a repeatable request without an answer is sent once more.

    :param deadline: Time at which the request expires; it is returned if a second attempt could
        not be answered before it.
    :param objective: Latency objective of the request in seconds. An answer within it is worth
        more than a later one, so that the request is not given up before.
    :param expected_wait: Expected seconds until the target starts the request.
    """
    expected = expected_wait + work_seconds
    silent_at = now + max(objective, SILENCE_FACTOR * expected)
    return silent_at if silent_at + SECOND_ATTEMPT_FACTOR * expected <= deadline else deadline
