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
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
TimeoutSeconds = Annotated[float, cappa.Arg(long="--timeout", help="Timeout in seconds.")]


@cappa.command(
    name="get",
    help="Print the current configuration.",
    description="Example: chicorypost config get --servers http://10.0.0.5:9300",
)
@dataclass
class GetCommand:
    """Prints the configuration on standard output and its version on standard error."""

    servers: Servers = ""
    local: Annotated[
        bool,
        cappa.Arg(long="--local", help="Accept a possibly stale response of any instance."),
    ] = False

    def __call__(self) -> None:
        """Fetch and print the configuration."""
        target = "/v1/config?local=1" if self.local else "/v1/config"
        response = OperatorClient(self.servers).run_request(ExchangeRequest("GET", target))
        document = read_json(response)
        print(json.dumps(document, indent=2))
        since = response.header("chicorypost-out-of-touch-since")
        print(f"version {read_version(response)}", file=sys.stderr)
        if since:
            print(
                f"may be stale: that instance is out of touch since {since}",
                file=sys.stderr,
            )


@cappa.command(
    name="patch",
    help="Submit a patch for a version of the configuration.",
    description=(
        "Example: chicorypost config patch change.json --expect 41 --wait. Exit codes: 0 accepted "
        "(with --wait: in force on all reachable balancers), 1 refused, 3 unreachable, 4 stale "
        "version, 5 accepted but not in force in time."
    ),
)
@dataclass
class PatchCommand:
    """Submits a patch; a repeated call with the same --id is a resend."""

    file: Annotated[Path, cappa.Arg(help="JSON file with the patch; - reads standard input.")]
    expect: Annotated[int, cappa.Arg(long="--expect", help="Version that the patch is based on.")]
    servers: Servers = ""
    id: Annotated[
        str, cappa.Arg(long="--id", help="Patch id (UUID version 7) of an earlier attempt.")
    ] = ""
    author: Annotated[str, cappa.Arg(long="--author", help="Author recorded in the history.")] = ""
    json_patch: Annotated[
        bool,
        cappa.Arg(
            long="--json-patch", help="Treat the file as a JSON Patch instead of a merge patch."
        ),
    ] = False
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="Wait until all reachable balancers apply it.")
    ] = False
    timeout: TimeoutSeconds = 30.0
    as_json: AsJson = False

    def __call__(self) -> None:
        """Submit the patch and print its outcome."""
        patch_id = self.id or str(uuid6.uuid7())
        if not self.id:
            print(f"patch id {patch_id}; repeat with --id to resend safely", file=sys.stderr)
        response = OperatorClient(self.servers).run_request(self._request(patch_id))
        if response.status == 412:
            current = json.loads(response.body)["current_version"]
            message = (
                f"version {self.expect} is stale, the current one is {current}; "
                "get it and redo the patch"
            )
            raise cappa.Exit(message, code=ExitCode.STALE)
        outcome = read_json(response)
        version = outcome["version"]
        if self.as_json and not self.wait:
            print(json.dumps(outcome))
        elif not self.as_json:
            print(f"accepted as version {version}")
            for item in outcome["withheld"]:
                former_service = item["former_service"]
                print(
                    f"pending: {item['value']} until every balancer has released {former_service}"
                )
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
    help="Print the latest versions with author, time and changed paths.",
    description="Example: chicorypost config history --limit 10",
)
@dataclass
class HistoryCommand:
    """Prints the latest versions of the configuration."""

    servers: Servers = ""
    limit: Annotated[int, cappa.Arg(long="--limit", help="Maximum number of versions.")] = 20
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch and print the versions."""
        request = ExchangeRequest("GET", f"/v1/config/history?limit={self.limit}")
        entries = read_json(OperatorClient(self.servers).run_request(request))
        if self.as_json:
            print(json.dumps(entries))
            return
        table = Table("version", "from", "at", "author", "changed")
        for entry in entries:
            changed = "\n".join(entry["paths"])
            versions = (str(entry["version"]), str(entry["from_version"]))
            table.add_row(*versions, entry["at"], entry["author"], changed)
        Console().print(table)


@cappa.command(
    name="wait",
    help="Wait until all reachable balancers apply a version.",
    description="Example: chicorypost config wait 42. Exit codes: 0 in force, 5 timeout.",
)
@dataclass
class WaitCommand:
    """Waits for a version and prints unreachable data centres and balancers."""

    version: Annotated[int, cappa.Arg(help="Version to wait for.")]
    servers: Servers = ""
    timeout: TimeoutSeconds = 30.0
    as_json: AsJson = False

    def __call__(self) -> None:
        """Poll until the version is in force or the timeout has passed."""
        deadline = time.monotonic() + self.timeout
        while True:
            status = self._fetch()
            if status["in_force"] and not status["withheld"]:
                break
            if time.monotonic() >= deadline:
                self._print(status)
                message = f"version {self.version} was not in force within {self.timeout:g} s"
                raise cappa.Exit(message, code=ExitCode.NOT_IN_FORCE)
            time.sleep(POLL_SECONDS)
        self._print(status)

    def _fetch(self) -> Any:
        request = ExchangeRequest("GET", f"/v1/config/versions/{self.version}")
        return read_json(OperatorClient(self.servers).run_request(request))

    def _print(self, status: Any) -> None:
        if self.as_json:
            print(json.dumps(status))
            return
        Console().print(build_version_table(status))
        for name in status["unreachable"]:
            print(f"can't be reached: {name}")
        for value in status["withheld"]:
            print(f"still waits for its release: {value}")


@cappa.command(name="config", help="Read, patch and watch the configuration.")
@dataclass
class ConfigCommand:
    """Group of the configuration commands."""

    command: cappa.Subcommands[GetCommand | PatchCommand | HistoryCommand | WaitCommand]


def read_version(response: ExchangeResponse) -> str:
    """Return the version in the entity tag of a response."""
    return (response.header("etag") or "").strip('"')


def build_version_table(status: Any) -> Table:
    """Return a table of how many balancers of each data centre apply a version."""
    table = Table("data centre", "balancers", "applying", "behind", "last heard")
    for item in status["data_centres"]:
        behind = ", ".join(laggard["instance"] for laggard in item["behind"])
        last_contact = f"{item['silent_seconds']:.1f} s ago"
        counts = (str(item["members"]), str(item["applying_count"]))
        table.add_row(item["data_centre"], *counts, behind, last_contact)
    return table


def _read_patch(file: Path) -> bytes:
    return sys.stdin.buffer.read() if file == STANDARD_INPUT else file.read_bytes()
