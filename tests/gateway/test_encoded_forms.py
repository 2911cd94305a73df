import ast
import inspect
import json
import types
import typing as t
import unittest

import msgspec
import orjson

from fuchsiahatch_adapter.configuration import Engine
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.tickets import (
    Ticket,
    TicketHome,
    decode_ticket,
    encode_ticket,
)
from fuchsiahatch_experts.terms import TermRecord
from fuchsiahatch_gateway import (
    answer_ends,
    attempts,
    datagrams,
    delivery,
    error_answers,
    event_relay,
    leadership,
    placing,
    routes,
    silence_limit,
    stop_admission,
)
from fuchsiahatch_gateway.engine_figures import EngineFigures, decode_engine_figures
from fuchsiahatch_gateway.held_requests import HeldRecord, decode_held_record
from fuchsiahatch_gateway.lookups import EntryRecord, decode_entry
from fuchsiahatch_http1 import client, pool
from fuchsiahatch_placement.documents import Change, Document, write_document
from fuchsiahatch_placement.rosters import Voter, change_roster
from tests.golden import check_golden

#: Values for fields of each type; the address is valid for `check_peer`.
SAMPLES = {int: 3, float: 1.5, str: "10.0.0.7:8080", bool: True, bytes: b"\x05\x06"}
PEER = ("10.0.0.7", 17_341)


def sample(kind):
    """Return a value of a type; optional fields are filled as well."""
    origin, inner = t.get_origin(kind), t.get_args(kind)
    if origin is t.Annotated:
        return sample(inner[0])
    if kind == datagrams.Peer:
        return PEER
    if origin in (t.Union, types.UnionType):
        return sample(inner[0])
    if origin is tuple:
        return tuple(sample(item) for item in inner if item is not Ellipsis)
    if origin is dict:
        return {sample(inner[0]): sample(inner[1])}
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return make(kind)
    return SAMPLES[kind] if kind in SAMPLES else next(iter(kind))


def make(form):
    """Return a struct with a value in every field."""
    kinds = t.get_type_hints(form, include_extras=True)
    return form(*(sample(kinds[name]) for name in form.__struct_fields__))


def texts(module):
    """Return the texts in a module's code, without its doc comments."""
    tree = ast.parse(inspect.getsource(module))
    documented = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    docs = {
        ast.get_docstring(node, clean=False)
        for node in ast.walk(tree)
        if isinstance(node, documented)
    }
    values = (node.value for node in ast.walk(tree) if isinstance(node, ast.Constant))
    return sorted(
        value
        for value in values
        if isinstance(value, str) and " " in value and value not in docs
    )


def messages():
    forms = t.get_args(datagrams.Message)
    return [
        make(form)
        for form in sorted(forms, key=lambda form: form.__struct_config__.tag)
    ]


class TestEncodedForms(unittest.TestCase):
    """Guards against builds that can't read each other's datagrams and stored values.

    Processes of two builds run together during an upgrade. The bytes of each datagram
    and of each stored value are therefore compared with a golden file.
    """

    def test_datagrams(self):
        samples = messages()
        for message in samples:
            self.assertEqual(datagrams.decode(datagrams.encode(message)), message)
        lines = [datagrams.encode(message).hex() for message in samples]
        check_golden(__file__, "datagrams", lines)

    def test_stored_values(self):
        held = HeldRecord(True, ("i-1@5", "i-2@6"))
        entry = EntryRecord("front-1", "kl-a", "10.0.0.7:8227", PEER)
        engine = Engine(*(sample(kind) for kind in t.get_type_hints(Engine).values()))
        figures = EngineFigures(4, engine, 150)
        leader = orjson.dumps(leadership._LeaderDocument("side-1", PEER, 2))
        self.assertEqual(decode_held_record("x", orjson.dumps(held)), held)
        self.assertEqual(decode_entry("front-1", entry.encode()), entry)
        self.assertEqual(decode_engine_figures("svc", figures.encode()), figures)
        self.assertEqual(leadership.decode_leader("g-1", leader), (PEER, 2))
        values = [orjson.dumps(held), entry.encode(), figures.encode(), leader]
        check_golden(__file__, "stored_values", [value.decode() for value in values])

    def test_records_and_tickets(self):
        change = Change(2, "change-2", 1_000, "operator", "a voter joined")
        voters = Document(1, (), ())
        voter = Voter("klang-valley", "kl-a", "entry-1")
        roster = change_roster(voters, 1, change, "entry-1", voter)
        term = TermRecord(4, 3, 1, "life")
        ticket = Ticket("team", "model@1", (TicketHome(Home("host-1", "life"), 7),))
        text = encode_ticket(ticket)
        self.assertEqual(decode_ticket(text), ticket)
        names = {name: getattr(term, name) for name in TermRecord.__slots__}
        lines = [write_document(roster).decode(), json.dumps(names), text]
        check_golden(__file__, "records_and_tickets", lines)

    def test_texts_of_errors_in_answers(self):
        # Callers receive them in the bodies of answers, and may match them.
        modules = (
            attempts,
            answer_ends,
            event_relay,
            silence_limit,
            client,
            pool,
            delivery,
            error_answers,
            placing,
            routes,
            stop_admission,
        )
        lines = [text for module in modules for text in texts(module)]
        check_golden(__file__, "answer_texts", lines)
