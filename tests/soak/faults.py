"""Faults that the soak run injects into a system of processes."""

from __future__ import annotations

import contextlib
import threading
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import httpx

if TYPE_CHECKING:
    from random import Random

    from tests.support.system import System


class Fault(ABC):
    """One fault with its victims chosen at random.

    :param random: Source of the choice, seeded by the run.
    """

    name = ""

    def __init__(self, system: System, random: Random) -> None:
        self.system = system
        self.victim = self.choose(random)

    @abstractmethod
    def choose(self, random: Random) -> str:
        """Return the victim."""

    @abstractmethod
    def inject(self) -> None:
        """Make the fault happen."""

    @abstractmethod
    def heal(self) -> None:
        """End the fault."""

    def __str__(self) -> str:
        return f"{self.name}({self.victim})"


class _TargetFault(Fault):
    def choose(self, random: Random) -> str:
        return random.choice(sorted(self.system.targets))


class _HostFault(Fault):
    def choose(self, random: Random) -> str:
        return random.choice(sorted(self.system.hosts))


class KillTarget(_TargetFault):
    """A target's process is lost and comes back as a new one."""

    name = "kill-target"

    def inject(self) -> None:
        self.system.kill(self.victim)

    def heal(self) -> None:
        if self.victim not in self.system.processes:
            self.system.restart(self.victim)


class PauseTarget(_TargetFault):
    """A target freezes and returns."""

    name = "pause-target"

    def inject(self) -> None:
        if self.victim in self.system.processes:
            self.system.pause(self.victim)

    def heal(self) -> None:
        self.system.resume(self.victim)


class KillHost(_HostFault):
    """A host is lost and replaced."""

    name = "kill-host"

    def inject(self) -> None:
        self.system.kill(self.victim)

    def heal(self) -> None:
        if self.victim not in self.system.processes:
            self.system.restart(self.victim)


class PauseHost(_HostFault):
    """A host is paused and goes on."""

    name = "pause-host"

    def inject(self) -> None:
        if self.victim in self.system.processes:
            self.system.pause(self.victim)

    def heal(self) -> None:
        self.system.resume(self.victim)


class _LinkFault(Fault):
    state = "cut"

    def choose(self, random: Random) -> str:
        source, destination = self.choose_link(random)
        self.source, self.destination = source, destination
        return f"{source}>{destination}"

    @abstractmethod
    def choose_link(self, random: Random) -> tuple[str, str]:
        """Return source and destination."""

    def inject(self) -> None:
        self.system.set_link(self.source, self.destination, self.state)

    def heal(self) -> None:
        self.system.set_link(self.source, self.destination, "pass")


class CutHosts(_LinkFault):
    """Two hosts lose each other in both directions."""

    name = "cut-hosts"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source, destination = random.sample(sorted(self.system.hosts), 2)
        return source, destination

    def inject(self) -> None:
        super().inject()
        self.system.set_link(self.destination, self.source, self.state)

    def heal(self) -> None:
        super().heal()
        self.system.set_link(self.destination, self.source, "pass")


class OneWay(_LinkFault):
    """What one host sends to another is lost; answers still come."""

    name = "one-way"
    state = "drop-forward"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source, destination = random.sample(sorted(self.system.hosts), 2)
        return source, destination


class CutTarget(_LinkFault):
    """A host can't reach a target."""

    name = "cut-target"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source = random.choice(sorted(self.system.hosts))
        return source, random.choice(sorted(self.system.targets))


class SilentConnections(CutTarget):
    """Open connections to a target go silent while new ones work."""

    name = "silent-connections"
    state = "silent-open"

    def choose_link(self, random: Random) -> tuple[str, str]:
        return "*", random.choice(sorted(self.system.targets))

    def heal(self) -> None:
        """Leave the silent connections as they are; they never recover."""


class CutPlatform(_LinkFault):
    """A host can't reach the platform."""

    name = "cut-platform"

    def choose_link(self, random: Random) -> tuple[str, str]:
        return random.choice(sorted(self.system.hosts)), "platform"


class _PlatformFault(Fault):
    def choose(self, random: Random) -> str:
        return "platform"

    def heal(self) -> None:
        self.system.set_platform_faults()


class PlatformDown(_PlatformFault):
    """The platform refuses every call."""

    name = "platform-down"

    def inject(self) -> None:
        self.system.set_platform_faults(down=True)


class PlatformSlow(_PlatformFault):
    """The platform takes a second for every call."""

    name = "platform-slow"

    def inject(self) -> None:
        self.system.set_platform_faults(delay_seconds=1.0)


class LostAnswers(_PlatformFault):
    """The answers of the next commits are lost after they took effect."""

    name = "lost-answers"

    def inject(self) -> None:
        self.system.set_platform_faults(lose_answers=3)


class DomainOut(Fault):
    """Operators take a failure domain out and bring it back."""

    name = "domain-out"

    def choose(self, random: Random) -> str:
        return random.choice(self.system.deployment.domains)

    def inject(self) -> None:
        self._submit({"taken_out": {"domains": [self.victim]}})

    def heal(self) -> None:
        self._submit({"brought_back": {"domains": [self.victim]}})

    def _submit(self, part: dict) -> None:
        """Submit through any host that accepts the note; an outage may prevent it."""
        for host in sorted(self.system.processes):
            if host not in self.system.hosts:
                continue
            with contextlib.suppress(httpx.HTTPError):
                status = self.system.status(host)
                note = {"predecessor": status["version"], **part}
                if self.system.submit(host, note).status_code == 200:
                    return


class OperatorRace(Fault):
    """Two operators submit different notes with the same predecessor at the same time."""

    name = "operator-race"

    def choose(self, random: Random) -> str:
        return random.choice(sorted(self.system.targets))

    def inject(self) -> None:
        hosts = [name for name in self.system.hosts if name in self.system.processes][:2]
        threads = [
            threading.Thread(target=self._submit, args=(host, 20 + index))
            for index, host in enumerate(hosts)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def heal(self) -> None:
        """Nothing to undo."""

    def _submit(self, host: str, connections: int) -> None:
        with contextlib.suppress(httpx.HTTPError):
            note = {
                "predecessor": self.system.status(host)["version"],
                "changed": {"targets": {self.victim: {"connections": connections}}},
            }
            self.system.submit(host, note)


FAULTS: tuple[type[Fault], ...] = (
    KillTarget,
    PauseTarget,
    KillHost,
    PauseHost,
    CutHosts,
    OneWay,
    CutTarget,
    SilentConnections,
    CutPlatform,
    PlatformDown,
    PlatformSlow,
    LostAnswers,
    DomainOut,
    OperatorRace,
)
