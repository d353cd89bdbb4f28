"""``chicorypost config``: read, patch and watch the configuration."""

import getpass
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import uuid6
from rich.console import Console
from rich.table import Table

from chicorypost.commands._client import OperatorClient, read_json
from chicorypost.commands._exit import ExitCode
from chicorypost.configuration import PatchFormat
from chicorypost.transport import ExchangeRequest, ExchangeResponse

POLL_SECONDS = 0.2
STANDARD_INPUT = Path("-")

Servers = Annotated[
    str,
    cappa.Arg(
        long="--servers", help="http://host:port of each control instance, separated by commas."
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON for programs.")]
TimeoutSeconds = Annotated[float, cappa.Arg(long="--timeout", help="How long to wait, in seconds.")]


@cappa.command(
    name="get",
    help="Print the current configuration.",
    description="Example: chicorypost config get --servers http://10.0.0.5:9300",
)
@dataclass
class GetCommand:
    """Prints the configuration and, on standard error, its version."""

    servers: Servers = ""
    local: Annotated[
        bool,
        cappa.Arg(long="--local", help="Accept a stale answer of an instance out of touch."),
    ] = False

    def __call__(self) -> None:
        """Fetch and print."""
        target = "/v1/config?local=1" if self.local else "/v1/config"
        answer = OperatorClient(self.servers).run_request(ExchangeRequest("GET", target))
        document = read_json(answer)
        print(json.dumps(document, indent=2))
        since = answer.header("chicorypost-out-of-touch-since")
        print(f"version {read_version(answer)}", file=sys.stderr)
        if since:
            print(f"may be stale: that instance is out of touch since {since}", file=sys.stderr)


@cappa.command(
    name="patch",
    help="Submit a patch for a version of the configuration.",
    description=(
        "Example: chicorypost config patch change.json --expect 41 --wait. Exit codes: 0 accepted "
        "(with --wait: in force on all that can be reached), 1 refused, 3 unreachable, 4 stale "
        "version, 5 accepted but not in force in time."
    ),
)
@dataclass
class PatchCommand:
    """Submits a patch; the same --id makes a repeated call a resend."""

    file: Annotated[Path, cappa.Arg(help="The patch in JSON; - reads standard input.")]
    expect: Annotated[int, cappa.Arg(long="--expect", help="Version the patch is made for.")]
    servers: Servers = ""
    id: Annotated[
        str, cappa.Arg(long="--id", help="Patch id (UUID version 7) of an earlier attempt.")
    ] = ""
    author: Annotated[str, cappa.Arg(long="--author", help="Name kept in the history.")] = ""
    json_patch: Annotated[
        bool, cappa.Arg(long="--json-patch", help="The file is a JSON Patch, not a merge patch.")
    ] = False
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="Wait until all reachable balancers apply it.")
    ] = False
    timeout: TimeoutSeconds = 30.0
    as_json: AsJson = False

    def __call__(self) -> None:
        """Send the patch and print its outcome."""
        patch_id = self.id or str(uuid6.uuid7())
        if not self.id:
            print(f"patch id {patch_id}; repeat with --id to resend safely", file=sys.stderr)
        answer = OperatorClient(self.servers).run_request(self._request(patch_id))
        if answer.status == 412:
            current = json.loads(answer.body)["current_version"]
            message = f"version {self.expect} is stale, the current one is {current}; get it first"
            raise cappa.Exit(message, code=ExitCode.STALE)
        outcome = read_json(answer)
        version = outcome["version"]
        if self.as_json and not self.wait:
            print(json.dumps(outcome))
        elif not self.as_json:
            print(f"accepted as version {version}")
            for item in outcome["withheld"]:
                former = item["former_service"]
                print(f"pending: {item['value']} until every balancer has released {former}")
        if self.wait:
            WaitCommand(version, self.servers, self.timeout, self.as_json)()

    def _request(self, patch_id: str) -> ExchangeRequest:
        try:
            body = _read_patch(self.file)
        except OSError as error:
            message = f"{self.file} cannot be read: {error.strerror}"
            raise cappa.Exit(message, code=ExitCode.USAGE) from error
        kind = PatchFormat.JSON_PATCH if self.json_patch else PatchFormat.MERGE_PATCH
        headers = (
            ("content-type", kind.value),
            ("if-match", f'"{self.expect}"'),
            ("patch-id", patch_id),
            ("from", self.author or getpass.getuser()),
        )
        return ExchangeRequest("PATCH", "/v1/config", headers, body)


