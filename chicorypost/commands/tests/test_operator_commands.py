"""Tests of the operators' commands against real control processes."""

import json

import cappa
import pytest

from chicorypost.base import InstanceId, Version
from chicorypost.commands._client import OperatorClient
from chicorypost.commands._config import build_version_table
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._main import RootCommand
from chicorypost.configuration._messages import Laggard
from chicorypost.daemons._named import to_json_value
from chicorypost.daemons.tests.control_processes import ControlProcesses, find_free_ports
from chicorypost.transport import ExchangeRequest

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
    servers = ",".join(f"http://127.0.0.1:{port}" for port in cluster.operators.values())

    def run_command(*arguments, servers=servers):
        code: object = 0
        try:
            cappa.invoke(RootCommand, argv=[*arguments, "--servers", servers])
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


def current(run):
    return json.loads(run("status", "--json")[1])["version"]


def write(folder, value):
    file = folder / "patch.json"
    file.write_text(json.dumps(value))
    return str(file)


def test_a_patch_is_accepted_waited_for_read_back_and_listed(run, tmp_path):
    service = {"addresses": [ADDRESS], "selector": {"service": "archive"}}
    file = write(tmp_path, {"services": {"archive": service}})
    expect = str(current(run))
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


def test_what_operators_get_has_named_fields():
    laggard = Laggard(InstanceId("gent-2"), Version(1), 9)
    named = {"instance": "gent-2", "version": 1, "silent_ms": 9}
    assert to_json_value({"behind": (laggard,)}) == {"behind": [named]}


def test_a_stale_patch_names_the_current_version(run, tmp_path):
    version = current(run)
    code, _, err = run("config", "patch", write(tmp_path, {}), "--expect", str(version + 7))
    assert code == ExitCode.STALE
    assert f"the current one is {version}" in " ".join(err.split())


def test_a_bad_patch_names_each_mistake(run, tmp_path):
    body = {"services": {"a": {"addresses": ["nonsense"], "selector": {"service": "a"}}}}
    file = write(tmp_path, body)
    code, _, err = run("config", "patch", file, "--expect", str(current(run)))
    assert code == ExitCode.REFUSED
    assert "/services/a/addresses/0: got 'nonsense', allowed is ip:port/tcp" in " ".join(
        err.split()
    )


@pytest.mark.parametrize(
    ("servers", "expected"), [("nonsense", ExitCode.USAGE), ("ftp://a:1", ExitCode.USAGE)]
)
def test_a_wrong_server_is_wrong_use(run, servers, expected):
    assert run("status", servers=servers)[0] == expected


def test_a_missing_file_is_wrong_use(run, tmp_path):
    code, _, err = run("config", "patch", str(tmp_path / "none.json"), "--expect", "1")
    assert (code, "cannot be read" in " ".join(err.split())) == (ExitCode.USAGE, True)


def test_a_version_that_is_not_in_force_in_time_has_an_exit_code_of_its_own(run):
    assert run("config", "wait", "99", "--timeout", "0")[0] == ExitCode.NOT_IN_FORCE


def test_nobody_reached_is_said_with_what_was_tried():
    port = find_free_ports(1)[0]
    client = OperatorClient(f"http://127.0.0.1:{port}", total_seconds=0.3)
    with pytest.raises(cappa.Exit) as ended:
        client.run_request(ExchangeRequest("GET", "/v1/status"))
    assert ended.value.code == ExitCode.UNREACHABLE
    assert f"127.0.0.1:{port}: unreachable" in str(ended.value.message)
