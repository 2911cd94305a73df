"""Explains how a request ended, from log lines on standard input."""

import collections.abc
import sys
import typing as t

import orjson

#: Events that may explain how a request ended, with their descriptions.
BACKGROUND = {
    "store_lost": "the store did not answer",
    "store_regained": "the store answered again",
    "history_lost": "the store lost its history",
    "configuration_applied": "a configuration was applied",
    "zone_drain_begun": "the operator drained a zone",
    "zone_drain_ended": "the drain of a zone ended",
    "upstream_gone": "an upstream's entry was removed",
    "upstream_leaving": "an upstream began to leave",
    "upstream_misplaced": "another upstream answered at an upstream's address",
    "upstream_backoff": "an upstream asked for a backoff period",
    "upstream_backoff_ended": "an upstream's backoff period ended",
    "upstream_crashed": "an upstream's process had crashed",
    "stopping": "the process began to stop",
    "started": "the process started",
    "internal_error": "an internal error of the gateway",
}
#: Events that name requests or prompt parts by fingerprints; they count from any node.
CRASH_LINES = ("crash_counted", "request_held", "suspect_cleared", "hold_written")
#: Time before the end of a request from which other events are shown.
BACKGROUND_MS = 10_000
#: Fields of every log line, which aren't repeated.
_COMMON_FIELDS = frozenset(
    ("event", "message_type", "timestamp", "t_ms", "node", "role")
)

Line = dict[str, t.Any]


def read_lines(source: t.Iterable[str]) -> t.Iterator[Line]:
    """Yield the log lines that parse; text before the JSON of a line is skipped."""
    for text in source:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = orjson.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "message_type" in line:
            yield line


def explain_request(
    request_id: str, lines: collections.abc.Iterable[Line]
) -> list[str]:
    """Return the log lines that concern a request, as text in the order of time.

    Parameters
    ----------
    request_id : str
    lines : iterable of dict
        Of all processes, in any order.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.get("request") == request_id]
    if not request_lines:
        return [f"no line names request {request_id}; plain successes are sampled"]
    request_lines.sort(key=lambda line: line["t_ms"])
    ended = _find_end(request_lines)
    background_lines = [line for line in all_lines if _is_background(line, ended)]
    crash_lines = [line for line in all_lines if _is_related_crash(line, ended)]
    shown = sorted(
        [*request_lines, *background_lines, *crash_lines], key=lambda line: line["t_ms"]
    )
    return [_describe(line, ended) for line in shown]


def _find_end(request_lines: list[Line]) -> Line:
    """Return the line of a request's end; lines of its connection may follow it."""
    ends = [line for line in request_lines if line["message_type"] == "request_ended"]
    return (ends or request_lines)[-1]


def _is_background(line: Line, ended: Line) -> bool:
    if line["message_type"] not in BACKGROUND or line["node"] != ended["node"]:
        return False
    return 0 <= ended["t_ms"] - line["t_ms"] <= BACKGROUND_MS


def _is_related_crash(line: Line, ended: Line) -> bool:
    """Return whether a line reports a crash that the same request may have caused."""
    if line["message_type"] not in CRASH_LINES:
        return False
    own = {ended.get("fingerprint"), *ended.get("parts", ())}
    return not own.isdisjoint(_flatten(line.get("fingerprints", ())))


def _flatten(fingerprints: t.Iterable[str | list[str]]) -> t.Iterator[str]:
    for one in fingerprints:
        if isinstance(one, str):
            yield one
        else:
            yield from one


def _describe(line: Line, ended: Line) -> str:
    before_ms = ended["t_ms"] - line["t_ms"]
    kind = line["message_type"]
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON_FIELDS
    )
    description = BACKGROUND.get(kind, kind.replace("_", " "))
    return f"{-before_ms:>8} ms  {line['node']}  {description}: {fields}"


def explain(request_id: str) -> None:
    """Print the log lines on standard input that concern one request.

    Parameters
    ----------
    request_id : str
        As the caller sent it.
    """
    for text in explain_request(request_id, read_lines(sys.stdin)):
        print(text)
