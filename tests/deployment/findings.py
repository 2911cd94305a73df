"""What callers and upstreams saw, against what must hold."""

import collections
import dataclasses

from tests.deployment.targets import decode_target
from tests.processes.channels import PROMISES

#: Time behind the end of the grace to which a stop still counts.
BEHIND_GRACE_S = 1.0
#: Time for which a kill or a freeze excuses what its entry does.
SETTLING_S = 3.0
#: Answers this close to the time limit may end by it.
LIMIT_SLACK_S = 0.1
#: A run that is at work in this last part of the grace may be cut, if its request
#: was sent no later than this behind the SIGTERM.
LAST_PART, SENT_LATEST_S = 1 / 6, 3.0
#: Manners by which a process is no longer itself.
UNPLANNED = ("kill", "freeze")


@dataclasses.dataclass
class Finding:
    """A request of which something doesn't hold.

    Attributes
    ----------
    fault : str
    sending : dict
        What its caller saw.
    runs : list of dict
    planned : bool
        Whether it counts against the code: a broken promise, or a cut around a stop.
    excuse : str
        Why a cut is allowed; none for one around a stop, or one without a reason.
    """

    fault: str
    sending: dict
    runs: list
    planned: bool = True
    excuse: str = ""


class Examiner:
    """Examines the sendings of a run.

    Parameters
    ----------
    layout : Layout
    runs : iterable of dict
        Runs at the upstreams.
    stops : list of Stop
    mishaps : list of Mishap
    """

    def __init__(self, layout, runs, stops, mishaps):
        self._grace_s = layout.stop_grace_s
        self._kinds = {kind.name: kind for kind in layout.kinds}
        self._stops, self._mishaps = stops, mishaps
        self.runs = collections.defaultdict(list)
        for run in runs:
            self.runs[run["request"]].append(run)

    def examine(self, sendings):
        """Return all findings.

        Parameters
        ----------
        sendings : iterable of dict

        Returns
        -------
        list of Finding
        """
        found = (self._examine_one(one) for one in sendings)
        return [one for one in found if one is not None]

    def _examine_one(self, sending):
        kind = self._kinds[sending["kind"]]
        runs = self.runs.get(sending["request"], [])
        repeatable = kind.kind == "safe" or kind.resumable
        if len(runs) > 1 and not repeatable:
            return Finding(f"ran {len(runs)} times", sending, runs)
        if not sending["whole"]:
            return self._examine_cut(sending, runs)
        if sending["status"] in PROMISES and runs and not repeatable:
            return Finding("is said not to have run, and ran", sending, runs)
        if sending["status"] == 200:
            return self._examine_success(sending, runs, kind)
        return None

    def _examine_success(self, sending, runs, kind):
        if not runs:
            return Finding("got an answer of no run", sending, runs)
        amount = decode_target(sending["target"]).amount
        if kind.kind != "stream":
            whole = sending["bytes"] == amount
        else:
            whole = sending["events"] == amount - sending.get("last_event", 0)
        if not whole:
            return Finding("got a part that looks whole", sending, runs)
        return None

    def _examine_cut(self, sending, runs):
        if sending["ending"] not in ("fin", "reset") or not runs:
            return None
        if sending["ended_by"] == "caller":
            return None
        state = "had answered whole" if runs[-1]["ending"] == "whole" else "was at work"
        excuse = self._find_excuse(sending, runs)
        planned = not excuse and self.find_stop(sending) is not None
        where = "around a stop" if planned else excuse or "away from stops"
        fault = f"was cut by {sending['ending']} when its upstream {state}, {where}"
        return Finding(fault, sending, runs, planned, excuse)

    def _find_excuse(self, sending, runs):
        ended_s, stop = sending["ended_s"], self.find_stop(sending)
        if self._is_unplanned(sending):
            return "around a kill or freeze"
        if ended_s >= sending["until_s"] - LIMIT_SLACK_S:
            return "at its time limit"
        if stop is None or sending["sent_s"] > stop.began_s + SENT_LATEST_S:
            return ""
        last_part_s = stop.began_s + self._grace_s * (1 - LAST_PART)
        return "at the end of the grace" * (runs[-1]["ended_s"] >= last_part_s)

    def find_stop(self, sending):
        """Return the stop of its entry around which a sending ended, or None."""
        lasts_s = self._grace_s + BEHIND_GRACE_S
        around = (
            stop
            for stop in self._stops
            if stop.ip == sending["entry"]
            and stop.began_s <= sending["ended_s"] <= stop.began_s + lasts_s
        )
        return next(around, None)

    def _is_unplanned(self, sending):
        return any(
            mishap.kind in UNPLANNED
            and mishap.name == sending["entry"]
            and mishap.began_s <= sending["ended_s"]
            and sending["sent_s"] <= mishap.ended_s + SETTLING_S
            for mishap in self._mishaps
        )
