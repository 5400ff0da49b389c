"""Steps that start the components of a system as separate processes."""

from __future__ import annotations

from behave import given, then, when

from tests.support.system import Deployment, System


@given('a platform, {targets:d} targets of "{service}" and {hosts:d} hosts as processes')
def start_system(context, targets: int, service: str, hosts: int) -> None:
    start_deployment(
        context, Deployment(hosts=hosts, target_counts={service: targets}, keyed=(service,))
    )


@given('a platform, {targets:d} targets of "{service}" and {hosts:d} hosts behind a relay')
def start_relayed_system(context, targets: int, service: str, hosts: int) -> None:
    start_deployment(
        context,
        Deployment(hosts=hosts, target_counts={service: targets}, keyed=(service,), relayed=True),
    )


def start_deployment(context, deployment: Deployment) -> None:
    """Start a system that is closed when the scenario ends."""
    context.system = System(deployment)
    context.exit_stack.callback(context.system.close)
    context.system.start_all()


@given("a release note that adds them")
def submit_first_note(context) -> None:
    context.system.submit_first_note()


@when("each host gets {requests:d} requests for {keys:d} keys")
def send_requests(context, requests: int, keys: int) -> None:
    context.answers = [
        (f"key-{number % keys}", context.system.request(host, f"key-{number % keys}"))
        for host in context.system.hosts
        for number in range(requests)
    ]


@then("every request is answered by a target")
def check_answers(context) -> None:
    statuses = [resp.status_code for _, resp in context.answers]
    assert statuses == [200] * len(statuses), statuses
    assert all(resp.json()["key"] == key for key, resp in context.answers)


@then("each key was served by one target only")
def check_owners(context) -> None:
    owners: dict[str, set[str]] = {}
    for key, resp in context.answers:
        owners.setdefault(key, set()).add(resp.json()["target"])
    assert all(len(names) == 1 for names in owners.values()), owners