@cappa.command(
    name="history",
    help="Print who changed what, when, and from which version.",
    description="Example: chicorypost config history --limit 10",
)
@dataclass
class HistoryCommand:
    """Prints the latest versions."""

    servers: Servers = ""
    limit: Annotated[int, cappa.Arg(long="--limit", help="How many versions.")] = 20
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch and print."""
        request = ExchangeRequest("GET", f"/v1/config/history?limit={self.limit}")
        entries = read_json(OperatorClient(self.servers).run_request(request))
        if self.as_json:
            print(json.dumps(entries))
            return
        table = Table("version", "from", "at", "author", "changed")
        for entry in entries:
            changed = "\n".join(entry["paths"])
            numbers = (str(entry["version"]), str(entry["from_version"]))
            table.add_row(*numbers, entry["at"], entry["author"], changed)
        Console().print(table)


@cappa.command(
    name="wait",
    help="Wait until every balancer that can be reached applies a version.",
    description="Example: chicorypost config wait 42. Exit codes: 0 in force, 5 not in time.",
)
@dataclass
class WaitCommand:
    """Waits for a version and names what can't be reached."""

    version: Annotated[int, cappa.Arg(help="The version to wait for.")]
    servers: Servers = ""
    timeout: TimeoutSeconds = 30.0
    as_json: AsJson = False

    def __call__(self) -> None:
        """Poll until the version is in force or the time is over."""
        deadline = time.monotonic() + self.timeout
        while True:
            force = self._fetch()
            if force["in_force"] and not force["withheld"]:
                break
            if time.monotonic() >= deadline:
                self._print(force)
                message = f"version {self.version} is not in force within {self.timeout:g} s"
                raise cappa.Exit(message, code=ExitCode.NOT_IN_FORCE)
            time.sleep(POLL_SECONDS)
        self._print(force)

    def _fetch(self) -> Any:
        request = ExchangeRequest("GET", f"/v1/config/versions/{self.version}")
        return read_json(OperatorClient(self.servers).run_request(request))

    def _print(self, force: Any) -> None:
        if self.as_json:
            print(json.dumps(force))
            return
        Console().print(build_version_table(force))
        for name in force["unreachable"]:
            print(f"can't be reached: {name}")
        for value in force["withheld"]:
            print(f"still waits for its release: {value}")


@cappa.command(name="config", help="Read, patch and watch the configuration.")
@dataclass
class ConfigCommand:
    """The configuration commands."""

    command: cappa.Subcommands[GetCommand | PatchCommand | HistoryCommand | WaitCommand]


def read_version(answer: ExchangeResponse) -> str:
    """Return the version that an answer's entity tag names."""
    return (answer.header("etag") or "").strip('"')


def build_version_table(force: Any) -> Table:
    """Return a table of what each data centre applies."""
    table = Table("data centre", "balancers", "applying", "behind", "last heard")
    for item in force["data_centres"]:
        behind = ", ".join(laggard["instance"] for laggard in item["behind"])
        heard = f"{item['silent_seconds']:.1f} s ago"
        counts = (str(item["members"]), str(item["applying_count"]))
        table.add_row(item["data_centre"], *counts, behind, heard)
    return table


def _read_patch(file: Path) -> bytes:
    return sys.stdin.buffer.read() if file == STANDARD_INPUT else file.read_bytes()
