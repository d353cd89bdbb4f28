"""Check that each cell of docs/FAULTS.md names existing tests, a reason, or "Not proved"."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
FAULTS_PAGE = ROOT / "docs/FAULTS.md"
TEST_ID = re.compile(r"`([\w./]+\.py)::(\w+)`")
FAULTS = (
    "kill",
    "lost disk",
    "cut",
    "freeze",
    "operator race",
    "lost answer",
    "uneven news",
    "silent connection",
    "restart after hundreds of changes",
    "second loss after repair",
    "two faults together",
)
PROMISE_COUNT = 9
REPORTS_HEADING = "## Reports of other operators"
REPORT_COUNT = 9
WAYS = ("daemons", "roles")


def read_page() -> tuple[str, str]:
    """Return the part with the promises and the part with the reports."""
    promises, _, reports = FAULTS_PAGE.read_text(encoding="utf-8").partition(REPORTS_HEADING)
    return promises, reports


def read_report_cells() -> list[tuple[str, str, str]]:
    """Return the report, the way to run and the text of each cell of the reports."""
    rows = re.findall(r"^\| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", read_page()[1], re.MULTILINE)
    rows = [row for row in rows if row[0] not in ("report", "---")]
    return [(row[0], way, text) for row in rows for way, text in zip(WAYS, row[1:], strict=True)]


def read_cells() -> list[tuple[str, str, str]]:
    """Return the promise, fault and text of each cell of the matrix."""
    promise, cells = "", []
    for line in read_page()[0].splitlines():
        if line.startswith("## "):
            promise = line[3:]
        row = re.fullmatch(r"\| ([^|]+) \| (.+) \|", line)
        if row and row[1] not in ("fault", "---"):
            cells.append((promise, row[1].strip(), row[2].strip()))
    return cells


CELLS = read_cells()
REPORT_CELLS = read_report_cells()


@cache
def top_level_names(file: str) -> frozenset[str]:
    """Return the names of functions, classes and variables at the top level of a test module."""
    path = ROOT / file
    assert path.is_file(), f"{file} does not exist"
    assert path.name.startswith("test_")
    tree = ast.parse(path.read_text(encoding="utf-8"))
    definitions = (node for node in tree.body if isinstance(node, ast.FunctionDef | ast.ClassDef))
    assignments = (node for node in tree.body if isinstance(node, ast.Assign))
    names = {node.name for node in definitions}
    targets = (target for node in assignments for target in node.targets)
    return frozenset(names | {target.id for target in targets if isinstance(target, ast.Name)})


def test_every_promise_has_a_cell_for_every_fault():
    promises = sorted({promise for promise, _, _ in CELLS})
    assert len(promises) == PROMISE_COUNT
    assert [(promise, fault) for promise, fault, _ in CELLS] == [
        (promise, fault) for promise in dict.fromkeys(promises) for fault in FAULTS
    ]


@pytest.mark.parametrize(("promise", "fault", "text"), CELLS, ids=lambda value: value[:24])
def test_each_cell_names_tests_or_a_reason(promise, fault, text):
    tests = TEST_ID.findall(text)
    for file, name in tests:
        assert name in top_level_names(file), f"{file} has no {name}"
        assert name.lower().startswith("test")
    assert tests or text.startswith(("Can't occur, because ", "Not proved"))


def test_every_report_has_a_cell_for_both_ways_to_run():
    assert len(REPORT_CELLS) == REPORT_COUNT * len(WAYS)


@pytest.mark.parametrize(("report", "way", "text"), REPORT_CELLS, ids=lambda value: value[:24])
def test_each_cell_of_a_report_names_tests_or_a_reason(report, way, text):
    tests = TEST_ID.findall(text)
    for file, name in tests:
        assert name in top_level_names(file), f"{file} has no {name}"
    assert tests or text.startswith(("Can't occur, because ", "Not proved"))
