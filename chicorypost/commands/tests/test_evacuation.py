"""``chicorypost evacuation`` against control instances of the users' platform."""

import cappa
import pytest

import chicorypost.commands._client
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._main import RootCommand
from chicorypost.transport import ExchangeResponse

SERVERS = "http://10.0.0.1:80,http://10.0.0.2:80"


@pytest.fixture
def run(monkeypatch, capsys):
    """Return a function that runs a command with the responses of each host, in order."""

    def run_command(*arguments, responses):
        calls = []

        async def exchange(endpoint, request, *_):
            calls.append((endpoint.host, request.method, request.target))
            status, location, body = responses[endpoint.host].pop(0)
            headers = (("location", location),) if location else ()
            return ExchangeResponse(status, headers, body)

        monkeypatch.setattr(chicorypost.commands._client, "exchange_once", exchange)
        code: object = 0
        try:
            cappa.invoke(RootCommand, argv=["evacuation", *arguments, "--servers", SERVERS])
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        return code, calls, " ".join((captured.out + captured.err).split())

    return run_command


def test_an_order_follows_the_redirect_to_the_leader(run):
    """The response of an instance that doesn't lead was taken as final and couldn't be read."""
    leader = "http://10.0.0.3:80/-/Evacuation.Start/north%202"
    responses = {"10.0.0.1": [(307, leader, b"")], "10.0.0.3": [(200, "", b"{}")]}
    code, calls, output = run("start", "north 2", responses=responses)
    assert (code, output) == (ExitCode.OK, "evacuation of north 2 is started")
    target = "/-/Evacuation.Start/north%202"
    assert calls == [("10.0.0.1", "POST", target), ("10.0.0.3", "POST", target)]


def test_an_order_tries_the_next_instance_after_a_redirect_that_leads_nowhere(run):
    """Instances may name each other as the leader while an election is in progress."""
    redirect = (307, "http://10.0.0.2:80/-/Evacuation.End/a", b"")
    unavailable = (503, "", b'{"error": "no quorum"}')
    responses = {
        "10.0.0.1": [redirect, (307, "nonsense", b""), (200, "", b"{}")],
        "10.0.0.2": [unavailable, redirect, unavailable, unavailable],
    }
    assert run("end", "a", responses=responses)[0] == ExitCode.OK


def test_a_refused_name_is_reported_with_the_reason(run):
    responses = {"10.0.0.1": [(400, "", b'{"error": "unknown zone"}')]}
    code, _, output = run("start", "a", responses=responses)
    assert (code, "unknown zone" in output) == (ExitCode.REFUSED, True)


def test_the_evacuated_data_centres_are_printed(run):
    body = b'{"revision": 7, "evacuated": ["a", "b 2"]}'
    responses = {"10.0.0.1": [(200, "", body)] * 2}
    assert run("show", responses=responses)[::2] == (ExitCode.OK, "a b 2")
    assert '"revision": 7' in run("show", "--json", responses=responses)[2]
