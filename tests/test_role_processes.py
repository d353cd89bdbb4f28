"""The roles as processes: what the cluster knows after its formation, and odd entries of others.

Report: another writer left one odd entry among those of the upstreams, very deeply nested, with a
number too large, or with a port out of range. The machines that read the list ended again and
again, or stopped following it (LOST).
"""

import contextlib
import http.client
import json
import signal
import socket
import time

import cappa
import pytest

from benchmarks.standins.role_cluster import (
    CONFIGURATION,
    CONTROL_PORT,
    PEER_PORT,
    SOUND,
    RoleCluster,
    call,
    wait_until,
)
from chicorypost.announcements import AnnouncementTableReply, FeedPage
from chicorypost.announcements._messages import ReplicateChanges, ReportContacts, UpstreamContact
from chicorypost.announcements.tests.test_odd_entries import ODD_ENTRIES
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Incarnation,
    InstanceId,
    LogIndex,
    Term,
    UpstreamId,
    Version,
    encode,
)
from chicorypost.commands._main import RootCommand
from chicorypost.consensus import ClusterMembership
from chicorypost.consensus._messages import AppendRequest, ClusterInfo, FormationHello, VoteRequest
from chicorypost.consensus._records import MemberId
from chicorypost.transport import NOT_LISTENING_PORT, ConnectionHello, encode_frame
from chicorypost.transport._frame_buffer import LENGTH_BYTES

pytestmark = pytest.mark.xdist_group("control-processes")

DEEP = b"[" * 100_000
ODD_VALUES = {
    "deep": DEEP + b"]" * 100_000,
    "deep and cut off": DEEP,
    "number of no double": b"1e400",
    "number of 5,000 digits": b"9" * 5_000,
    "no UTF-8": b'"\xff"',
}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = RoleCluster(tmp_path_factory.mktemp("roles"))
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
def started(cluster):
    """Return the cluster, and check afterwards that no process has ended and the sound holds."""
    before = [process.process.pid for process in cluster.processes]
    yield cluster
    assert [process.process.pid for process in cluster.processes if process.is_running] == before
    wait_until(cluster.is_sound, 15.0)
    assert cluster.list_errors() == []


def send_to_all(cluster, path, body):
    return [call(cluster.host(1, n), "POST", path, body) for n in range(3)]


def set_field(base, field, value):
    text = json.dumps({key: item for key, item in base.items() if key != field}).encode()
    return text[:-1] + b', "' + field.encode() + b'": ' + value + b"}"


def test_control_instances_know_their_connected_peers_after_the_formation(cluster):
    """Calls were answered without waiting for peers while this was empty."""
    for process in cluster.controls:
        state = cluster.dump(process)["announcements"]
        assert sorted(state["connected"]) == sorted(state["peers"]) != []


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("field", ["service", "a_later_field"])
def test_an_odd_announcement_is_refused_by_its_field(started, field, value):
    body = set_field(started.announcement(), field, value)
    for status, text in send_to_all(started, "/-/Backends.Heartbeat/i-0d", body):
        assert (status, field in text.decode()) == (400, True)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("address", "127.0.0.1:99999"),
        ("seq", 10**30),
        ("born", 10**16),
        ("max_concurrency", 10**30),
        ("warmup_left_ms", 1e300),
        ("version", None),
        ("service", "unnamed"),
        ("state", "resting"),
    ],
)
def test_an_announcement_with_a_value_out_of_range_is_refused_by_its_field(started, field, value):
    """Under the id of the sound upstream: a greater number would make its own calls outdated."""
    body = json.dumps(started.announcement(**{field: value})).encode()
    for status, text in send_to_all(started, f"/-/Backends.Heartbeat/{SOUND}", body):
        assert (status, field in text.decode()) == (400, True)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_leave_call_is_refused_by_its_field(started, value):
    body = set_field({"seq": 10_000}, "born", value)
    for status, text in send_to_all(started, f"/-/Backends.Leave/{SOUND}", body):
        assert (status, "born" in text.decode()) == (400, True)


