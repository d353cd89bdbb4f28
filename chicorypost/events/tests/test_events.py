"""Tests of the event catalogue, of docs/EVENTS.md and of the JSON log."""

import io
import json
from pathlib import Path

import pytest

from chicorypost.events import EventSpec, Level, configure_logging, event_catalogue, log_event
from chicorypost.events._page import render_page

ROOT = Path(__file__).parents[3]
SAMPLE = EventSpec(1, "sample", Level.WARNING, "A sample.", ("name", "count"))


def test_the_page_equals_the_catalogue():
    assert (ROOT / "docs/EVENTS.md").read_text(encoding="utf-8") == render_page()


def test_numbers_and_names_are_unique():
    render_page()
    names = [spec.name for spec in event_catalogue()]
    assert len(names) == len(set(names))


def test_wrong_fields_are_refused():
    with pytest.raises(ValueError, match="got"):
        SAMPLE.emit(name="x")


def test_an_event_is_one_json_line():
    output = io.StringIO()
    configure_logging(Level.INFO, "balancer-1", output)
    log_event(SAMPLE.emit(name="x", count=2))
    line = json.loads(output.getvalue())
    assert (line["event"], line["number"], line["instance"]) == ("sample", 1, "balancer-1")
    assert (line["name_"], line["count"], line["level"]) == ("x", 2, "WARNING")
