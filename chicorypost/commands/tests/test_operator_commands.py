"""Tests of the operator commands against running control processes."""

import json

import cappa
import pytest

import chicorypost.commands._client
from chicorypost.base import InstanceId, Version
from chicorypost.commands._client import OperatorClient
from chicorypost.commands._config import build_version_table
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._main import RootCommand
from chicorypost.configuration._messages import Laggard
from chicorypost.daemons._named import to_json_value
from chicorypost.daemons.tests.control_processes import ControlProcesses, find_free_ports
from chicorypost.transport import ExchangeFailed, ExchangeFault, ExchangeRequest

ADDRESS = "10.0.0.1:80/tcp"
pytestmark = pytest.mark.xdist_group("control-processes")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    processes = ControlProcesses(tmp_path_factory.mktemp("commands"))
    try:
        processes.wait_for_leader()
        yield processes
    finally:
        processes.stop()


@pytest.fixture
def run(cluster, capsys):
    """Return a function that runs a command and returns its exit code, output and errors."""
    servers = ",".join(f"http://127.0.0.1:{port}" for port in cluster.operator_ports.values())

    def run_command(*arguments, servers=servers):
        code: object = 0
        try:
            cappa.invoke(RootCommand, argv=[*arguments, "--servers", servers])
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


def current_version(run):
    return json.loads(run("status", "--json")[1])["version"]


def write_patch(folder, value):
    file = folder / "patch.json"
    file.write_text(json.dumps(value))
    return str(file)


def test_a_patch_is_accepted_waited_for_read_back_and_listed(run, tmp_path):
    service = {"addresses": [ADDRESS], "selector": {"service": "archive"}}
    file = write_patch(tmp_path, {"services": {"archive": service}})
    expect = str(current_version(run))
    version = int(expect) + 1
    code, out, _ = run("config", "patch", file, "--expect", expect, "--author", "ann", "--wait")
    assert (code, f"accepted as version {version}" in out) == (ExitCode.OK, True)
    code, out, err = run("config", "get")
    assert (code, json.loads(out)["services"]["archive"]) == (ExitCode.OK, service)
    assert f"version {version}" in err
    code, out, _ = run("config", "history", "--json")
    newest = json.loads(out)[0]
    assert (code, newest["version"], newest["author"]) == (ExitCode.OK, version, "ann")
    code, out, _ = run("status", "--json")
    status = json.loads(out)
    assert (code, status["version"], len(status["voters"])) == (ExitCode.OK, version, 3)
    code, out, _ = run("status")
    assert (code, "leader" in out) == (ExitCode.OK, True)


def test_a_laggard_and_a_silent_data_centre_are_shown_in_the_table():
    laggard = {"instance": "gent-2", "version": 1, "silent_ms": 9}
    counts = {"members": 3, "applying_count": 2, "silent_seconds": 0.5}
    table = build_version_table(
        {"data_centres": [{"data_centre": "gent", "behind": [laggard], **counts}]}
    )
    assert [list(column.cells) for column in table.columns][3] == ["gent-2"]


def test_json_for_operators_has_named_fields():
    laggard = Laggard(InstanceId("gent-2"), Version(1), 9)
    named = {"instance": "gent-2", "version": 1, "silent_ms": 9}
    assert to_json_value({"behind": (laggard,)}) == {"behind": [named]}


def test_a_stale_patch_names_the_current_version(run, tmp_path):
    version = current_version(run)
    code, _, err = run("config", "patch", write_patch(tmp_path, {}), "--expect", str(version + 7))
    assert code == ExitCode.STALE
    assert f"the current one is {version}" in " ".join(err.split())


def test_an_invalid_patch_reports_each_error(run, tmp_path):
    body = {"services": {"a": {"addresses": ["nonsense"], "selector": {"service": "a"}}}}
    file = write_patch(tmp_path, body)
    code, _, err = run("config", "patch", file, "--expect", str(current_version(run)))
    assert code == ExitCode.REFUSED
    assert "/services/a/addresses/0: got 'nonsense', allowed is ip:port/tcp" in " ".join(
        err.split()
    )


@pytest.mark.parametrize(
    ("servers", "expected"), [("nonsense", ExitCode.USAGE), ("ftp://a:1", ExitCode.USAGE)]
)
def test_an_invalid_server_is_a_usage_error(run, servers, expected):
    assert run("status", servers=servers)[0] == expected


def test_a_missing_file_is_a_usage_error(run, tmp_path):
    code, _, err = run("config", "patch", str(tmp_path / "none.json"), "--expect", "1")
    assert (code, "cannot be read" in " ".join(err.split())) == (ExitCode.USAGE, True)


def test_a_timeout_of_wait_has_its_own_exit_code(run):
    assert run("config", "wait", "99", "--timeout", "0")[0] == ExitCode.NOT_IN_FORCE


def test_unreachable_servers_are_reported_with_the_cause():
    port = find_free_ports(1)[0]
    client = OperatorClient(f"http://127.0.0.1:{port}", total_seconds=0.3)
    with pytest.raises(cappa.Exit) as ended:
        client.run_request(ExchangeRequest("GET", "/v1/status"))
    assert ended.value.code == ExitCode.UNREACHABLE
    assert f"127.0.0.1:{port}: unreachable" in str(ended.value.message)


def test_a_refusal_after_a_lost_answer_says_that_the_change_may_have_been_made(run, monkeypatch):
    """The first attempt removed the member and its answer was lost; the second finds no member."""
    attempts = []
    exchange = chicorypost.commands._client.exchange_once

    async def lose_first_answer(*arguments):
        attempts.append(arguments)
        if len(attempts) == 1:
            return ExchangeFailed(ExchangeFault.BROKEN, "connection lost")
        return await exchange(*arguments)

    code, _, err = run("members", "remove", "control-9")
    assert (code, "may have made" in err) == (ExitCode.REFUSED, False)
    monkeypatch.setattr(chicorypost.commands._client, "exchange_once", lose_first_answer)
    code, _, err = run("members", "remove", "control-9")
    assert (code, "may have made" in err) == (ExitCode.REFUSED, True)
