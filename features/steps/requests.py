"""Steps about what callers get while parts are lost or misbehave."""

from __future__ import annotations

import time

from behave import given, then, when

from tests.support.calls import Calls


@given("all keys are served")
def wait_served(context) -> None:
    context.calls = Calls(context.system, "permits")
    hosts = list(context.system.hosts)
    for number in range(24):
        context.system.wait_until(
            lambda number=number: _serves(context, hosts[number % len(hosts)], f"key-{number}"),
            f"key-{number} is served",
        )
    context.calls.answers.clear()


def _serves(context, host: str, key: str) -> bool:
    return context.calls.call(host, key).status == 200


@when("fees for {keys:d} keys are running and the dispatcher of the first is killed")
def kill_dispatcher(context, keys: int) -> None:
    system, calls = context.system, context.calls
    calls.set_behaviour(service_seconds=0.4)
    victim = system.explain(next(iter(system.hosts)), "key-0")["dispatcher"]
    entry = [host for host in system.hosts if host != victim]
    threads = calls.in_parallel(
        *((calls.pay, entry[number % len(entry)], f"key-{number}") for number in range(keys))
    )
    time.sleep(0.6)
    system.kill(victim)
    for thread in threads:
        thread.join()


@then("no fee ran twice and no refusal is false")
def check_history(context) -> None:
    findings = [str(finding) for finding in context.calls.findings()]
    assert findings == [], "\n".join(findings)


@then("only fees that held one of the {slots:d} slots at the loss remain unknown")
def check_paid(context, slots: int) -> None:
    answers = context.calls.answers
    paid = {a.idempotency_key for a in answers if a.status == 200}
    unpaid = {a.idempotency_key for a in answers} - paid
    # A fee is recorded once it has a slot, and the record of its end can be on its way.
    assert 0 < len(unpaid) <= slots, (len(unpaid), slots)
    last = {a.idempotency_key: a.outcome for a in answers}
    assert {last[fee] for fee in unpaid} == {"unknown"}


@when("a request that crashes its target is sent {times:d} times over all hosts")
def send_poison(context, times: int) -> None:
    calls = context.calls
    calls.set_behaviour(crash_on="poison")
    hosts = list(context.system.hosts)
    for number in range(times):
        calls.call(hosts[number % len(hosts)], "key-0", path="/poison", timeout=4.0)
        time.sleep(0.3)


@then("{count:d} targets have crashed")
def check_crashed(context, count: int) -> None:
    crashed = [name for name in context.system.targets if not context.calls.lives(name)]
    assert len(crashed) == count, (crashed, context.calls.answers)


@then("every host refuses the request as not-run")
def check_refused(context) -> None:
    for host in context.system.hosts:
        answer = context.calls.call(host, "key-0", path="/poison")
        assert (answer.outcome, answer.reason) == ("not-run", "quarantined"), answer


@then("a key of a living target is still served")
def check_others(context) -> None:
    host = next(iter(context.system.hosts))
    context.system.wait_until(
        lambda: any(_serves(context, host, f"key-{number}") for number in range(24)),
        "a key is served",
    )


@when("all connections to targets go silent while {requests:d} requests are running")
def silence(context, requests: int) -> None:
    system, calls = context.system, context.calls
    first = next(iter(system.hosts))
    context.owners = {n: system.explain(first, f"key-{n}")["owner"] for n in range(24)}
    calls.set_behaviour(service_seconds=0.15)
    hosts = list(system.hosts)
    # A grant lasts longer than this deadline, so that an attempt that waits for the end of
    # its time leaves none for a second one.
    threads = calls.in_parallel(
        *(
            (calls.call, hosts[n % len(hosts)], f"key-{n}", "GET", "/permit", "", 0.85)
            for n in range(requests)
        )
    )
    time.sleep(0.15)
    calls.set_behaviour(silence_open=True)
    for thread in threads:
        thread.join()


@then("all of these requests are answered")
def check_answered(context) -> None:
    failed = [(a.status, a.reason) for a in context.calls.answers if a.status != 200]
    assert failed == [], failed


@then("each key still has its former owner")
def check_same_owners(context) -> None:
    first = next(iter(context.system.hosts))
    time.sleep(1.5)
    for number, owner in context.owners.items():
        assert context.system.explain(first, f"key-{number}")["owner"] == owner
        doc = context.system.request(first, f"key-{number}").json()
        assert doc["target"] == owner, doc


@when(
    "targets give {crossed:d} crossed, {cut:d} cut and some late answers to {requests:d} requests"
)
def misbehave(context, crossed: int, cut: int, requests: int) -> None:
    calls = context.calls
    count = len(context.system.targets)
    calls.set_behaviour(
        crossed=crossed // count,
        truncated=cut // count,
        answer_bytes=5000,
        service_seconds=0.05,
    )
    hosts = list(context.system.hosts)
    for start in range(0, requests, 10):
        # A deadline that passes while the target runs makes its answer a late one.
        threads = calls.in_parallel(
            *(
                (
                    calls.call,
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
    complete = [a for a in context.calls.answers if a.status == 200 and a.complete]
    others = [(a.status, a.outcome, a.reason) for a in context.calls.answers if a.status != 200]
    assert len(complete) >= answered, others
