"""The operators' program: `fuchsiahatch`."""

import asyncio
import getpass
import json as json_codec
import pathlib
import sys
import typing as t
import uuid

import fire
from twisted.internet import asyncioreactor

from fuchsiahatch_core.exceptions import (
    FuchsiahatchError,
    SettingsError,
)
from fuchsiahatch_core.settings import check_document, load_schema
from fuchsiahatch_daemon.applying import (
    EXIT_REFUSED,
    EXIT_STATUSES,
    EXIT_UNDECIDED,
    read_change,
    show_line,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_platform.http import HttpCaller

_TIMEOUT_MS = 10_000
_EXIT_INVALID = 2


class Operator:
    """Operators' command.

    Parameters
    ----------
    entry : str
        ``ip:port`` of any entry's HTTP address.
    """

    def __init__(self, entry: str = "127.0.0.1:18000") -> None:
        self._url = f"http://{entry}"

    def apply(
        self,
        file: str = "-",
        dry_run: bool = False,
        json: bool = False,
        revision: int | None = None,
        change_id: str = "",
        summary: str = "",
    ) -> None:
        """Change placement records, and wait until the change is in force.

        Exit status: 0 accepted, 1 refused, 2 the file is invalid, 3 pending, 4
        conflict, 5 undecided.

        Parameters
        ----------
        file : str
            JSON of one record, of a list of records, or of a whole document as
            `get` prints it; ``-`` is standard input.
        dry_run : bool
            Only show the difference.
        json : bool
            Print JSON lines.
        revision : int, optional
            Revision that the change was made for; the one read now by default,
            or the one in the document.
        change_id : str, optional
            Id of a change that ended undecided, to find out or to complete it.
        summary : str, optional
            What the history says of the change.
        """
        text = _read_file(file)

        async def work(caller: "HttpCaller") -> int:
            current = await caller.call("GET", f"{self._url}/operators/placement")
            body = read_change(text, current)
            if revision is not None:
                body["expected_revision"] = revision
            body |= {"summary": summary, "dry_run": dry_run}
            return await self._change(caller, "apply", body, change_id, json)

        _run(work)

    def republish(self, json: bool = False) -> None:
        """Put back what the entry holds, after the service was set back."""

        async def work(caller: "HttpCaller") -> int:
            body = {"summary": "republished after a revert"}
            return await self._change(caller, "republish", body, "", json)

        _run(work)

    def roster(
        self,
        host: str,
        revision: int,
        zone: str = "",
        region: str = "",
        json: bool = False,
    ) -> None:
        """Add an entry host to the roster, or remove it when no zone is given.

        Parameters
        ----------
        host : str
        revision : int
            Of the roster, as `status` shows it.
        zone, region : str, optional
        json : bool
            Print JSON lines.
        """

        async def work(caller: "HttpCaller") -> int:
            body: dict[str, t.Any] = {"host": host, "expected_revision": revision}
            if zone:
                body |= {"zone": zone, "region": region}
            return await self._change(caller, "roster", body, "", json)

        _run(work)

    def get(self) -> None:
        """Print the placement records with their revision."""
        self._print("/operators/placement", "revision", "records")

    def history(self) -> None:
        """Print the changes that the document remembers, newest last."""
        self._print("/operators/placement", "revision", "history")

    def status(self) -> None:
        """Print what the entry knows and how it stands."""
        self._print("/operators/status")

    def explain(self, team: str, target: str) -> None:
        """Print why each upstream is or isn't a candidate.

        Parameters
        ----------
        team : str
        target : str
            Model or service, as ``name`` or ``name@version``.
        """
        self._print(f"/operators/explain?team={team}&target={target}")

    def lookup(self) -> None:
        """Print which entries callers may use now."""
        self._print("/lookup")

    def check(self, file: str = "-") -> None:
        """Check a settings file, a record or a document, without any entry.

        Parameters
        ----------
        file : str
            ``-`` is standard input.
        """
        try:
            kind = _check(json_codec.loads(_read_file(file)))
        except ValueError as fault:
            _fail(SettingsError(file, str(fault), "JSON in UTF-8"), _EXIT_INVALID)
        except SettingsError as fault:
            _fail(fault, _EXIT_INVALID)
        print(f"{file}: valid {kind}")

    def drain(self, address: str) -> None:
        """Tell the process at an HTTP address to take no new work.

        Parameters
        ----------
        address : str
            ``ip:port`` of an entry or an agent.
        """

        async def work(caller: "HttpCaller") -> int:
            _print_json(await caller.call("POST", f"http://{address}/drain"))
            return 0

        _run(work)

    def _print(self, path: str, *names: str) -> None:
        async def work(caller: "HttpCaller") -> int:
            answer = await caller.call("GET", self._url + path)
            shown = {name: answer[name] for name in names} if names else answer
            _print_json(shown)
            return 0

        _run(work)

    async def _change(
        self,
        caller: "HttpCaller",
        path: str,
        body: dict[str, t.Any],
        change_id: str,
        as_json: bool,
    ) -> int:
        body |= {
            "change_id": change_id or uuid.uuid4().hex,
            "operator": getpass.getuser(),
        }
        status = 0 if body.get("dry_run") else EXIT_UNDECIDED
        async for line in caller.lines("POST", f"{self._url}/operators/{path}", body):
            shown = [json_codec.dumps(line)] if as_json else show_line(line)
            print("\n".join(shown), flush=True)
            if line["kind"] == "finished":
                status = EXIT_STATUSES[line["outcome"]]
        if status == EXIT_UNDECIDED:
            # The entry broke off: the change may have landed all the same.
            again = f"apply the same again with --change-id {body['change_id']}"
            print(f"fuchsiahatch: undecided; {again}", file=sys.stderr)
        return status


def main() -> None:
    """Parse the arguments and run."""
    fire.Fire(Operator, name="fuchsiahatch")


def _check(document: t.Any) -> str:
    """Check a document of any kind and return its kind."""
    from fuchsiahatch_placement.records import decode_record

    if isinstance(document, dict) and "role" in document:
        schema = load_schema("fuchsiahatch_daemon", "settings_schema.json")
        check_document(document, schema)
        return "settings"
    whole = isinstance(document, dict) and "records" in document
    records = document["records"] if whole else document
    listed = records if isinstance(records, list) else [records]
    teams = [decode_record(record).team for record in listed]
    return f"records of {', '.join(teams)}"


def _read_file(file: str) -> str:
    if file == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(file).read_text("utf-8")
    except OSError as fault:
        _fail(SettingsError(file, fault.strerror, "a readable file"), _EXIT_INVALID)


def _run(work: t.Callable[["HttpCaller"], t.Awaitable[int]]) -> None:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from fuchsiahatch_platform.http import HttpCaller

    # Running, but driven by the loop below, so that the exit status is ours.
    reactor.startRunning(installSignalHandlers=False)
    try:
        status = loop.run_until_complete(work(HttpCaller(_TIMEOUT_MS)))
    except SettingsError as fault:
        _fail(fault, _EXIT_INVALID)
    except FuchsiahatchError as fault:
        _fail(fault, EXIT_REFUSED)
    sys.exit(status)


def _fail(fault: FuchsiahatchError, status: int) -> t.NoReturn:
    print(f"fuchsiahatch: {fault}", file=sys.stderr)
    sys.exit(status)


def _print_json(document: t.Any) -> None:
    print(json_codec.dumps(document, indent=2))


if __name__ == "__main__":
    main()
