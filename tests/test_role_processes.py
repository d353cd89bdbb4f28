"""The roles as processes: what the cluster knows after its formation, and odd entries of others.

Report: another writer left one odd entry among those of the upstreams, very deeply nested, with a
number too large, or with a port out of range. The machines that read the list ended again and
again, or stopped following it (LOST).
"""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import threading
import time

import pytest

from benchmarks.soak.processes import RoleProcess
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
from chicorypost.consensus import ClusterMembership
from chicorypost.consensus._messages import AppendRequest, ClusterInfo, FormationHello, VoteRequest
from chicorypost.consensus._records import MemberId
from chicorypost.roles._admin import ADMIN_PORT
from chicorypost.transport import NOT_LISTENING_PORT, ConnectionHello, encode_frame
from chicorypost.transport._frame_buffer import LENGTH_BYTES

pytestmark = pytest.mark.xdist_group("control-processes")

CONTROL_PORT = 8166
PEER_PORT = 7720
PACKET_PORT = 8172
READY_PORT = 8167
START_SECONDS = 45.0
HEARTBEAT_SECONDS = 0.5
DEEP = b"[" * 100_000
ODD_VALUES = {
    "deep": DEEP + b"]" * 100_000,
    "deep and cut off": DEEP,
    "number of no double": b"1e400",
    "number of 5,000 digits": b"9" * 5_000,
    "no UTF-8": b'"\xff"',
}
SOUND = "i-5a"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path_prefix": "/443/",
            "route_type": "safe",
            "timeout_ms": 1000,
            "service": "orders",
        }
    ],
    "services": [{"name": "orders", "health_path": "/health", "protocol": "h1"}],
    "limits": {"idle_timeout_ms": 15000},
}


def wait_until(condition, seconds=START_SECONDS):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def call(host, method, path, body=b"", port=CONTROL_PORT):
    """Make one HTTP call; return the status and the body, or 0 without a response."""
    connection = http.client.HTTPConnection(host, port, timeout=5.0)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


class Cluster:
    """Three control instances and a balancer, one sound upstream, and a rogue control instance."""

    def __init__(self, folder):
        self.number = 10 + (os.getpid() + random.randrange(200)) % 200
        self.seeds = [f"{self.host(1, n)}:{CONTROL_PORT}" for n in range(3)]
        self.controls = [self.make_process(folder, "control", n) for n in range(3)]
        self.balancer = self.make_process(folder, "balancer", 0)
        self.processes = [*self.controls, self.balancer]
        self.sequence = 0
        self.stopping = threading.Event()
        self.rogue_frames = []
        self.rogue = socket.create_server((self.host(6, 0), PEER_PORT))
        self.rogue.settimeout(0.2)
        self.threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self.announce_regularly, self.serve_rogue)
        ]

    def host(self, kind, number):
        return f"127.{self.number}.{kind}.{number + 1}"

    def make_process(self, folder, role, number):
        host = self.host(1 if role == "control" else 3, number)
        name = f"{role}-{number}"
        settings = {
            "node_name": name,
            "ip": host,
            "zone": "a",
            "internal_ports": [PEER_PORT, PEER_PORT + 10],
            "seeds": self.seeds,
            "bootstrap": True,
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "data_dir": None,
        }
        if role == "control":
            settings["listen"] = {"control": f"{host}:{CONTROL_PORT}"}
            settings["data_dir"] = str(folder / name / "disk")
        else:
            settings["listen"] = {
                "datagram_addr": f"{host}:{PACKET_PORT}",
                "readiness_addr": f"{host}:{READY_PORT}",
            }
            settings["seeds"] = [*self.seeds, f"{self.host(6, 0)}:{CONTROL_PORT}"]
        return RoleProcess(role, settings, folder / name)

    def start(self):
        for process in self.processes:
            process.start()
        body = json.dumps(CONFIGURATION).encode()
        wait_until(lambda: self.call_any("POST", "/-/Config.Put", body)[0] == 200)
        for thread in self.threads:
            thread.start()
        wait_until(self.is_sound)

    def stop(self):
        self.stopping.set()
        for process in self.processes:
            process.kill()
        for thread in self.threads:
            thread.join()
        self.rogue.close()

    def call_any(self, method, path, body=b""):
        answers = [call(self.host(1, n), method, path, body) for n in range(3)]
        return max(answers, key=lambda answer: answer[0] == 200)

    def announcement(self, **changes):
        self.sequence += 1
        return {
            "service": "orders",
            "address": f"{self.host(4, 0)}:8080",
            "zone": "a",
            "version": "v1",
            "max_concurrency": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": 1_700_000_000_000,
        } | changes

    def announce_regularly(self):
        path = f"/-/Backends.Heartbeat/{SOUND}"
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            self.call_any("POST", path, json.dumps(self.announcement()).encode())

    def serve_rogue(self):
        """Send the frames of the rogue control instance on each connection of the balancer."""
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                connection, _ = self.rogue.accept()
                with connection:
                    for frame in self.rogue_frames:
                        connection.sendall(frame)
                    self.stopping.wait(0.3)

    def dump(self, process):
        status, body = call(process.settings["ip"], "GET", "/dump", port=ADMIN_PORT)
        return json.loads(body) if status == 200 else {}

    def is_sound(self):
        """Return whether every process lists the sound upstream and nothing else, in version 7."""
        for process in self.controls:
            state = self.dump(process)
            upstreams = state.get("announcements", {}).get("upstreams", {})
            if state.get("version") != 7 or list(upstreams) != [SOUND]:
                return False
            if upstreams[SOUND][:2] != ["ready", "heard"]:
                return False
        state = self.dump(self.balancer)
        upstreams = state.get("view", {}).get("upstreams", {})
        return state.get("ready") is True and upstreams == {SOUND: ["ready", "heard"]}

    def count_errors(self):
        """Return the log lines that name an unexpected error or a failed replica."""
        names = ('"unexpected-error"', '"replica-failed"', "Traceback")
        return [
            line
            for process in self.processes
            for line in (process.folder / "log").read_text(errors="replace").splitlines()
            if any(name in line for name in names)
        ]

    def read_log(self, process):
        return (process.folder / "log").read_text(errors="replace")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = Cluster(tmp_path_factory.mktemp("roles"))
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
    assert cluster.count_errors() == []


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
    assert cluster.count_errors() == []
