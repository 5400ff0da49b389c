"""Steps that cause failures under load and check the guarantees."""

from __future__ import annotations

import threading
import time

import trio
from behave import given, then, when

from tests.soak.check import find_violations, read_journals
from tests.soak.load_generator import LoadGenerator

MAX_APPLY_SECONDS = 3.0
MAX_UNSERVED_SECONDS = 2.0


class BackgroundLoad:
    """Load generator that runs in its own thread until the scenario ends."""

    def __init__(self, system, rate: float, keys: int) -> None:
        urls = {name: system.caller_url(name, "") for name in system.hosts}
        self.generator = LoadGenerator(urls, [f"key-{n}" for n in range(keys)], seed=7)
        self._thread = threading.Thread(target=trio.run, args=(self.generator.run, rate))
        self._thread.start()

    def stop(self) -> None:
        """Stop the load and wait until the last operation has ended."""
        self.generator.stop()
        self._thread.join()


@given("steady load of {rate:d} requests a second for {keys:d} keys")
def start_load(context, rate: int, keys: int) -> None:
    context.load = BackgroundLoad(context.system, rate, keys)
    context.exit_stack.callback(context.load.stop)
    context.killed_at = {}
    time.sleep(1.0)


@when('host "{host}" is paused for {seconds:d} s')
def pause_host(context, host: str, seconds: int) -> None:
    context.system.pause(host)
    threading.Timer(seconds, context.system.resume, (host,)).start()


@when('target "{target}" is paused for {seconds:d} s')
def pause_target(context, target: str, seconds: int) -> None:
    context.system.pause(target)
    time.sleep(seconds)
    context.system.resume(target)


@when('a note takes failure domain "{domain}" out through "{host}" while it is paused')
def take_domain_out(context, domain: str, host: str) -> None:
    submit(context, host, {"taken_out": {"domains": [domain]}})


@when('a note withdraws target "{target}" through another host')
def withdraw_target(context, target: str) -> None:
    host = next(name for name in context.system.hosts if name != context.isolated_host)
    submit(context, host, {"withdrawn": {"targets": [target]}})


def submit(context, host: str, changes: dict) -> None:
    """Submit a note and record when it was accepted."""
    resp = context.system.submit(host, {"predecessor": context.system.version, **changes})
    assert resp.status_code == 200, resp.text
    context.accepted_at = time.time()


@when('the dispatcher of "{target}" is cut off from all other hosts and the platform')
def isolate_dispatcher(context, target: str) -> None:
    system = context.system
    explanations = (system.explain("host-01", key) for key in context.load.generator.keys)
    host = next(doc["dispatcher"] for doc in explanations if doc["owner"] == target)
    context.isolated_host = host
    for other in system.hosts:
        if other != host:
            system.set_link(host, other, "cut")
            system.set_link(other, host, "cut")
    system.set_link(host, "platform", "cut")


@when("{seconds:d} s pass")
def wait(context, seconds: int) -> None:
    time.sleep(seconds)


@when("each host is stopped gracefully and started again")
def restart_hosts(context) -> None:
    system = context.system
    for host in list(system.hosts):
        status = system.terminate(host)
        assert status == 0, f"{host} exited with status {status}"
        system.restart(host)
        system.wait_for_url(system.admin_url(host, "/readyz"))
        time.sleep(3.0)


@when('the platform is down and target "{target}" is killed')
def kill_target_without_platform(context, target: str) -> None:
    context.system.set_platform_faults(down=True)
    context.system.kill(target)
    context.killed_at[target] = [time.time()]


