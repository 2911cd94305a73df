"""Placement without the daemons: one entry, one change, an agent's check.

A dict stands for the key-value service. Run it with the project's Python; a test
does so too.
"""

import typing as t

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_placement import acceptance, writing
from fuchsiahatch_placement.checks import check_request
from fuchsiahatch_placement.documents import Change, Document
from fuchsiahatch_placement.edits import Edit, describe, propose

Service = dict[str, t.Any]

RECORD = {
    "schema": 2,
    "team": "gym-bangsar",
    "places": [
        {"zone": "kl-a", "offers": ["booking-assistant@2"], "share_percent": 40},
        {"zone": "kl-b", "offers": ["booking-assistant@2"], "share_percent": 10},
    ],
}


def write_record(service: Service, clock: ManualClock) -> writing.Finished:
    """Carry out what a write asks for until it ends."""

    def make_next(base: Document) -> Document:
        change = Change(0, "change-1", 1_700_000_000_000, "aminah", "first record")
        after = propose(base, 0, change, Edit((RECORD,)))
        print(*describe(base, after), sep="\n")
        return after

    write = writing.Write("change-1", make_next, clock.now_ms())
    effects = write.start()
    while True:
        for effect in effects:
            if isinstance(effect, writing.Finished):
                return effect
        event = next(filter(None, map(_carry_out(service), effects)), writing.Tick())
        effects = write.handle(event, clock.advance(100))


def confirm(
    entry: acceptance.EntryConfiguration, service: Service, clock: ManualClock
) -> None:
    """Let an entry ask, and answer it out of the service."""
    for effect in entry.handle(acceptance.Tick(), clock.now_ms()):
        if isinstance(effect, acceptance.AskService):
            values = (service["roster"], service["placement"])
            answer = acceptance.ServiceAnswer(effect.question, *values)
            entry.handle(answer, clock.advance(5))


def main() -> None:
    """Write a record, apply it at an entry, check a request at an agent."""
    clock = ManualClock()
    service: Service = {"roster": b"", "placement": b"", "version": 0}
    end = write_record(service, clock)
    print(f"{end.outcome.value} at revision {end.revision}")

    entry = acceptance.EntryConfiguration("entry-a", "life-1", "klang-valley", "kl-a")
    confirm(entry, service, clock)
    print(f"fresh: {entry.is_fresh(clock.now_ms())}")
    clock.advance(3_000)
    print(f"fresh 3 s later: {entry.is_fresh(clock.now_ms())}")

    offer = Offer("booking-assistant", "2")
    for zone in ("kl-b", "cj-c"):
        ruling = check_request(entry.snapshot, 1, "gym-bangsar", zone, offer)
        print(f"{zone}: {ruling.step.value} {ruling.detail}".rstrip())


def _carry_out(
    service: Service,
) -> t.Callable[[writing.Effect], writing.Event | None]:
    def carry_out(effect: writing.Effect) -> writing.Event | None:
        match effect:
            case writing.ReadDocument():
                return writing.DocumentRead(service["placement"], service["version"])
            case writing.SwapDocument(value, expected_version):
                succeeded = service["version"] == expected_version
                if succeeded:
                    service.update(placement=value, version=expected_version + 1)
                return writing.SwapDone(succeeded)
            case writing.ReadRoster():
                return writing.RosterRead(service["roster"])
        return None

    return carry_out


if __name__ == "__main__":
    main()
