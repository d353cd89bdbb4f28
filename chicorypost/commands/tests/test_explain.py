"""Tests of selecting log lines of several processes that explain a request."""

import json

import cappa
import pytest

from chicorypost.commands._explain import ExplainCommand, read_logs, select_related_lines


def line(time, instance, event, **fields):
    return json.dumps(
        {"time": time, "level": "INFO", "event": event, "instance": instance, **fields}
    )


LOGS = [
    line("10:03", "b2", "request-forwarded", request="r1", flow="c:1", upstream="u1"),
    line("10:01", "b1", "flow-opened", flow="c:1", upstream="u1", copies=0),
    line("10:02", "b1", "upstream-seen", upstream="u1", silent=False),
    line("10:04", "b1", "upstream-seen", upstream="u1", silent=True),
    line("10:05", "b1", "flow-reset", flow="c:1", request="", reason="upstream-gone"),
    line("10:06", "b1", "upstream-seen", upstream="u1", silent=False),
    line("10:02", "b1", "flow-opened", flow="c:2", upstream="u2", copies=0),
    line("10:02", "b1", "upstream-seen", upstream="u2", silent=False),
]


def select_events(name, logs=LOGS):
    return [(item.time, item.event) for item in select_related_lines(read_logs(logs), name)]


def test_a_request_selects_its_flow_and_the_status_of_its_upstream():
    assert select_events("r1") == [
        ("10:01", "flow-opened"),
        ("10:03", "request-forwarded"),
        ("10:04", "upstream-seen"),
        ("10:05", "flow-reset"),
    ]


def test_an_upstream_selects_every_line_that_names_it():
    assert ("10:06", "upstream-seen") in select_events("u1")
    assert ("10:02", "flow-opened") not in select_events("u1")


def test_lines_that_are_not_log_lines_are_counted_and_skipped():
    content = read_logs(["Traceback", "", '{"time": 3}', "  1.0 core-1 " + LOGS[0], "[1]"])
    assert (len(content.lines), content.unreadable_count) == (1, 3)


def test_a_deeply_nested_line_is_unreadable_and_the_others_are_read():
    content = read_logs([LOGS[0], '{"time":' + '{"a":' * 100_000])
    assert (len(content.lines), content.unreadable_count) == (1, 1)


def test_an_unknown_name_and_a_missing_file_are_reported(tmp_path):
    log = tmp_path / "a.log"
    log.write_text("\n".join(LOGS))
    with pytest.raises(cappa.Exit) as unknown:
        ExplainCommand("nobody", [log])()
    assert "no line names" in str(unknown.value.message)
    with pytest.raises(cappa.Exit) as missing:
        ExplainCommand("r1", [tmp_path / "missing.log"])()
    assert "No such file" in str(missing.value.message)


def test_the_selected_lines_are_printed_in_order_of_time(tmp_path, capsys):
    log = tmp_path / "a.log"
    log.write_text("\n".join(LOGS))
    ExplainCommand("r1", [log])()
    times = [text.split()[0] for text in capsys.readouterr().out.splitlines()]
    assert times == sorted(times) and len(times) == 4
