"""Version of the configuration that is in force on each host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.clock import Clock


@dataclass(slots=True)
class _InForce:
    """Configuration of one host.

    :param since: Time at which the host first reported the version.
    :param logged: Whether the host has been logged as behind.
    """

    version: int
    since: float
    logged: bool = False


class HostVersions:
    """Versions that hosts report to the leader."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_force: dict[str, _InForce] = {}

    def record(self, host: str, version: int) -> None:
        """Record the version that a host reports; 0 if it has no configuration."""
        known = self._in_force.get(host)
        if known is None or known.version != version:
            self._in_force[host] = _InForce(version, self._clock.now())

    def remove(self, host: str) -> None:
        """Forget a host whose link has ended."""
        self._in_force.pop(host, None)

    def newly_behind(self, version: int, since: float, limit_seconds: float) -> dict[str, int]:
        """Return hosts that lag behind, with their versions; each of them once.

        :param version: Version in force on the leader.
        :param since: Time since which it has been.
        :param limit_seconds: Time within which every host has to apply a version.
        """
        if self._clock.now() - since <= limit_seconds:
            return {}
        behind = {
            host: item
            for host, item in self._in_force.items()
            if item.version < version and not item.logged
        }
        for item in behind.values():
            item.logged = True
        return {host: item.version for host, item in behind.items()}

    def document(self) -> list[dict[str, object]]:
        """Return name, version and seconds since its first report of each host, by name."""
        now = self._clock.now()
        return [
            {
                "host": host,
                "configuration": item.version,
                "seconds": round(now - item.since, 1),
            }
            for host, item in sorted(self._in_force.items())
        ]
