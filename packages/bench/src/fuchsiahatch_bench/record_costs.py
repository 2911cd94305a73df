"""What placement records cost: bytes, decoding time and memory for each team."""

import gc
import itertools
import json
import time
import tracemalloc
import typing as t

from fuchsiahatch_bench.fits import Line, Point, fit_line
from fuchsiahatch_placement.records import decode_document, decode_or_close

TEAMS = (10, 100, 1_000, 3_600)
_ROUNDS = 3
_NS_PER_MS = 1_000_000
_SHARE = b'"share_percent": 0.1'
_CHANGED_SHARE = b'"share_percent": 0.2'


def measure_records() -> dict[str, Line]:
    """Return bytes, milliseconds and memory bytes against the number of teams."""
    documents = {teams: _document(teams) for teams in TEAMS}
    rounds = list(itertools.product(documents.items(), range(_ROUNDS)))
    times = [(teams, _decode_ms(document)) for (teams, document), _ in rounds]
    again = [(teams, _redecode_ms(document)) for (teams, document), _ in rounds]
    return {
        "record_bytes": fit_line(_sizes(documents)),
        "record_decode_ms": fit_line(times),
        "record_redecode_ms": fit_line(again),
        "record_memory_bytes": fit_line(
            (teams, _memory_bytes(document)) for teams, document in documents.items()
        ),
    }


def _sizes(documents: t.Mapping[int, bytes]) -> list[Point]:
    return [(teams, len(document)) for teams, document in documents.items()]


def _decode_ms(document: bytes) -> float:
    # Of a first decode: decoded records are kept by their text.
    decode_or_close.cache_clear()
    gc.collect()
    before = time.process_time_ns()
    decode_document(document)
    return (time.process_time_ns() - before) / _NS_PER_MS


def _redecode_ms(document: bytes) -> float:
    """Return the time for a document in which one record has changed."""
    decode_or_close.cache_clear()
    decode_document(document)
    changed = document.replace(_SHARE, _CHANGED_SHARE, 1)
    gc.collect()
    before = time.process_time_ns()
    decode_document(changed)
    return (time.process_time_ns() - before) / _NS_PER_MS


def _memory_bytes(document: bytes) -> int:
    decode_or_close.cache_clear()
    gc.collect()
    tracemalloc.start()
    snapshot = decode_document(document)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert snapshot.placements
    return used


def _document(teams: int) -> bytes:
    records = [
        {
            "schema": 1,
            "team": f"team-{number:04d}",
            "zones": [f"zone-{number % 11}", f"zone-{(number + 1) % 11}"],
            "offers": [f"model-{number % 14}@2", "hold-and-cancel@1"],
            "share_percent": 0.1,
        }
        for number in range(teams)
    ]
    return json.dumps({"revision": 1, "history": [], "records": records}).encode()
