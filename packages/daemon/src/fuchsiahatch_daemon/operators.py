"""The operators' interface over HTTP, on any entry."""

import dataclasses
import itertools
import json
import time
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import PlatformError, RequestError
from fuchsiahatch_daemon import web
from fuchsiahatch_membership.heartbeats import ENTRY_SUSPECT_AFTER_MS
from fuchsiahatch_placement import writing
from fuchsiahatch_placement.documents import (
    Change,
    Document,
    check_no_revert,
    read_document,
    republish,
    write_document,
)
from fuchsiahatch_placement.edits import Edit, describe, propose
from fuchsiahatch_placement.rosters import Voter, change_roster, decode_roster
from fuchsiahatch_routing.candidates import Eligibility, Target, check_eligibility

if t.TYPE_CHECKING:
    from klein import Klein
    from twisted.web.server import Request

    from fuchsiahatch_daemon.entry import EntryRole

_MAX_BODY_BYTES = 2_097_152


def add_routes(app: "Klein", role: "EntryRole") -> None:
    """Add the operators' routes to an entry's application."""
    handlers = _Operators(role)
    routes = (
        ("/operators/placement", "GET", handlers.placement),
        ("/operators/status", "GET", handlers.status),
        ("/operators/explain", "GET", handlers.explain),
        ("/operators/apply", "POST", handlers.apply),
        ("/operators/roster", "POST", handlers.roster),
        ("/operators/republish", "POST", handlers.republish),
    )
    for path, method, handle in routes:
        app.route(path, methods=[method])(web.as_handler(handle))


class _Operators:
    """Handlers over one entry."""

    def __init__(self, role: "EntryRole") -> None:
        self._role = role

    async def placement(self, request: "Request") -> bytes:
        """Show the segment's document, from the service where that answers."""
        configuration = self._role.configuration
        source = "service"
        try:
            value = (await self._role.key_value.get(configuration.key)).value
        except PlatformError:
            source, value = "entry", configuration.snapshot.document
        document = read_document(value)
        shown = {
            "source": source,
            "revision": document.revision,
            "history": [dataclasses.asdict(one) for one in document.history],
            "records": list(map(json.loads, document.records)),
        }
        return web.write_json(request, shown)

    async def status(self, request: "Request") -> bytes:
        """Show what this entry knows and how it stands."""
        return web.write_json(request, _status(self._role))

    async def explain(self, request: "Request") -> bytes:
        """Say why each upstream is or isn't a candidate."""
        team, target = _argument(request, "team"), _argument(request, "target")
        name, _, version = target.partition("@")
        configuration = self._role.configuration
        eligibilities = check_eligibility(
            configuration.snapshot,
            self._role.selection.upstreams(),
            team,
            Target(name, version),
        )
        shown = {
            "team": team,
            "target": target,
            "revision": configuration.snapshot.revision,
            "fresh": configuration.fresh,
            "upstreams": list(map(_eligibility, eligibilities)),
        }
        return web.write_json(request, shown)

    async def apply(self, request: "Request") -> bytes:
        """Change records: the difference, the progress and the end, a line each."""
        body = _read_body(request)
        edit = Edit(tuple(body.get("puts", ())), tuple(body.get("removes", ())))
        change = _change_of(body)
        expected = _expected_revision(body)
        schemas = await self._role.changes.live_schemas(self._live_entries())
        held_revision = self._role.configuration.snapshot.revision

        def make(base: Document) -> Document:
            check_no_revert(base, held_revision)
            return propose(base, expected, change, edit, schemas)

        return await self._run(request, body, change, make)

    async def roster(self, request: "Request") -> bytes:
        """Add a host to the roster, or remove one."""
        body = _read_body(request)
        change = _change_of(body)
        expected = _expected_revision(body)
        host = str(body.get("host", ""))
        added = None
        if "zone" in body:
            added = Voter(body.get("region", ""), body["zone"], host)

        def make(base: Document) -> Document:
            return change_roster(base, expected, change, host, added)

        return await self._run(request, body, change, make, is_roster=True)

    async def republish(self, request: "Request") -> bytes:
        """Put back what this entry holds, after a restored backup."""
        body = _read_body(request)
        change = _change_of(body)
        held = read_document(self._role.configuration.snapshot.document)

        def make(base: Document) -> Document:
            return republish(base, held, change)

        return await self._run(request, body, change, make)

    async def _run(
        self,
        request: "Request",
        body: dict[str, t.Any],
        change: Change,
        make: writing.Propose,
        is_roster: bool = False,
    ) -> bytes:
        if body.get("dry_run"):
            return await self._show_difference(request, make, is_roster)
        request.setHeader("Content-Type", "application/x-ndjson")

        def show(line: dict[str, t.Any]) -> None:
            request.write(json.dumps(line).encode() + b"\n")

        def make_and_show(base: Document) -> Document:
            proposed = make(base)
            show(
                {"kind": "difference", "lines": _difference(base, proposed, is_roster)}
            )
            return proposed

        def emit(effect: writing.Progress | writing.Finished) -> None:
            show(_progress(effect) if _is_progress(effect) else _finished(effect))

        show({"kind": "started", "change_id": change.change_id})
        await self._role.changes.run(change.change_id, make_and_show, emit, is_roster)
        return b""

    async def _show_difference(
        self, request: "Request", make: writing.Propose, is_roster: bool
    ) -> bytes:
        configuration = self._role.configuration
        key = configuration.roster_key if is_roster else configuration.key
        base = read_document((await self._role.key_value.get(key)).value)
        proposed = make(base)
        write_document(proposed)
        lines = _difference(base, proposed, is_roster)
        shown = {"kind": "difference", "lines": lines, "revision": base.revision}
        return web.write_json(request, shown)

    def _live_entries(self) -> list[str]:
        own = self._role.settings.host
        views = _entry_views(self._role)
        return [view.row.host for view in views if view.live and view.row.host != own]


