"""Expected length of a rank group's passes, by its requests and expert imbalance."""

import collections
import dataclasses

#: Imbalance that is assumed of a group whose passes haven't been measured yet. After a
#: shift of demand the most loaded rank has 2 to 3 times the mean load.
INITIAL_IMBALANCE = 2.5
#: Passes that imply more than this aren't explained by imbalance: the group stalled, as
#: it does when a rank or its leader fails, and fewer requests wouldn't shorten them.
MAX_IMBALANCE = 4.0
#: Time in which the excess of the maximum over 1 halves. Demand shifts every 2.4 to
#: 4.3 s, and after that time 0.86 of the excess is left.
IMBALANCE_HALF_LIFE_MS = 20_000
#: Longest time between two measurements that counts for the decay. A group without
#: measured passes keeps its maximum, as demand may shift meanwhile.
MAX_DECAY_STEP_MS = 1_000
#: Time for which a pass time lags behind the requests that it depends on: it is a
#: running mean of windows of 200 ms, and each window has half of the weight.
PASS_LAG_MS = 800
#: Time after a stall for which the mean is still raised by it.
STALL_RECOVERY_MS = 1_000
#: Share of the slots that must be in use for a pass to count. With fewer requests the
#: reading of prompts, which the model omits, would pass for imbalance.
MIN_MEASURED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PassModel:
    """Length of a pass as a function of running requests and imbalance.

    Attributes
    ----------
    fixed_ms : float
        Part that doesn't depend on the requests.
    per_request_ms : float
        Part of each request on a rank, with even expert load.
    expert_share : float
        Share of that part which the experts do; it takes as long as the most loaded
        rank needs.

    Notes
    -----
    .. versionadded:: 0.1
    """

    fixed_ms: float
    per_request_ms: float
    expert_share: float

    def expected_ms(self, running: float, imbalance: float) -> float:
        """Return the expected length of a pass.

        Parameters
        ----------
        running : float
            Requests per rank.
        imbalance : float
            Expert load of the most loaded rank over the mean.
        """
        return self.fixed_ms + self._request_ms(imbalance) * running

    def max_running(self, pass_ms: float, imbalance: float) -> float:
        """Return the requests per rank with which a pass takes `pass_ms`."""
        return max(0.0, pass_ms - self.fixed_ms) / self._request_ms(imbalance)

    def imbalance(self, pass_ms: float, running: float) -> float:
        """Return the imbalance that a pass implies; at least 1."""
        if not running or not self.expert_share:
            return 1.0
        slowness = (pass_ms - self.fixed_ms) / (self.per_request_ms * running)
        return max(1.0, (slowness - 1.0) / self.expert_share + 1.0)

    def _request_ms(self, imbalance: float) -> float:
        slowness = 1.0 - self.expert_share + self.expert_share * imbalance
        return self.per_request_ms * slowness


class ImbalanceEstimate:
    """A group's imbalance: a decaying maximum of what its passes imply.

    A maximum, because imbalance jumps when demand shifts, and a late event can't be
    taken back. The initial assumption decays in the same way: passes that were measured
    between two shifts say nothing about the next one.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_history", "_measured_ms", "_stalled_ms", "value")

    def __init__(self) -> None:
        self.value = INITIAL_IMBALANCE
        self._measured_ms: int | None = None
        self._stalled_ms: int | None = None
        #: Time, requests per rank and maximum before, within the last `PASS_LAG_MS`.
        self._history: collections.deque[tuple[int, float, float]] = collections.deque()

    def note_pass(
        self,
        model: PassModel,
        slots: int,
        running: float,
        pass_ms: float,
        now_ms: int,
    ) -> None:
        """Apply a group's current requests per rank and the pass time it reports.

        The pass is compared with the most requests within the lag of its time. With
        those of the present, each fall of the load would look like imbalance.
        """
        self._history.append((now_ms, running, self.value))
        while now_ms - self._history[0][0] > PASS_LAG_MS:
            self._history.popleft()
        most = max(running for _, running, _ in self._history)
        if not pass_ms or most < MIN_MEASURED_SHARE * slots:
            return
        implied = model.imbalance(pass_ms, most)
        if implied > MAX_IMBALANCE:
            self._note_stall(now_ms)
        elif not self._recovers(now_ms):
            self.value = max(self._decayed(now_ms), implied)
            self._measured_ms = now_ms

    def _note_stall(self, now_ms: int) -> None:
        """Withdraw what was measured while the pass that stalls grew longer."""
        self._stalled_ms = now_ms
        self.value = self._history[0][2]

    def _recovers(self, now_ms: int) -> bool:
        if self._stalled_ms is None:
            return False
        return now_ms - self._stalled_ms <= STALL_RECOVERY_MS

    def _decayed(self, now_ms: int) -> float:
        if self._measured_ms is None:
            return self.value
        elapsed_ms = min(now_ms - self._measured_ms, MAX_DECAY_STEP_MS)
        return 1.0 + (self.value - 1.0) * 0.5 ** (elapsed_ms / IMBALANCE_HALF_LIFE_MS)
