"""Steps that check callers' answers while components fail or misbehave."""

from __future__ import annotations

import time

from behave import given, then, when

from tests.support.recording_client import RecordingClient


@given("all keys are served")
def wait_served(context) -> None:
    context.client = RecordingClient(context.system, "permits")
    hosts = list(context.system.hosts)
    for number in range(24):
        context.system.wait_until(
            lambda number=number: _serves(context, hosts[number % len(hosts)], f"key-{number}"),
            f"key-{number} is served",
        )
    context.client.answers.clear()


def _serves(context, host: str, key: str) -> bool:
    return context.client.send(host, key).status == 200


@when("fees for {keys:d} keys are being paid and the dispatcher of the first key is killed")
def kill_dispatcher(context, keys: int) -> None:
    system, client = context.system, context.client
    client.set_behaviour(service_seconds=0.4)
    dispatcher = system.explain(next(iter(system.hosts)), "key-0")["dispatcher"]
    entry_hosts = [host for host in system.hosts if host != dispatcher]
    threads = client.start_threads(
        *(
            (client.post_until_answered, entry_hosts[number % len(entry_hosts)], f"key-{number}")
            for number in range(keys)
        )
    )
    time.sleep(0.6)
    system.kill(dispatcher)
    for thread in threads:
        thread.join()


@then("no fee was charged twice and no refusal is false")
def check_findings(context) -> None:
    findings = [str(finding) for finding in context.client.findings()]
    assert findings == [], "\n".join(findings)


@then("only fees that held one of the {slots:d} slots when the dispatcher was killed stay unknown")
def check_unpaid_fees(context, slots: int) -> None:
    answers = context.client.answers
    paid = {a.idempotency_key for a in answers if a.status == 200}
    unpaid = {a.idempotency_key for a in answers} - paid
    # A request is recorded once it has a slot; the record of its end may not have reached the
    # standby dispatcher before the kill.
    assert 0 < len(unpaid) <= slots, (len(unpaid), slots)
    last = {a.idempotency_key: a.outcome for a in answers}
    assert {last[fee] for fee in unpaid} == {"unknown"}


@when("a request that crashes its target is sent {times:d} times over all hosts")
def send_crashing_request(context, times: int) -> None:
    client = context.client
    client.set_behaviour(crash_on="poison")
    hosts = list(context.system.hosts)
    for number in range(times):
        client.send(hosts[number % len(hosts)], "key-0", path="/poison", timeout=4.0)
        time.sleep(0.3)


@then("{count:d} targets have crashed")
def check_crashed(context, count: int) -> None:
    crashed = [name for name in context.system.targets if not context.client.is_running(name)]
    assert len(crashed) == count, (crashed, context.client.answers)


@then("every host refuses the request as not-run")
def check_refused(context) -> None:
    for host in context.system.hosts:
        answer = context.client.send(host, "key-0", path="/poison")
        assert (answer.outcome, answer.reason) == ("not-run", "quarantined"), answer


@then("a key of a running target is still served")
def check_other_key_served(context) -> None:
    host = next(iter(context.system.hosts))
    context.system.wait_until(
        lambda: any(_serves(context, host, f"key-{number}") for number in range(24)),
        "a key is served",
    )


@when("all connections to targets go silent while {requests:d} requests are running")
def silence_connections(context, requests: int) -> None:
    system, client = context.system, context.client
    first = next(iter(system.hosts))
    context.owners = {n: system.explain(first, f"key-{n}")["owner"] for n in range(24)}
    client.set_behaviour(service_seconds=0.15)
    hosts = list(system.hosts)
    # The deadline is shorter than a grant: an attempt that waited for its timeout would leave no
    # time for a second attempt.
    threads = client.start_threads(
        *(
            (client.send, hosts[n % len(hosts)], f"key-{n}", "GET", "/permit", "", 0.85)
            for n in range(requests)
        )
    )
    time.sleep(0.15)
    client.set_behaviour(silence_open=True)
    for thread in threads:
        thread.join()


@then("all of these requests are answered")
def check_answered(context) -> None:
    failed = [(a.status, a.reason) for a in context.client.answers if a.status != 200]
    assert failed == [], failed


@then("each key still has the same owner")
def check_same_owners(context) -> None:
    first = next(iter(context.system.hosts))
    time.sleep(1.5)
    for number, owner in context.owners.items():
        assert context.system.explain(first, f"key-{number}")["owner"] == owner
        doc = context.system.request(first, f"key-{number}").json()
        assert doc["target"] == owner, doc


@when(
    "targets give {swapped:d} swapped, {cut:d} cut-off and some late answers to {total:d} requests"
)
def send_to_faulty_targets(context, swapped: int, cut: int, total: int) -> None:
    client = context.client
    count = len(context.system.targets)
    client.set_behaviour(
        crossed=swapped // count,
        truncated=cut // count,
        answer_bytes=5000,
        service_seconds=0.05,
    )
    hosts = list(context.system.hosts)
    for start in range(0, total, 10):
        # A deadline that expires while the target runs the request makes the answer late.
        threads = client.start_threads(
            *(
                (
                    client.send,
                    hosts[number % len(hosts)],
                    f"key-{number}",
                    "POST" if number % 2 else "GET",
                    "/permit",
                    f"fee-{number}" if number % 2 else "",
                    0.04 if number % 15 == 0 else 2.0,
                )
                for number in range(start, start + 10)
            )
        )
        for thread in threads:
            thread.join()


@then("at least {answered:d} of these requests are answered")
def check_most_answered(context, answered: int) -> None:
    complete = [a for a in context.client.answers if a.status == 200 and a.complete]
    failed = [(a.status, a.outcome, a.reason) for a in context.client.answers if a.status != 200]
    assert len(complete) >= answered, failed