@pytest.mark.parametrize("body", [b"", b'{"born": 1600000000000}'])
def test_a_leave_call_of_another_run_does_not_end_this_one(started, body):
    answers = send_to_all(started, f"/-/Backends.Leave/{SOUND}", body)
    assert {status for status, _ in answers} <= {200, 503}


def test_a_late_leave_call_on_the_connection_of_an_earlier_run_does_not_end_this_one(started):
    """Review, case 3: the call was taken as that of the latest run, whose flows were then reset."""
    earlier_run = started.announcement(born=1_600_000_000_000, state="draining")
    for number in range(3):
        connection = http.client.HTTPConnection(started.host(1, number), CONTROL_PORT, timeout=5.0)
        for path, body in (("Heartbeat", json.dumps(earlier_run).encode()), ("Leave", b"")):
            connection.request("POST", f"/-/Backends.{path}/{SOUND}", body)
            response = connection.getresponse()
            assert (response.status, response.read()) == (200, b"{}")
        connection.close()


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_configuration_is_refused_by_its_field(started, value):
    body = set_field(CONFIGURATION | {"version": 90}, "a_later_field", value)
    for status, text in send_to_all(started, "/-/Config.Put", body):
        assert (status, "a_later_field" in text.decode()) == (400, True)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_settings_are_refused_while_the_process_runs(started, value):
    for process in (started.controls[0], started.balancer):
        path = process.folder / "node.json"
        original = path.read_bytes()
        count = started.read_log(process).count('"settings-refused"')
        path.write_bytes(set_field(process.settings, "a_later_field", value))
        process.send_signal(signal.SIGHUP)
        wait_until(
            lambda process=process, count=count: (
                started.read_log(process).count('"settings-refused"') > count
            ),
            10.0,
        )
        path.write_bytes(original)
        process.send_signal(signal.SIGHUP)
    # A reason that repeats is logged again only after the process has read the sound file.
    time.sleep(1.5)


def test_odd_seeds_are_ignored_and_the_others_used(started):
    odd = ["127.0.0.1:99999", "x" * 10_000, 7, None, {"a": [1]}, ""]
    for process in (started.controls[0], started.balancer):
        path = process.folder / "node.json"
        original = path.read_bytes()
        path.write_text(json.dumps(process.settings | {"seeds": [*odd, *started.seeds]}))
        process.send_signal(signal.SIGHUP)
        wait_until(lambda process=process: '"seeds-ignored"' in started.read_log(process), 10.0)
        path.write_bytes(original)


def test_an_evacuation_survives_the_kill_of_all_processes(cluster, capsys):
    """The balancer that starts has no earlier state to keep; all must be on the disks."""
    servers = ",".join(f"http://{seed}" for seed in cluster.seeds)

    def run(*arguments):
        cappa.invoke(RootCommand, argv=["evacuation", *arguments, "--servers", servers])
        return capsys.readouterr().out

    def is_in_force(data_centres):
        held = [cluster.dump(cluster.balancer).get("flows", {}).get("evacuated")]
        held += [
            cluster.dump(p).get("evacuations", {}).get("data_centres") for p in cluster.controls
        ]
        return held == [data_centres] * 4

    run("start", "a")
    wait_until(lambda: is_in_force(["a"]), 5.0)
    for process in cluster.processes:
        process.kill()
    for process in cluster.processes:
        process.start()
    wait_until(cluster.is_sound)
    assert is_in_force(["a"])
    assert run("show").split() == ["a"]
    run("end", "a")
    wait_until(lambda: is_in_force([]), 5.0)
    assert cluster.list_errors() == []


def make_hello(instance="127.0.0.9:8166", host="127.0.0.9", port=NOT_LISTENING_PORT):
    return encode_frame(
        ConnectionHello(
            InstanceId(instance), Incarnation(1), DataCentreId("a"), Endpoint(host, port)
        )
    )


