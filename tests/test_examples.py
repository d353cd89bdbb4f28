"""Check the published schemas and the example settings against the code."""

import json
from pathlib import Path

import pytest

from chicorypost.commands._settings import ProcessRole, find_settings_class, render_schema
from chicorypost.configuration import ConfigurationDocument, Patch, PatchFormat, apply_patch
from chicorypost.daemons import load_settings

ROOT = Path(__file__).parents[1]
EXAMPLE_FILES = sorted((ROOT / "examples").glob("*/*.json"))


@pytest.mark.parametrize("role", list(ProcessRole))
def test_published_schema_matches_settings_class(role):
    file = ROOT / f"docs/schema/{role.value}.schema.json"
    assert file.read_text(encoding="utf-8") == render_schema(role)


@pytest.mark.parametrize("role", list(ProcessRole))
def test_every_example_settings_file_is_valid(role):
    files = [file for file in EXAMPLE_FILES if file.name.startswith(role.value)]
    assert files
    for file in files:
        assert not isinstance(load_settings(file, find_settings_class(role)), list), file


def test_every_example_patch_is_accepted():
    for file in EXAMPLE_FILES:
        if file.name == "services.patch.json":
            patch = Patch(PatchFormat.MERGE_PATCH, file.read_bytes())
            document = apply_patch(ConfigurationDocument(), patch)
            assert isinstance(document, ConfigurationDocument)
            assert sorted(document.services) == sorted(json.loads(file.read_text())["services"])
