"""``chicorypost settings``: check settings files and print their schema."""

import json
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated

import cappa

from chicorypost.base import Settings
from chicorypost.commands._exit import ExitCode
from chicorypost.daemons import BalancerSettings, ControlSettings, load_settings


class ProcessRole(Enum):
    """Which process the settings are for."""

    BALANCER = "balancer"
    CONTROL = "control"


SETTINGS_CLASSES: dict[ProcessRole, type[Settings]] = {
    ProcessRole.BALANCER: BalancerSettings,
    ProcessRole.CONTROL: ControlSettings,
}


def load_settings_or_exit(file: Path, role: ProcessRole) -> Settings:
    """Return checked settings, or end the command with every mistake named.

    Raises
    ------
    cappa.Exit
        If the settings have mistakes.
    """
    settings = load_settings(file, SETTINGS_CLASSES[role])
    if isinstance(settings, Settings):
        return settings
    lines = [f"{file} has {len(settings)} mistake(s):"]
    lines += [f"  {mistake}" for mistake in settings]
    raise cappa.Exit("\n".join(lines), code=ExitCode.USAGE)


@cappa.command(
    name="check",
    help="Check a settings file whole.",
    description="Example: chicorypost settings check balancer balancer-1.json",
)
@dataclass
class SettingsCheckCommand:
    """Checks a settings file without starting anything."""

    role: Annotated[ProcessRole, cappa.Arg(help="balancer or control")]
    file: Annotated[Path, cappa.Arg(help="The JSON file to check.")]

    def __call__(self, output: cappa.Output) -> None:
        """Name every mistake, or say that there is none."""
        load_settings_or_exit(self.file, self.role)
        output.output(f"{self.file}: no mistakes")


@cappa.command(
    name="schema",
    help="Print the JSON Schema of the settings.",
    description="Example: chicorypost settings schema balancer > balancer.schema.json",
)
@dataclass
class SettingsSchemaCommand:
    """Prints the JSON Schema of the settings of a process."""

    role: Annotated[ProcessRole, cappa.Arg(help="balancer or control")]

    def __call__(self, output: cappa.Output) -> None:
        """Print the schema."""
        print(render_schema(self.role), end="")


@cappa.command(name="settings", help="Check settings files and print their schema.")
@dataclass
class SettingsCommand:
    """Group of the commands about settings."""

    command: cappa.Subcommands[SettingsCheckCommand | SettingsSchemaCommand]


def render_schema(role: ProcessRole) -> str:
    """Return the JSON Schema of the settings of a process as text."""
    return json.dumps(SETTINGS_CLASSES[role].model_json_schema(), indent=2) + "\n"
