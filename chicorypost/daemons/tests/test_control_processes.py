"""Tests of control processes that are killed, suspended or lose their data during patches."""

import concurrent.futures
import errno
import json
import signal
import socket
import threading
import time

import pytest
import uuid6

from chicorypost.commands._exit import ExitCode
from chicorypost.daemons.tests import control_processes
from chicorypost.daemons.tests.control_processes import (
    TIMEOUT_SECONDS,
    ControlProcesses,
    wait_for,
)

SUPERVISION_SECONDS = 0.2
"""Interval at which a supervisor looks for instances that have ended."""
FULL_SECONDS = 3.0
pytestmark = pytest.mark.xdist_group("control-processes")


def make_document(number):
    addresses = [f"10.0.{number // 250}.{number % 250}:80/tcp"]
    return {"services": {"archive": {"addresses": addresses, "selector": {"service": "archive"}}}}


@pytest.fixture(scope="module")
def shared_cluster(tmp_path_factory):
    processes = ControlProcesses(tmp_path_factory.mktemp("control"))
    try:
        yield processes
    finally:
        processes.stop()


@pytest.fixture
def cluster(shared_cluster):
    """Return the cluster after all instances run and a leader is elected."""
    for name in shared_cluster.names:
        if name not in shared_cluster.processes:
            shared_cluster.start(name)
        shared_cluster.signal(name, signal.SIGCONT)
    shared_cluster.wait_for_leader()
    return shared_cluster


def get_current_version(cluster):
    response = cluster.send_request("GET", "/v1/config")
    return int(dict(response.headers)["etag"].strip('"'))


def list_versions(cluster):
    history = json.loads(cluster.send_request("GET", "/v1/config/history").body)
    return [entry["version"] for entry in history][::-1]


def test_leader_and_follower_killed_under_patches_lose_no_accepted_patch(cluster):
    version = get_current_version(cluster)
    for victim in ("leader", "follower"):
        for number in range(5):
            response = cluster.send_patch(version, make_document(version))
            assert response.status == 200, response
            version = json.loads(response.body)["version"]
            if number == 2:
                leader = cluster.wait_for_leader()
                others = [name for name in cluster.names if name != leader]
                killed = leader if victim == "leader" else others[0]
                patch_id = str(uuid6.uuid7())
                first = cluster.send_patch(version, make_document(900), patch_id)
                cluster.kill(killed)
                again = cluster.send_patch(version, make_document(900), patch_id)
                assert (again.status, again.body) == (first.status, first.body)
                version = json.loads(again.body)["version"]
                cluster.start(killed)
    assert list_versions(cluster) == list(range(1, version + 1))
    for name in cluster.names:
        wait_for(lambda name=name: cluster.get_status(name)["version"] == version)


def test_of_two_operators_racing_on_one_version_exactly_one_is_accepted(cluster):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for version in range(get_current_version(cluster), get_current_version(cluster) + 5):
            races = [pool.submit(cluster.send_patch, version, make_document(n)) for n in (1, 2)]
            responses = sorted((race.result() for race in races), key=lambda item: item.status)
            assert [item.status for item in responses] == [200, 412]
            assert json.loads(responses[1].body)["current_version"] == version + 1


def test_a_member_with_an_erased_data_folder_has_no_vote_until_it_is_replaced(cluster):
    version = get_current_version(cluster)
    leader = cluster.wait_for_leader()
    lost = next(name for name in cluster.names if name != leader)
    cluster.kill(lost)
    cluster.erase_data_folder(lost)
    cluster.start(lost)
    waiting = wait_for(lambda: cluster.get_status(cluster.wait_for_leader())["waiting"].get(lost))
    assert cluster.send_patch(version, make_document(2)).status == 200
    for action in ("remove", "add"):
        body = {"action": action, "instance": lost, "generation": waiting}
        if action == "remove":
            del body["generation"]
        wait_for(lambda body=body: cluster.send_request("POST", "/v1/members", body).status == 200)
    body = {"action": "promote", "instance": lost, "generation": waiting}
    wait_for(lambda: cluster.send_request("POST", "/v1/members", body).status == 200)
    cluster.kill(leader)
    response = cluster.send_patch(version + 1, make_document(3))
    assert json.loads(response.body)["version"] == version + 2


