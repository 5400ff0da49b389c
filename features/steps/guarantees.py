"""Steps that cause failures under load and check what must always hold."""

from __future__ import annotations

import threading
import time

import trio
from behave import given, then, when

from tests.soak.callers import Callers
from tests.soak.check import find_violations, read_journals

STOP_OF_WORK_SECONDS = 3.0
SERVED_AGAIN_SECONDS = 2.0


class Load:
    """Callers that run in a thread of their own until the scenario ends."""

    def __init__(self, system, rate: float, keys: int) -> None:
        urls = {name: system.caller_url(name, "") for name in system.hosts}
        self.callers = Callers(urls, [f"key-{n}" for n in range(keys)], seed=7)
        self._thread = threading.Thread(target=trio.run, args=(self.callers.run, rate))
        self._thread.start()

    def end(self) -> None:
        """Stop the load and wait for the last answers."""
        self.callers.stop()
        self._thread.join()


@given("steady load of {rate:d} requests a second for {keys:d} keys")
def start_load(context, rate: int, keys: int) -> None:
    context.load = Load(context.system, rate, keys)
    context.stack.callback(context.load.end)
    context.lost_at = {}
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
    host = next(name for name in context.system.hosts if name != context.cut_off)
    submit(context, host, {"withdrawn": {"targets": [target]}})


def submit(context, host: str, part: dict) -> None:
    """Submit a note and remember when it was accepted."""
    resp = context.system.submit(host, {"predecessor": context.system.version, **part})
    assert resp.status_code == 200, resp.text
    context.accepted_at = time.time()


@when('the dispatcher of "{target}" is cut off from all other hosts and the platform')
def cut_off(context, target: str) -> None:
    system = context.system
    answers = (system.explain("host-01", key) for key in context.load.callers.keys)
    host = next(doc["dispatcher"] for doc in answers if doc["owner"] == target)
    context.cut_off = host
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
        assert status == 0, f"{host} ended with {status}"
        system.restart(host)
        system.wait_for(system.admin_url(host, "/readyz"))
        time.sleep(3.0)


@when('the platform is down and target "{target}" is lost')
def lose_target(context, target: str) -> None:
    context.system.set_platform_faults(down=True)
    context.system.kill(target)
    context.lost_at[target] = [time.time()]


@when("two operators submit different notes after the same version")
def race(context) -> None:
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
def replace_host(context, host: str) -> None:
    context.system.set_platform_faults(down=True)
    context.system.kill(host)
    context.system.restart(host)


@when("the platform loses the answer to the next commit and a note is submitted")
def lose_answer(context) -> None:
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
    """Check that targets started nothing after the time for a change to take effect."""
    runs = read_journals(context.system.journal(name) for name in names)
    assert any(run.started_at < context.accepted_at for run in runs), "no load before the change"
    limit = context.accepted_at + STOP_OF_WORK_SECONDS
    late = [run for run in runs if run.started_at > limit]
    assert not late, f"{len(late)} requests, the first {late[0].started_at - limit:.2f} s late"


@then("no request was cut")
def check_not_cut(context) -> None:
    context.load.end()
    cut = [
        attempt
        for operation in context.load.callers.operations
        for attempt in operation.attempts
        if attempt.outcome in ("unknown", "wrong")
    ]
    assert not cut, f"{len(cut)} of them, for example {cut[:3]}"


@then("every key was answered again within 2 s")
def check_served_again(context) -> None:
    context.load.end()
    lost_at = max(at for times in context.lost_at.values() for at in times)
    first: dict[str, float] = {}
    for operation in context.load.callers.operations:
        for attempt in operation.attempts:
            if attempt.outcome == "answered" and attempt.ended_at > lost_at:
                known = first.get(operation.key, float("inf"))
                first[operation.key] = min(known, attempt.ended_at)
    # A key's first request after the loss may come late; what counts is how long requests waited.
    asked: dict[str, float] = {}
    for operation in context.load.callers.operations:
        for attempt in operation.attempts:
            if attempt.sent_at > lost_at - 0.1:
                asked.setdefault(operation.key, max(attempt.sent_at, lost_at))
    waits = {key: first.get(key, float("inf")) - at for key, at in asked.items()}
    worst = max(waits, key=waits.__getitem__)
    assert waits[worst] <= SERVED_AGAIN_SECONDS, f"{worst} waited for {waits[worst]:.2f} s"


@then("every caller got a whole answer to its own request or a true refusal")
def check_history(context) -> None:
    context.load.end()
    system = context.system
    runs = read_journals(system.journal(name) for name in system.targets)
    operations = context.load.callers.operations
    assert sum(operation.result == "answered" for operation in operations) > len(operations) / 2
    violations = find_violations(runs, operations, context.lost_at)
    assert not violations, "\n".join(violations[:10])


@then("one note is accepted and the other one is told of the conflict")
def check_race(context) -> None:
    statuses = sorted(resp.status_code for _, resp in context.answers)
    assert statuses == [200, 409], statuses
    context.accepted = next(note for note, resp in context.answers if resp.status_code == 200)
    winner = next(resp.json() for _, resp in context.answers if resp.status_code == 200)
    loser = next(resp.json() for _, resp in context.answers if resp.status_code == 409)
    assert winner["digest"][:12] in loser["detail"], loser
    context.resp = None
    context.expected_version = winner["version"]
    context.digest = winner["digest"]


@then("submitting the accepted note again gives the same acceptance")
def check_again(context) -> None:
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

    def in_force() -> bool:
        try:
            versions = [system.status(host)["version"] for host in system.hosts]
        except Exception:  # A host that starts does not answer yet.
            return False
        return versions == [context.expected_version] * len(versions)

    system.wait_until(in_force, "the accepted version on every host", seconds)
