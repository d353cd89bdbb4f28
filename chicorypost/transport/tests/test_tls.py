"""Tests of mutual TLS between peers and of certificates that change."""

import os
import shutil

import pytest
import trio
import trio.testing

from chicorypost.base import DataCentreId, Incarnation, InstanceId, Message
from chicorypost.transport import (
    ConnectionHello,
    ExchangeRequest,
    ExchangeResponse,
    HttpServer,
    HttpServerResponse,
    HttpSettings,
    PeerNetwork,
    TlsContexts,
    TlsSettings,
    TransportSettings,
    exchange_once,
    write_test_certificates,
)
from chicorypost.transport.tests.test_transport import endpoint_of, run


class Sealed(Message, frozen=True, array_like=True, tag=9_701):
    """A message for these tests."""

    text: str


def tls_settings(folder, name):
    return TlsSettings(
        certificate=folder / f"{name}.pem",
        key=folder / f"{name}.key",
        authority=folder / "authority.pem",
    )


async def start(nursery, folder, name, key_name, receive, log):
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    hello = ConnectionHello(
        InstanceId(name), Incarnation(1), DataCentreId("gent"), endpoint_of(listener)
    )
    tls = TlsContexts(tls_settings(folder, key_name), log.append)
    network = PeerNetwork(TransportSettings(), hello, tls, receive, log.append)
    nursery.start_soon(network.run, listener)
    await trio.testing.wait_all_tasks_blocked()
    return network


def exchange(folder, dialler_key, other_folder=None):
    """Return what the listener received, or what made it refuse."""
    got: list[object] = []
    log: list[object] = []

    async def scenario(nursery):
        finished = trio.Event()

        def receive(sender, message):
            got.append((sender, message))
            finished.set()

        def note(emit):
            log.append(emit.spec.name)
            if emit.spec.name == "frame-refused":
                finished.set()

        class Notes(list):
            append = staticmethod(note)

        left_folder = other_folder or folder
        left = await start(nursery, left_folder, "left", dialler_key, receive, [])
        right = await start(nursery, folder, "right", "right", receive, Notes())
        left.learn_address(InstanceId("right"), right.hello.control)
        left.send(InstanceId("right"), Sealed("secret"))
        await finished.wait()

    run(scenario)
    return got, log


@pytest.fixture(scope="module")
def keys(tmp_path_factory):
    folder = tmp_path_factory.mktemp("keys")
    write_test_certificates(folder, ["left", "right", "third"])
    return folder


def test_peers_with_certificates_of_the_authority_exchange_messages(keys):
    got, _ = exchange(keys, "left")
    assert got == [("left", Sealed("secret"))]


def test_a_certificate_of_another_instance_is_refused(keys):
    got, log = exchange(keys, "third")
    assert got == []
    assert "frame-refused" in log


def test_a_certificate_of_another_authority_gets_no_message_through(keys, tmp_path):
    write_test_certificates(tmp_path, ["left"])
    got, log = exchange(keys, "left", tmp_path)
    assert got == []
    assert "frame-refused" in log


def test_changed_files_are_reread_and_damaged_ones_keep_the_earlier(keys, tmp_path):
    for file in keys.iterdir():
        shutil.copy(file, tmp_path)
    log: list[str] = []
    contexts = TlsContexts(tls_settings(tmp_path, "left"), lambda emit: log.append(emit.spec.name))
    first = contexts.get_server_context()
    assert contexts.get_server_context() is first
    later = os.stat(tmp_path / "left.pem").st_mtime_ns + 10**9
    os.utime(tmp_path / "left.pem", ns=(later, later))
    second = contexts.get_server_context()
    assert second is not first
    (tmp_path / "left.pem").write_text("damaged")
    assert contexts.get_server_context() is second
    assert contexts.get_server_context() is second
    assert log == ["certificate-reloaded", "certificate-unusable"]


def test_private_keys_are_readable_by_their_owner_alone(keys):
    assert (keys / "left.key").stat().st_mode & 0o077 == 0


@pytest.mark.parametrize(("name", "served"), [("left", True), ("third", False)])
def test_a_listener_serves_only_the_names_it_allows(keys, name, served):
    log: list[str] = []

    async def answer(request):
        return HttpServerResponse(200, b"served")

    async def scenario(nursery):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        contexts = TlsContexts(tls_settings(keys, "right"), lambda emit: None)
        allowed = frozenset({"left"})
        note = lambda emit: log.append(emit.spec.name)  # noqa: E731
        server = HttpServer("operators", HttpSettings(), answer, note, contexts, allowed)
        nursery.start_soon(trio.serve_listeners, server.serve_connection, [listener])
        context = TlsContexts(tls_settings(keys, name), lambda emit: None).get_client_context()
        request = ExchangeRequest("GET", "/")
        result = await exchange_once(endpoint_of(listener), request, 1000, context)
        assert isinstance(result, ExchangeResponse) is served

    run(scenario)
    assert ("http-refused" in log) is not served
