"""What became of requests over time and why, added up from log lines."""

import collections
import typing as t

from fuchsiahatch_gateway.explain import Line

#: Time for a place beyond which waiting counts as the cause of a late answer.
LONG_WAIT_MS = 100
#: One in this many plain answers in time has a line.
SUCCESS_SAMPLE = 20

#: Causes in the order in which they are looked for; the first that fits counts.
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
    """Return what became of a request, by the line of its end."""
    return next(name for name, matches in _CAUSES if matches(line))


def describe_losses(lines: t.Iterable[Line], span_ms: int) -> t.Iterator[str]:
    """Yield a table of causes, a line for each spell, and one of all of them.

    Parameters
    ----------
    lines : iterable of dict
        Of all entries. Their clocks may differ: spells are of the time of day.
    span_ms : int
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
