"""Faults that the soak run injects into a system of separate processes."""

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
    """One fault of a component or link that is chosen at random.

    :param random: Random generator of the choice, seeded by the run.
    :ivar component: Name of the component, or ``source>destination`` of a link.
    """

    name = ""

    def __init__(self, system: System, random: Random) -> None:
        self.system = system
        self.component = self.choose_component(random)

    @abstractmethod
    def choose_component(self, random: Random) -> str:
        """Return the component or link that the fault affects."""

    @abstractmethod
    def inject(self) -> None:
        """Start the fault."""

    @abstractmethod
    def heal(self) -> None:
        """End the fault."""

    def __str__(self) -> str:
        return f"{self.name}({self.component})"


class _TargetFault(Fault):
    def choose_component(self, random: Random) -> str:
        return random.choice(sorted(self.system.targets))


class _HostFault(Fault):
    def choose_component(self, random: Random) -> str:
        return random.choice(sorted(self.system.hosts))


class KillTarget(_TargetFault):
    """A target's process is killed, and later started again."""

    name = "kill-target"

    def inject(self) -> None:
        self.system.kill(self.component)

    def heal(self) -> None:
        if self.component not in self.system.processes:
            self.system.restart(self.component)


class PauseTarget(_TargetFault):
    """A target's process is suspended, and later continued."""

    name = "pause-target"

    def inject(self) -> None:
        if self.component in self.system.processes:
            self.system.pause(self.component)

    def heal(self) -> None:
        self.system.resume(self.component)


class KillHost(_HostFault):
    """A host's process is killed, and later started again."""

    name = "kill-host"

    def inject(self) -> None:
        self.system.kill(self.component)

    def heal(self) -> None:
        if self.component not in self.system.processes:
            self.system.restart(self.component)


class PauseHost(_HostFault):
    """A host's process is suspended, and later continued."""

    name = "pause-host"

    def inject(self) -> None:
        if self.component in self.system.processes:
            self.system.pause(self.component)

    def heal(self) -> None:
        self.system.resume(self.component)


class _LinkFault(Fault):
    link_state = "cut"

    def choose_component(self, random: Random) -> str:
        source, destination = self.choose_link(random)
        self.source, self.destination = source, destination
        return f"{source}>{destination}"

    @abstractmethod
    def choose_link(self, random: Random) -> tuple[str, str]:
        """Return source and destination."""

    def inject(self) -> None:
        self.system.set_link(self.source, self.destination, self.link_state)

    def heal(self) -> None:
        self.system.set_link(self.source, self.destination, "pass")


class CutHosts(_LinkFault):
    """The links between two hosts are cut in both directions."""

    name = "cut-hosts"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source, destination = random.sample(sorted(self.system.hosts), 2)
        return source, destination

    def inject(self) -> None:
        super().inject()
        self.system.set_link(self.destination, self.source, self.link_state)

    def heal(self) -> None:
        super().heal()
        self.system.set_link(self.destination, self.source, "pass")


class OneWay(_LinkFault):
    """What one host sends on its connections to another is dropped; answers still arrive."""

    name = "one-way"
    link_state = "drop-forward"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source, destination = random.sample(sorted(self.system.hosts), 2)
        return source, destination


class CutTarget(_LinkFault):
    """The link from a host to a target is cut."""

    name = "cut-target"

    def choose_link(self, random: Random) -> tuple[str, str]:
        source = random.choice(sorted(self.system.hosts))
        return source, random.choice(sorted(self.system.targets))


class SilentConnections(CutTarget):
    """Open connections to a target drop all bytes; new connections work."""

    name = "silent-connections"
    link_state = "silent-open"

    def choose_link(self, random: Random) -> tuple[str, str]:
        return "*", random.choice(sorted(self.system.targets))

    def heal(self) -> None:
        """Leave the silent connections as they are; they never recover."""


class CutPlatform(_LinkFault):
    """The link from a host to the platform is cut."""

    name = "cut-platform"

    def choose_link(self, random: Random) -> tuple[str, str]:
        return random.choice(sorted(self.system.hosts)), "platform"


class _PlatformFault(Fault):
    def choose_component(self, random: Random) -> str:
        return "platform"

    def heal(self) -> None:
        self.system.set_platform_faults()


class PlatformDown(_PlatformFault):
    """The platform refuses every call."""

    name = "platform-down"

    def inject(self) -> None:
        self.system.set_platform_faults(down=True)


class PlatformSlow(_PlatformFault):
    """The platform delays every call by 1 s."""

    name = "platform-slow"

    def inject(self) -> None:
        self.system.set_platform_faults(delay_seconds=1.0)


class LostAnswers(_PlatformFault):
    """The platform applies the next 3 commits but drops their answers."""

    name = "lost-answers"

    def inject(self) -> None:
        self.system.set_platform_faults(lose_answers=3)


class DomainOut(Fault):
    """Operators take a failure domain out and bring it back."""

    name = "domain-out"

    def choose_component(self, random: Random) -> str:
        return random.choice(self.system.deployment.domains)

    def inject(self) -> None:
        self._submit({"taken_out": {"domains": [self.component]}})

    def heal(self) -> None:
        self._submit({"brought_back": {"domains": [self.component]}})

    def _submit(self, changes: dict) -> None:
        """Submit the note to the first host that accepts it; in an outage there may be none."""
        for host in sorted(self.system.processes):
            if host not in self.system.hosts:
                continue
            with contextlib.suppress(httpx.HTTPError):
                status = self.system.status(host)
                note = {"predecessor": status["version"], **changes}
                if self.system.submit(host, note).status_code == 200:
                    return


class OperatorRace(Fault):
    """Two operators submit different notes with the same predecessor at the same time."""

    name = "operator-race"

    def choose_component(self, random: Random) -> str:
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
                "changed": {"targets": {self.component: {"connections": connections}}},
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
