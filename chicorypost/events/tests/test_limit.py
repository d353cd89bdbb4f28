"""Tests of the line limiter and of the non-blocking output."""

import os

from chicorypost.events import LineLimiter, LogBudget, NonBlockingOutput

BUDGET = LogBudget(lines_per_second=10.0, burst_lines=5.0, report_seconds=2.0)


def test_lines_above_the_burst_are_suppressed_and_reported():
    limiter = LineLimiter(BUDGET, 0.0)
    assert [limiter.allow("a", 0.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert limiter.report_suppressed(1.0) == []
    (report,) = limiter.report_suppressed(2.0)
    assert (report.fields["suppressed"], report.fields["lines"]) == ("a", 2)
    assert limiter.report_suppressed(9.0) == []


def test_one_event_does_not_use_up_the_budget_of_another():
    limiter = LineLimiter(BUDGET, 0.0)
    for _ in range(50):
        limiter.allow("a", 0.0)
    assert limiter.allow("b", 0.0)


def test_the_sustained_line_rate_is_limited():
    limiter = LineLimiter(BUDGET, 0.0)
    written = sum(limiter.allow("a", n / 1000) for n in range(10_000))
    assert 100 <= written <= 106


def test_a_full_pipe_drops_whole_lines_and_counts_them():
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    line = "x" * 9_000 + "\n"
    for _ in range(100):
        output.write(line)
    assert output.dropped_lines > 80
    os.set_blocking(reader, False)
    received = b""
    for _ in range(3):
        while True:
            try:
                received += os.read(reader, 65_536)
            except BlockingIOError:
                break
        output.write(line)
    while True:
        try:
            received += os.read(reader, 65_536)
        except BlockingIOError:
            break
    lines = received.split(b"\n")
    assert {len(text) for text in lines[:-1]} == {9_000}
    os.close(reader)
    output.write(line)
    os.close(writer)
