"""Translation of times of another machine's steady clock to the local clock."""

from __future__ import annotations

# Length of the windows whose smallest difference is used. Between two windows, clocks that run at
# slightly different rates move apart by far less than a message takes.
WINDOW_SECONDS = 10.0


class RemoteClock:
    """Estimates the difference between the clock of another machine and the local one.

    A message arrives after it was sent, so that the difference between its arrival by the local
    clock and its time by the remote one includes its delay, and any lateness of the process that
    reads it. The smallest difference of many messages is closest to that of the clocks.
    """

    def __init__(self) -> None:
        self._window_ends_at = float("-inf")
        # Smallest differences in the current window and in the one before.
        self._current = float("inf")
        self._previous = float("inf")

    def local_time(
        self, remote_time: float, received_at: float, sent_after: float = float("-inf")
    ) -> float:
        """Record a message that states the time at which it was sent, and return that time.

        :param remote_time: Time of the remote clock at which the message was sent, in seconds.
        :param received_at: Time of the local clock at which the message was read, in seconds.
        :param sent_after: Time of the local clock before which it cannot have been sent.
        :return: Time of the local clock at which it was sent, between the two.
        """
        self._rotate(received_at)
        self._current = min(self._current, received_at - remote_time)
        local_time = remote_time + min(self._current, self._previous)
        if local_time < sent_after:
            # The remote clock was set back.
            self._current, self._previous = received_at - remote_time, float("inf")
            return sent_after
        return local_time

    def _rotate(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        if now < self._window_ends_at:
            return
        recent = now < self._window_ends_at + WINDOW_SECONDS
        self._previous = self._current if recent else float("inf")
        self._current = float("inf")
        self._window_ends_at = now + WINDOW_SECONDS
