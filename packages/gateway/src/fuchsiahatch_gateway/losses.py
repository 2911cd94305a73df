"""Counts of how requests ended and why, per interval, from log lines."""

import collections
import typing as t

from fuchsiahatch_gateway.explain import Line

#: Wait for a slot above which the wait counts as the cause of a late answer.
LONG_WAIT_MS = 100
#: The log has a line for one in this many plain answers in time (see `RequestLog`).
SUCCESS_SAMPLE = 20

#: Causes in the order in which they are tested; the first that matches counts.
_CAUSES: tuple[tuple[str, t.Callable[[Line], bool]], ...] = (
    ("in time", lambda line: _is_answered(line) and line.get("on_time", True)),
    ("caller left", lambda line: line["end"] == "caller left"),
    ("refused: no place", lambda line: "no place" in line["end"]),
    ("refused: not run", lambda line: line["end"].startswith("503")),
    ("failed: time over", lambda line: line["end"].startswith("504")),
    ("failed: answer broken", lambda line: line["end"].startswith("502")),
    ("denied", lambda line: line["end"].startswith("4")),
    ("late: sent again", lambda line: len(line.get("tried") or ()) > 1),
    ("late: waited for a place", lambda line: line["waited_ms"] > LONG_WAIT_MS),
    ("late: pause in its stream", lambda line: bool(line.get("longest_gap_ms"))),
    ("late: slow first byte", lambda line: True),
)


def cause_of(line: Line) -> str:
    """Return the cause for a `request_ended` line."""
    return next(name for name, matches in _CAUSES if matches(line))


def describe_losses(lines: t.Iterable[Line], span_ms: int) -> t.Iterator[str]:
    """Yield the counts of each cause, a line per interval and one for the total.

    Parameters
    ----------
    lines : iterable of dict
        Of all entries. The wall clock assigns a line to an interval, as the entries'
        monotonic clocks differ.
    span_ms : int
        Length of an interval.
    """
    intervals: dict[int, collections.Counter[str]] = {}
    for line in lines:
        if line["message_type"] != "request_ended":
            continue
        at_ms = int(line["timestamp"] * 1000)
        counts = intervals.setdefault(at_ms // span_ms, collections.Counter())
        plain = line["end"] == "answered" and len(line.get("tried") or ()) == 1
        in_time = plain and line.get("on_time", True)
        counts[cause_of(line)] += SUCCESS_SAMPLE if in_time else 1
    first = min(intervals, default=0)
    for number, counts in sorted(intervals.items()):
        yield f"{(number - first) * span_ms / 1000:>6} s  {_describe(counts)}"
    total = sum(intervals.values(), collections.Counter())
    yield f"     all  {_describe(total)}"


def _is_answered(line: Line) -> bool:
    return line["end"] == "answered"


def _describe(counts: collections.Counter[str]) -> str:
    return (
        ", ".join(f"{name} {count}" for name, count in counts.most_common()) or "none"
    )
