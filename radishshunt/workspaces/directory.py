"""Workspaces of one configuration, by the digests of their keys, and what they change in routes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.gateway.model import Configuration, Route, Workspace


class Directory:
    """Finds the workspaces of a configuration.

    A key that stands in several workspaces belongs to none: nobody can tell whose request it is.
    """

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self._by_digest: dict[str, Workspace] = {}
        self._routes: dict[tuple[str, str, int], Route] = {}
        ambiguous = set()
        for workspace in (cfg.workspaces or {}).values():
            for digest in workspace.key_digests:
                if digest in self._by_digest:
                    ambiguous.add(digest)
                self._by_digest[digest] = workspace
        for digest in ambiguous:
            del self._by_digest[digest]

    def find(self, digest: str) -> Workspace | None:
        """Return the workspace of the key with a digest."""
        return self._by_digest.get(digest)

    def effective_route(self, route: Route, workspace: Workspace) -> Route:
        """Return a route of the configuration with the priority that a workspace has on it."""
        priority = workspace.priority
        if priority is None or priority == route.priority:
            return route
        key = (route.host, route.prefix, priority)
        effective = self._routes.get(key)
        if effective is None or effective.name != route.name:
            effective = self._routes[key] = replace(route, priority=priority)
        return effective


def most_urgent_priorities(cfg: Configuration) -> dict[str, int]:
    """Return the priority of the most urgent requests of each service.

    It is that of a route if the configuration has no workspaces, the route is public or a
    workspace names none, and else that of a workspace.
    """
    workspaces = cfg.workspaces
    named = [w.priority for w in (workspaces or {}).values() if w.priority is not None]
    most_urgent_named = [min(named)] if named else []
    all_named = workspaces is not None and len(named) == len(workspaces)
    most_urgent: dict[str, int] = {}
    for route in cfg.routes:
        priorities = [] if route.public else most_urgent_named.copy()
        if route.public or not all_named:
            priorities.append(route.priority)
        for share in route.shares if priorities else ():
            priority = min(priorities)
            most_urgent[share.service] = min(priority, most_urgent.get(share.service, priority))
    return most_urgent