ODD_LISTED = tuple(item for item in ODD_ENTRIES.values() if item.announcement.token < 2**64)
"""Those that a message can carry."""
ODD_MESSAGES = {
    "table": AnnouncementTableReply(False, ODD_LISTED),
    "changes": ReplicateChanges(2**62, ODD_LISTED),
    "contacts": ReportContacts((UpstreamContact(UpstreamId("i-0d"), -1, True),)),
    "formation": FormationHello("", "", "x" * 10_000),
    "cluster": ClusterInfo("x", ClusterMembership((MemberId(InstanceId("x" * 300), "g"),), ()), ()),
    "vote": VoteRequest("x", "g", "h", Term(2**63), False, LogIndex(2**63), Term(-1)),
    "entries": AppendRequest(
        "x", "g", "h", Term(-1), 1, LogIndex(2**63), Term(-7), (), LogIndex(-1)
    ),
}


def send_to_peers(cluster, data):
    """Send bytes to the port for other instances of each control instance."""
    for process in cluster.controls:
        address = (process.settings["ip"], PEER_PORT)
        with contextlib.suppress(OSError), socket.create_connection(address, 5.0) as stream:
            stream.sendall(data)
            stream.settimeout(0.3)
            stream.recv(1)


@pytest.mark.parametrize("message", ODD_MESSAGES.values(), ids=ODD_MESSAGES)
def test_an_odd_message_between_instances_changes_nothing(started, message):
    send_to_peers(started, make_hello() + encode_frame(message))


@pytest.mark.parametrize(
    "hello",
    [
        make_hello(port=99_999),
        make_hello(port=-1),
        make_hello(host="x" * 300, port=80),
        make_hello("x" * 9_999),
        make_hello(""),
    ],
    ids=["port out of range", "negative port", "long host", "long id", "no id"],
)
def test_an_odd_first_message_ends_no_process(started, hello):
    """After the hello, the instance asks to join: the others connect to the address in it."""
    send_to_peers(started, hello + encode_frame(FormationHello("", "g", "")))
    time.sleep(1.0)


@pytest.mark.parametrize(
    "frame",
    [b"\x91" * 100_000, b"\xdd\xff\xff\xff\xff", b"\xcf" + b"\xff" * 8, b"\xc1", b""],
    ids=["deep", "long array", "large number", "no msgpack", "empty"],
)
def test_bytes_that_are_no_message_end_no_process(started, frame):
    send_to_peers(started, make_hello() + len(frame).to_bytes(LENGTH_BYTES, "big") + frame)


def test_an_odd_feed_is_ignored_by_a_balancer_and_the_sound_ones_hold(started):
    controls = tuple(map(InstanceId, ("127.0.0.1:99999", "x" * 300, "", "a\0b:80")))
    deep = b"\x91" * 100_000
    page = FeedPage(9, 1, True, False, ODD_LISTED, controls, Version(2**63 - 1))
    started.rogue_frames = [
        encode_frame(page),
        len(deep).to_bytes(LENGTH_BYTES, "big") + deep,
    ]
    log = started.balancer
    wait_until(lambda: started.read_log(log).count("upstream-entry-ignored") > 3, 15.0)
    wait_until(lambda: started.read_log(log).count("peer-lost") > 3, 15.0)
    started.rogue_frames = []


@pytest.mark.parametrize(
    "data",
    [
        encode(AnnouncementTableReply(False, ODD_LISTED)),
        encode(AnnouncementTableReply(False, ODD_LISTED))[:-9],
        b"\x91" * 100_000,
        b"",
        bytes(5_000_000),
    ],
    ids=["odd entries", "cut off", "deep", "empty", "too long"],
)
def test_an_odd_table_on_the_disk_costs_the_table_and_not_the_process(cluster, data):
    process = cluster.controls[2]
    process.kill()
    (process.folder / "disk" / "announcements").write_bytes(data)
    process.start()
    wait_until(lambda: cluster.dump(process).get("version") == 7)
    wait_until(cluster.is_sound)
    assert cluster.list_errors() == []
