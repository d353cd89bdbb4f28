"""``chicorypost settings``: check settings files and print their JSON Schema."""

import json
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cappa

from chicorypost.commands._exit import ExitCode

if TYPE_CHECKING:
    from chicorypost.base import Settings


class ProcessRole(Enum):
    """Type of process that the settings belong to."""

    BALANCER = "balancer"
    CONTROL = "control"


def find_settings_class(role: ProcessRole) -> "type[Settings]":
    """Return the class of the settings of a type of process."""
    from chicorypost.daemons import BalancerSettings, ControlSettings

    return BalancerSettings if role is ProcessRole.BALANCER else ControlSettings


def load_settings_or_exit(file: Path, role: ProcessRole) -> "Settings":
    """Return the validated settings of a file, or end the command with all errors listed.

    Raises
    ------
    cappa.Exit
        If the file can't be read or a setting is invalid.
    """
    from chicorypost.base import Settings
    from chicorypost.daemons import load_settings

    settings = load_settings(file, find_settings_class(role))
    if isinstance(settings, Settings):
        return settings
    lines = [f"{file} has {len(settings)} mistake(s):"]
    lines += [f"  {error}" for error in settings]
    raise cappa.Exit("\n".join(lines), code=ExitCode.USAGE)


@cappa.command(
    name="check",
    help="Check a settings file and report all errors.",
    description="Example: chicorypost settings check balancer balancer-1.json",
)
@dataclass
class SettingsCheckCommand:
    """Checks a settings file without starting the process."""

    role: Annotated[ProcessRole, cappa.Arg(help="balancer or control")]
    file: Annotated[Path, cappa.Arg(help="JSON file to check.")]

    def __call__(self, output: cappa.Output) -> None:
        """Check the file and report all its errors, or that it is valid."""
        load_settings_or_exit(self.file, self.role)
        output.output(f"{self.file}: no mistakes")


@cappa.command(
    name="schema",
    help="Print the JSON Schema of the settings.",
    description="Example: chicorypost settings schema balancer > balancer.schema.json",
)
@dataclass
class SettingsSchemaCommand:
    """Prints the JSON Schema of the settings of a type of process."""

    role: Annotated[ProcessRole, cappa.Arg(help="balancer or control")]

    def __call__(self, output: cappa.Output) -> None:
        """Print the schema."""
        print(render_schema(self.role), end="")


@cappa.command(name="settings", help="Check settings files and print their schema.")
@dataclass
class SettingsCommand:
    """Group of the settings commands."""

    command: cappa.Subcommands[SettingsCheckCommand | SettingsSchemaCommand]


def render_schema(role: ProcessRole) -> str:
    """Return the JSON Schema of the settings of a type of process, as text."""
    return json.dumps(find_settings_class(role).model_json_schema(), indent=2) + "\n"
