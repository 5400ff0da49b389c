"""The command line: exit statuses and what it prints."""

from __future__ import annotations

import json
import socket
from functools import partial

import pytest
import trio

from radishshunt.cmd.main import main
from radishshunt.emulator.platform import Faults
from tests.test_admin.conftest import FIRST_NOTE, TOKEN, open_system

__all__ = ["open_system"]

SETTINGS = """\
host: {name: host-01, domain: akl-a}
callers: {address: "127.0.0.1:8080"}
admin: {address: "127.0.0.1:8081", token: 0123456789abcdef0}
peers: {address: "127.0.0.1:8082"}
platform: {url: "http://127.0.0.1:7000"}
"""


@pytest.fixture
def run(capsys):
    """Return a function that runs a command: exit status, standard output, standard error."""

    def call(*args: str) -> tuple[int, str, str]:
        with pytest.raises(SystemExit) as ended:
            main(list(args))
        captured = capsys.readouterr()
        return int(ended.value.code or 0), captured.out, captured.err

    return call


def test_check_tells_the_kinds_apart_by_content(run, tmp_path) -> None:
    """Guards against settings that mention a note's member and are taken for a note."""
    settings, note = tmp_path / "predecessor.yaml", tmp_path / "settings.yaml"
    settings.write_text("# predecessor of the new host\n" + SETTINGS)
    note.write_text(FIRST_NOTE)
    status, out, err = run("check", str(settings), str(note))
    assert (status, err) == (0, "")
    assert out.splitlines() == [
        f"{settings}: settings of host host-01 is valid",
        f"{note}: release note for version 1 is valid",
    ]


def test_check_prints_every_problem_with_line_and_path(run, tmp_path) -> None:
    """Guards against operators who find one problem at a time."""
    note, settings = tmp_path / "note.yaml", tmp_path / "settings.yaml"
    note.write_text(FIRST_NOTE.replace("predecessor: 0", "predecesor: 0").replace("true", "maybe"))
    settings.write_text(SETTINGS.replace("host-01", "HOST").replace("0123456789abcdef0", "short"))
    status, _, err = run("check", str(note), str(settings))
    assert status == 3
    problems = [" ".join(line.split(": ")[1:3]) for line in err.splitlines()]
    assert problems == [
        f"{note}:1 predecessor",
        f"{note}:7 added.services.permits.keyed",
        f"{note}:1 predecesor",
        f"{settings}:1 host.name",
        f"{settings}:3 admin.token",
    ]


@pytest.mark.parametrize(
    ("args", "status", "line"),
    [
        (["check", "/nowhere/a.yaml"], 1, "No such file"),
        (["explain", "permits", "a", "--admin", "http://127.0.0.1:1"], 7, "host unreachable"),
        (["release", "status", "--admin", "nonsense"], 1, "nonsense"),
        (["nothing"], 2, "No such command"),
        (["serve", "/nowhere/a.yaml"], 1, "No such file"),
    ],
)
def test_errors_are_one_clear_line(run, args, status, line) -> None:
    """Guards against tracebacks in front of operators."""
    found, _, err = run(*args)
    assert found == status
    assert line in err
    assert "Traceback" not in err
    if status != 2:
        assert len(err.splitlines()) == 1


def test_serve_names_an_address_in_use(run, tmp_path, loopback) -> None:
    """Guards against a group of exceptions in front of operators."""
    address = loopback()
    cfg = SETTINGS.replace("127.0.0.1:8082", address)
    cfg = cfg.replace("127.0.0.1:8080", loopback()).replace("127.0.0.1:8081", loopback())
    (tmp_path / "settings.yaml").write_text(cfg)
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        ip, _, port = address.rpartition(":")
        held.bind((ip, int(port)))
        held.listen()
        status, _, err = run("serve", str(tmp_path / "settings.yaml"))
    assert status == 1
    assert "Address already in use" in err
    assert "Traceback" not in err


def test_debug_shows_the_traceback(tmp_path, monkeypatch) -> None:
    """Guards against faults that can't be traced."""
    monkeypatch.setenv("RADISHSHUNT_DEBUG", "")
    with pytest.raises(FileNotFoundError):
        main(["--debug", "check", str(tmp_path / "none.yaml")])


async def test_submission_has_an_exit_status_for_each_end(run, open_system, tmp_path) -> None:
    """Guards against scripts that can't tell a conflict from an unknown outcome."""
    note, other, invalid = (tmp_path / name for name in ("note", "other", "invalid"))
    note.write_text(FIRST_NOTE)
    other.write_text(FIRST_NOTE.replace("tests", "others"))
    invalid.write_text(FIRST_NOTE + "withdrawn: {targets: [none]}")
    async with open_system() as system:

        async def command(*args: str) -> tuple[int, str, str]:
            options = ["--admin", system.admin, "--token", TOKEN]
            return await trio.to_thread.run_sync(partial(run, *args, *options))

        assert (await command("release", "submit", str(invalid)))[0] == 3
        system.platform.faults = Faults(down=True)
        assert (await command("release", "submit", str(note)))[0] == 5
        system.platform.faults = Faults()
        status, out, _ = await command("release", "submit", str(note))
        assert (status, out.split(",")[0]) == (0, "accepted as version 1")
        assert (await command("release", "submit", str(note)))[0] == 0
        status, _, err = await command("release", "submit", str(other))
        assert (status, err.split(": ")[1]) == (4, "conflict")
        status, out, _ = await command("release", "history", "--json")
        assert [n["summary"] for n in json.loads(out)["releases"]] == ["adds permits"]
        status, out, _ = await command("release", "status")
        assert status == 0
        assert out.splitlines()[1].split() == ["host-01", "akl-a", "version", "1"]
        status, out, _ = await command("explain", "permits", "a", "--json")
        assert (status, json.loads(out)["service"]) == (0, "permits")


async def test_lost_answer_ends_as_unknown(run, loopback, tmp_path) -> None:
    """Guards against a lost answer that looks like a refusal."""
    (tmp_path / "note").write_text(FIRST_NOTE)
    ip, _, port = loopback().rpartition(":")

    async def cut(stream: trio.SocketStream) -> None:
        await stream.receive_some(1)
        await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(int(port), host=ip)
        nursery.start_soon(trio.serve_listeners, cut, listeners)
        args = ("release", "submit", str(tmp_path / "note"), "--admin", f"http://{ip}:{port}")
        status, _, err = await trio.to_thread.run_sync(partial(run, *args))
        nursery.cancel_scope.cancel()
    assert status == 6
    assert "submit the same note again" in err