def _difference(base: Document, proposed: Document, is_roster: bool) -> list[str]:
    if not is_roster:
        return describe(base, proposed)
    before = decode_roster(write_document(base)).voters
    after = decode_roster(write_document(proposed)).voters
    gone = [f"- {_voter_text(one)}" for one in sorted(before - after)]
    return gone + [f"+ {_voter_text(one)}" for one in sorted(after - before)]


def _voter_text(voter: Voter) -> str:
    return f"{voter.host} in {voter.zone}, {voter.region}"


def _status(role: "EntryRole") -> dict[str, t.Any]:
    configuration = role.configuration
    budget = role.key_value.budget
    until_ms = configuration.part.fresh_until_ms() or 0
    shown = dataclasses.asdict(configuration.part.report())
    return {
        **shown,
        "schemas": sorted(shown["schemas"]),
        "leaving": role.leaving,
        "fresh": configuration.fresh,
        "fresh_for_ms": max(0, until_ms - role.clock.now_ms()),
        "voters": sorted(one.host for one in configuration.part.roster.voters),
        "service": {
            "calls": dict(budget.calls),
            "refused": budget.refused,
            "watches_waiting": budget.waiting,
        },
        "entries": list(map(_view, _entry_views(role))),
        "agents": list(
            map(_view, role.hosts.table.views("agent", role.clock.now_ms()))
        ),
    }


def _entry_views(role: "EntryRole") -> list[t.Any]:
    return role.hosts.table.views("entry", role.clock.now_ms(), ENTRY_SUSPECT_AFTER_MS)


def _view(view: t.Any) -> dict[str, t.Any]:
    return {
        "host": view.row.host,
        "zone": view.row.zone,
        "live": view.live,
        "leaving": view.leaving,
        "in_flight": view.report.in_flight if view.report else None,
    }


def _eligibility(eligibility: Eligibility) -> dict[str, t.Any]:
    return {
        "host": eligibility.upstream.home.host,
        "zone": eligibility.upstream.zone,
        "candidate": eligibility.allowed,
        "reason": eligibility.reason,
    }


def _is_progress(effect: writing.Progress | writing.Finished) -> bool:
    return isinstance(effect, writing.Progress)


def _progress(progress: writing.Progress) -> dict[str, t.Any]:
    return {
        "kind": "progress",
        "revision": progress.revision,
        "acknowledged": _by_region(progress.heard),
        "missing": _by_region(progress.missing),
    }


def _finished(finished: writing.Finished) -> dict[str, t.Any]:
    return {
        "kind": "finished",
        "outcome": finished.outcome.value,
        "code": int(finished.code),
        "name": finished.code.name,
        "revision": finished.revision,
        "missing": _by_region(finished.missing),
        "detail": finished.detail,
    }


def _by_region(voters: t.Iterable[Voter]) -> dict[str, dict[str, list[str]]]:
    """Return hosts by zone by region."""
    return {
        region: {
            zone: [one.host for one in members]
            for zone, members in itertools.groupby(group, lambda one: one.zone)
        }
        for region, group in itertools.groupby(sorted(voters), lambda one: one.region)
    }


def _change_of(body: dict[str, t.Any]) -> Change:
    # The wall clock is for readers of the history; no decision compares it.
    time_ms = time.time_ns() // 1_000_000
    change_id, operator = body["change_id"], body.get("operator", "")
    return Change(0, change_id, time_ms, operator, body.get("summary", ""))


def _read_body(request: "Request") -> dict[str, t.Any]:
    content = request.content.read(_MAX_BODY_BYTES + 1)
    if len(content) > _MAX_BODY_BYTES:
        raise RequestError("the change is too long", Code.BODY_TOO_LARGE)
    try:
        body = json.loads(content)
    except ValueError as fault:
        raise RequestError(f"the body is not JSON: {fault}", Code.BAD_BODY) from fault
    if not isinstance(body, dict) or not isinstance(body.get("change_id"), str):
        raise RequestError("the body needs a string `change_id`", Code.BAD_BODY)
    return body


def _expected_revision(body: dict[str, t.Any]) -> int:
    expected = body.get("expected_revision")
    if not isinstance(expected, int):
        detail = "the body needs a whole number `expected_revision`"
        raise RequestError(detail, Code.BAD_BODY)
    return expected


def _argument(request: "Request", name: str) -> str:
    values = request.args.get(name.encode())
    if not values:
        raise RequestError(f"argument {name} is missing", Code.BAD_REQUEST)
    return values[0].decode()
