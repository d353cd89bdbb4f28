"""Tests of real control processes: killed, frozen, and emptied while operators patch."""

import concurrent.futures
import json
import signal

import pytest
import uuid6

from chicorypost.daemons.tests.control_processes import ControlProcesses, wait_for

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
    """Return the cluster with all instances running and a leader."""
    for name in shared_cluster.names:
        if name not in shared_cluster.processes:
            shared_cluster.start(name)
        shared_cluster.signal(name, signal.SIGCONT)
    shared_cluster.leader()
    return shared_cluster


def get_current_version(cluster):
    answer = cluster.ask("GET", "/v1/config")
    return int(dict(answer.headers)["etag"].strip('"'))


def list_versions(cluster):
    history = json.loads(cluster.ask("GET", "/v1/config/history").body)
    return [entry["version"] for entry in history][::-1]


def test_leader_and_follower_killed_under_patches_lose_no_accepted_patch(cluster):
    version = get_current_version(cluster)
    for victim in ("leader", "follower"):
        for number in range(5):
            answer = cluster.patch(version, make_document(version))
            assert answer.status == 200, answer
            version = json.loads(answer.body)["version"]
            if number == 2:
                leader = cluster.leader()
                others = [name for name in cluster.names if name != leader]
                killed = leader if victim == "leader" else others[0]
                patch_id = str(uuid6.uuid7())
                first = cluster.patch(version, make_document(900), patch_id)
                cluster.kill(killed)
                again = cluster.patch(version, make_document(900), patch_id)
                assert (again.status, again.body) == (first.status, first.body)
                version = json.loads(again.body)["version"]
                cluster.start(killed)
    assert list_versions(cluster) == list(range(1, version + 1))
    for name in cluster.names:
        wait_for(lambda name=name: cluster.status(name)["version"] == version)


def test_of_two_operators_racing_on_one_version_exactly_one_is_accepted(cluster):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for version in range(get_current_version(cluster), get_current_version(cluster) + 5):
            races = [pool.submit(cluster.patch, version, make_document(n)) for n in (1, 2)]
            answers = sorted((race.result() for race in races), key=lambda item: item.status)
            assert [item.status for item in answers] == [200, 412]
            assert json.loads(answers[1].body)["current_version"] == version + 1


def test_an_emptied_data_folder_comes_back_without_a_vote_until_an_operator_replaces_it(cluster):
    version = get_current_version(cluster)
    leader = cluster.leader()
    lost = next(name for name in cluster.names if name != leader)
    cluster.kill(lost)
    cluster.empty(lost)
    cluster.start(lost)
    waiting = wait_for(lambda: cluster.status(cluster.leader())["waiting"].get(lost))
    assert cluster.patch(version, make_document(2)).status == 200
    for action in ("remove", "add"):
        body = {"action": action, "instance": lost, "generation": waiting}
        if action == "remove":
            del body["generation"]
        wait_for(lambda body=body: cluster.ask("POST", "/v1/members", body).status == 200)
    body = {"action": "promote", "instance": lost, "generation": waiting}
    wait_for(lambda: cluster.ask("POST", "/v1/members", body).status == 200)
    cluster.kill(leader)
    answer = cluster.patch(version + 1, make_document(3))
    assert json.loads(answer.body)["version"] == version + 2


def test_a_leader_frozen_long_past_its_lease_never_answers_with_an_old_version(cluster):
    leader = cluster.leader()
    version = get_current_version(cluster)
    cluster.signal(leader, signal.SIGSTOP)
    others = [name for name in cluster.names if name != leader]
    answer = cluster.patch(version, make_document(version), names=others)
    assert json.loads(answer.body)["version"] == version + 1
    status = wait_for(lambda: _find_status_reporting_silence(cluster, others, leader))
    assert status["leader"] in others
    cluster.signal(leader, signal.SIGCONT)
    read = cluster.ask("GET", "/v1/config", names=[leader], seconds=2.0)
    assert read is None or dict(read.headers)["etag"] == f'"{version + 1}"'
    assert get_current_version(cluster) == version + 1


def test_a_bad_patch_is_refused_with_its_mistakes_and_an_instance_alone_refuses_reads(cluster):
    refused = cluster.patch(
        get_current_version(cluster), {"services": {"a": {"addresses": ["x"], "selector": {}}}}
    )
    assert refused.status == 422
    assert json.loads(refused.body)["mistakes"][0]["path"] == "/services/a/selector/service"
    alone, *others = cluster.names
    for name in others:
        cluster.kill(name)
    wait_for(lambda: cluster.status(alone)["out_of_touch"])
    assert cluster.ask("GET", "/v1/config", names=[alone], seconds=1.5) is None
    local = cluster.ask("GET", "/v1/config?local=1", names=[alone])
    assert "chicorypost-out-of-touch-since" in dict(local.headers)


def _find_status_reporting_silence(cluster, names, frozen):
    for name in names:
        status = cluster.status(name)
        if frozen in status["silent_seconds"]:
            return status
    return None
