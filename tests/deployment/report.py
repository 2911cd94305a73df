"""The report of a run, as a document and as one page of text."""

import collections
import json

from tests.processes.stop_checks import find_stop_faults

#: Most findings that a page shows, and most lines of the processes' logs for each.
MOST_SHOWN, MOST_LINES = 10, 60
#: Time around a finding from which lines are shown.
AROUND_S = 1.0
#: Lines of other processes are shown only if they are none of these.
_FREQUENT = ("store_calls", "request_ended", "switch_moved", "map_planned")


class Lines:
    """Log lines of all processes, with their times by `time.monotonic`.

    Parameters
    ----------
    lines : iterable of dict
    offset_s : float
        Time by the log's clock less the time by `time.monotonic`.
    """

    def __init__(self, lines, offset_s):
        known = (line for line in lines if "t_ms" in line)
        self._lines = sorted(
            ((line["t_ms"] / 1000 - offset_s, line) for line in known),
            key=lambda pair: pair[0],
        )

    def around(self, finding, node):
        """Return the lines that belong to a finding, as texts."""
        at_s, request = finding.sending["ended_s"], finding.sending["request"]
        shown = [
            f"{line_s:.3f} {json.dumps(line)}"
            for line_s, line in self._lines
            if f'"{request}"' in json.dumps(line)
            or (
                abs(line_s - at_s) <= AROUND_S
                and (line["node"] == node or line.get("message_type") not in _FREQUENT)
            )
        ]
        return shown[:MOST_LINES]

    def name(self, request):
        """Return whether any line names a request."""
        return any(f'"{request}"' in json.dumps(line) for _, line in self._lines)

    def find_ends(self, request):
        """Return how the entries' lines say that a request ended."""
        return [
            line["end"]
            for _, line in self._lines
            if line.get("request") == request and "end" in line
        ]

    def count(self):
        """Return how often each kind of line was written."""
        names = (line.get("message_type", "?") for _, line in self._lines)
        return dict(sorted(collections.Counter(names).items()))


def make_report(plan, sendings, findings, disturbances, lines, nodes, grace_s):
    """Return the report of a run as a document.

    Parameters
    ----------
    plan : dict
        Options of the run.
    sendings : list of dict
    findings : list of Finding
    disturbances : Disturbances
    lines : Lines
    nodes : dict of str to str
        Names of the entries by their addresses.
    grace_s : float
    """
    stops = disturbances.stops
    stop_faults = [text for _, text in find_stop_faults(stops, grace_s)]
    counted = [one for one in findings if one.planned]
    return {
        "plan": plan,
        "passed": not counted and not stop_faults,
        "played": count_played(sendings, disturbances),
        "requests": _count_requests(sendings),
        "first_byte_ms": _first_byte_ms(sendings),
        "cuts": {
            "around_stops": sum("cut" in one.fault for one in counted),
            "elsewhere": sum(not one.planned and not one.excuse for one in findings),
            "excused": sum(bool(one.excuse) for one in findings),
        },
        "stops": {
            "count": len(stops),
            "longest_s": round(
                max((one.ended_s - one.began_s for one in stops), default=0.0), 2
            ),
            "faults": stop_faults,
        },
        "mishaps": dict(collections.Counter(one.kind for one in disturbances.mishaps)),
        "lines": lines.count(),
        "findings": [
            {
                "fault": one.fault,
                "planned": one.planned,
                "ends": lines.find_ends(one.sending["request"]),
                "named_in_a_line": lines.name(one.sending["request"]),
                "sending": one.sending,
                "runs": one.runs,
                "lines": lines.around(one, nodes.get(one.sending["entry"])),
            }
            for one in sorted(findings, key=lambda one: not one.planned)
        ],
    }


def count_played(sendings, disturbances):
    """Return how much of what the run is for took place.

    Parameters
    ----------
    sendings : list of dict
    disturbances : Disturbances

    Returns
    -------
    dict of str to int
    """
    stops = disturbances.stops
    return {
        "sendings": len(sendings),
        "streams_across_a_stop": sum(is_across(one, stops) for one in sendings),
        "stops": len(stops),
        "pauses": sum(one.kind == "pause" for one in disturbances.mishaps),
    }


def is_across(sending, stops):
    """Return whether a whole stream was in progress at the SIGTERM of its entry."""
    return (
        sending["whole"]
        and sending["events"] > 0
        and any(
            stop.ip == sending["entry"]
            and sending["sent_s"] < stop.began_s < sending["ended_s"]
            for stop in stops
        )
    )


def _count_requests(sendings):
    counts = collections.defaultdict(collections.Counter)
    for one in sendings:
        ending = one["status"] if one["whole"] else one["ending"]
        counts[one["kind"]][str(ending)] += 1
    return {kind: dict(sorted(count.items())) for kind, count in counts.items()}


def _first_byte_ms(sendings):
    times = sorted(
        1000 * (one["first_byte_s"] - one["sent_s"])
        for one in sendings
        if one["status"] == 200 and one["first_byte_s"]
    )
    if not times:
        return {}
    return {
        f"p{percent}": round(times[len(times) * percent // 100]) for percent in (50, 95)
    }


def to_text(report):
    """Return the page of a report."""
    rows = [f"{'passed' if report['passed'] else 'FAILED'}: {report['plan']}"]
    rows += [f"  {kind}: {count}" for kind, count in report["requests"].items()]
    for name in ("played", "first_byte_ms", "cuts", "stops", "mishaps", "lines"):
        rows.append(f"{name.replace('_', ' ')}: {report[name]}")
    for finding in report["findings"][:MOST_SHOWN]:
        named = "named" if finding["named_in_a_line"] else "not named in any line"
        rows += [
            "",
            f"{finding['fault']}; {named} {finding['ends']}",
            f"  {json.dumps(finding['sending'])}",
        ]
        rows += [f"  ran: {json.dumps(run)}" for run in finding["runs"]]
        rows += [f"    {line}" for line in finding["lines"]]
    left = len(report["findings"]) - MOST_SHOWN
    return "\n".join([*rows, *[f"and {left} findings more"] * (left > 0)])