@when("two operators submit different notes with the same predecessor at the same time")
def submit_concurrently(context) -> None:
    system = context.system
    version = system.version
    notes = [
        {"predecessor": version, "changed": {"targets": {"permits-01": {"connections": size}}}}
        for size in (100, 101)
    ]
    answers: dict[int, tuple[dict, object]] = {}

    def send(index: int, host: str) -> None:
        answers[index] = (notes[index], system.submit(host, notes[index]))

    threads = [
        threading.Thread(target=send, args=(index, host))
        for index, host in enumerate(("host-01", "host-02"))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.answers = list(answers.values())


@when('the platform is down and host "{host}" is killed and started again')
def restart_host_without_platform(context, host: str) -> None:
    context.system.set_platform_faults(down=True)
    context.system.kill(host)
    context.system.restart(host)


@when("the platform loses the answer to the next commit and a note is submitted")
def submit_with_lost_answer(context) -> None:
    system = context.system
    system.set_platform_faults(lose_answers=1)
    note = {
        "predecessor": system.version,
        "changed": {"targets": {"permits-01": {"connections": 99}}},
    }
    context.expected_version = system.version + 1
    context.resp = system.submit("host-01", note)


@then('no request has started in "{domain}" later than 3 s after acceptance')
def check_domain(context, domain: str) -> None:
    system = context.system
    names = [name for name in system.targets if system.domain_of(name) == domain]
    check_no_new_work(context, names)


@then('no request has started on "{target}" later than 3 s after acceptance')
def check_target(context, target: str) -> None:
    check_no_new_work(context, [target])


def check_no_new_work(context, names: list[str]) -> None:
    """Check that targets started no request after a change had to be in effect."""
    executions = read_journals(context.system.journal(name) for name in names)
    assert any(
        execution.started_at < context.accepted_at for execution in executions
    ), "no request started before the change"
    limit = context.accepted_at + MAX_APPLY_SECONDS
    late = [execution for execution in executions if execution.started_at > limit]
    assert (
        not late
    ), f"{len(late)} requests started late, the first by {late[0].started_at - limit:.2f} s"


@then("no request was cut")
def check_none_interrupted(context) -> None:
    context.load.stop()
    interrupted = [
        attempt
        for operation in context.load.generator.operations
        for attempt in operation.attempts
        if attempt.outcome in ("unknown", "wrong")
    ]
    assert not interrupted, f"{len(interrupted)} attempts, for example {interrupted[:3]}"


@then("every key was answered again within 2 s")
def check_served_again(context) -> None:
    context.load.stop()
    killed_at = max(at for times in context.killed_at.values() for at in times)
    first_answered_at: dict[str, float] = {}
    for operation in context.load.generator.operations:
        for attempt in operation.attempts:
            if attempt.outcome == "answered" and attempt.ended_at > killed_at:
                earliest = first_answered_at.get(operation.key, float("inf"))
                first_answered_at[operation.key] = min(earliest, attempt.ended_at)
    # A key's wait starts with its first request after the kill, which may be sent late.
    first_sent_at: dict[str, float] = {}
    for operation in context.load.generator.operations:
        for attempt in operation.attempts:
            if attempt.sent_at > killed_at - 0.1:
                first_sent_at.setdefault(operation.key, max(attempt.sent_at, killed_at))
    waits = {
        key: first_answered_at.get(key, float("inf")) - at for key, at in first_sent_at.items()
    }
    slowest = max(waits, key=waits.__getitem__)
    assert waits[slowest] <= MAX_UNSERVED_SECONDS, f"{slowest} waited for {waits[slowest]:.2f} s"


@then("every caller got the complete answer to its own request or a correct refusal")
def check_caller_results(context) -> None:
    context.load.stop()
    system = context.system
    executions = read_journals(system.journal(name) for name in system.targets)
    operations = context.load.generator.operations
    assert sum(operation.result == "answered" for operation in operations) > len(operations) / 2
    violations = find_violations(executions, operations, context.killed_at)
    assert not violations, "\n".join(violations[:10])


@then("one note is accepted and the other one is refused with a conflict")
def check_one_accepted(context) -> None:
    statuses = sorted(resp.status_code for _, resp in context.answers)
    assert statuses == [200, 409], statuses
    context.accepted = next(note for note, resp in context.answers if resp.status_code == 200)
    acceptance = next(resp.json() for _, resp in context.answers if resp.status_code == 200)
    refusal = next(resp.json() for _, resp in context.answers if resp.status_code == 409)
    assert acceptance["digest"][:12] in refusal["detail"], refusal
    context.resp = None
    context.expected_version = acceptance["version"]
    context.digest = acceptance["digest"]


@then("submitting the accepted note again gives the same acceptance")
def check_resubmission(context) -> None:
    resp = context.system.submit("host-03", context.accepted)
    assert resp.status_code == 200, resp.text
    assert resp.json()["digest"] == context.digest


@then("the submission is answered with its acceptance")
def check_acceptance(context) -> None:
    assert context.resp.status_code == 200, context.resp.text
    assert context.resp.json()["version"] == context.expected_version


@then("every host has the accepted version within {seconds:d} s")
def check_version(context, seconds: int) -> None:
    system = context.system

    def all_hosts_updated() -> bool:
        try:
            versions = [system.status(host)["version"] for host in system.hosts]
        except Exception:  # A host that is starting does not answer yet.
            return False
        return versions == [context.expected_version] * len(versions)

    system.wait_until(all_hosts_updated, "the accepted version on every host", seconds)