def test_a_leader_suspended_past_its_lease_never_returns_an_old_version(cluster):
    leader = cluster.wait_for_leader()
    version = get_current_version(cluster)
    cluster.signal(leader, signal.SIGSTOP)
    others = [name for name in cluster.names if name != leader]
    response = cluster.send_patch(version, make_document(version), names=others)
    assert json.loads(response.body)["version"] == version + 1
    status = wait_for(lambda: _find_status_reporting_silence(cluster, others, leader))
    assert status["leader"] in others
    cluster.signal(leader, signal.SIGCONT)
    read = cluster.send_request("GET", "/v1/config", names=[leader], seconds=2.0)
    assert read is None or dict(read.headers)["etag"] == f'"{version + 1}"'
    assert get_current_version(cluster) == version + 1


def test_invalid_patches_and_reads_of_an_instance_without_quorum_are_refused(cluster):
    refused = cluster.send_patch(
        get_current_version(cluster), {"services": {"a": {"addresses": ["x"], "selector": {}}}}
    )
    assert refused.status == 422
    assert json.loads(refused.body)["mistakes"][0]["path"] == "/services/a/selector/service"
    alone, *others = cluster.names
    for name in others:
        cluster.kill(name)
    wait_for(lambda: cluster.get_status(alone)["out_of_touch"])
    assert cluster.send_request("GET", "/v1/config", names=[alone], seconds=1.5) is None
    local = cluster.send_request("GET", "/v1/config?local=1", names=[alone])
    assert "chicorypost-out-of-touch-since" in dict(local.headers)


def test_ports_of_an_ended_instance_are_given_to_no_other_process(cluster):
    """A port that is taken while no instance listens on it keeps the instance from starting.

    The cluster is formed by all instances, so it then never has a leader.
    """
    name = cluster.names[0]
    cluster.kill(name)
    for ports in (cluster.control_ports, cluster.operator_ports, cluster.admin_ports):
        with socket.socket() as other, pytest.raises(OSError) as refused:
            other.bind(("127.0.0.1", ports[name]))
        assert refused.value.errno == errno.EADDRINUSE
    cluster.start(name)
    wait_for(lambda: cluster.get_status(name)["leader"])


def test_a_missing_leader_is_reported_with_what_each_process_said(tmp_path, monkeypatch):
    """The error output was discarded, so failures of the fixture couldn't be traced."""
    processes = ControlProcesses(tmp_path, count=1)
    try:
        processes.kill("control-0")
        (tmp_path / "control-0.json").write_text("{}")
        processes.start("control-0")
        assert processes.processes["control-0"].wait(TIMEOUT_SECONDS) == ExitCode.USAGE
        wait_for(lambda: "listen: is missing" in processes.describe())
        monkeypatch.setattr(control_processes, "TIMEOUT_SECONDS", 0.1)
        with pytest.raises(AssertionError, match="control-0 ended with exit code 2") as failed:
            processes.wait_for_leader()
        assert "listen: is missing" in str(failed.value)
    finally:
        processes.stop()


@pytest.fixture
def supervised_cluster(cluster):
    """Return a cluster whose instances are started again when they end."""
    stopped = threading.Event()

    def supervise():
        while not stopped.wait(SUPERVISION_SECONDS):
            cluster.restart_exited()

    thread = threading.Thread(target=supervise)
    thread.start()
    yield cluster
    stopped.set()
    thread.join()


@pytest.mark.parametrize("spare_bytes", [0, 30], ids=["refused", "torn"])
def test_changes_are_accepted_after_disks_were_full_in_turn(supervised_cluster, spare_bytes):
    """Report: long after disks were full in turn, never two at once, changes were refused.

    A failed write ends an instance, and its supervisor starts it again, beside the full disk too.
    """
    cluster = supervised_cluster
    version = get_current_version(cluster)
    leader = cluster.wait_for_leader()
    for name in (leader, *(other for other in cluster.names if other != leader)):
        cluster.fill_disk(name, spare_bytes)
        deadline = time.monotonic() + FULL_SECONDS
        while time.monotonic() < deadline:
            response = cluster.send_patch(version, make_document(version))
            assert response.status == 200
            version = json.loads(response.body)["version"]
        cluster.make_room(name)
    for name in cluster.names:
        wait_for(lambda name=name: cluster.get_status(name)["version"] == version)
    for absent in cluster.names:
        cluster.signal(absent, signal.SIGSTOP)
        present = [name for name in cluster.names if name != absent]
        response = cluster.send_patch(version, make_document(version), names=present)
        assert response.status == 200
        version = json.loads(response.body)["version"]
        cluster.signal(absent, signal.SIGCONT)
    versions = list_versions(cluster)
    assert versions == list(range(version + 1 - len(versions), version + 1))


def _find_status_reporting_silence(cluster, names, suspended):
    for name in names:
        status = cluster.get_status(name)
        if suspended in status["silent_seconds"]:
            return status
    return None
