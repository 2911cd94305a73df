"""What one entry takes the load of each upstream for, between late reports."""

import collections

#: Weight of an entry's own outstanding work against what upstreams reported.
OWN_WEIGHT = 0.5


class LoadTable:
    """Joins upstreams' reports with this entry's own work since.

    Parameters
    ----------
    own_weight : float
        0 goes by the reports alone, 1 by own work alone.

    Notes
    -----
    Guards against herding: a report is up to a heartbeat old, all entries have
    the same one, and send to the same upstream until the next. An entry's own
    outstanding work is always fresh and differs from entry to entry, but is a
    small sample. Own work is scaled to what all entries have outstanding, and
    the two are averaged.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_outstanding",
        "_own_then",
        "_own_weight",
        "_reported",
        "_sum_outstanding",
        "_sum_reported",
        "_sum_then",
    )

    def __init__(self, own_weight: float = OWN_WEIGHT) -> None:
        self._own_weight = own_weight
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, int] = {}
        self._own_then: dict[str, int] = {}
        self._sum_outstanding = 0
        self._sum_reported = 0
        self._sum_then = 0

    def __len__(self) -> int:
        return len(self._reported.keys() | self._outstanding.keys())

    def begin(self, host: str) -> None:
        """Count an attempt that is sent to a host."""
        self._outstanding[host] += 1
        self._sum_outstanding += 1

    def end(self, host: str) -> None:
        """Count an attempt's end."""
        self._outstanding[host] -= 1
        self._sum_outstanding -= 1

    def record_report(self, host: str, load: int) -> None:
        """Take over what a host said of its load: running and waiting."""
        self._forget_report(host)
        own = self._outstanding[host]
        self._reported[host] = load
        self._own_then[host] = own
        self._sum_reported += load
        self._sum_then += own

    def load_of(self, host: str) -> float:
        """Estimate how many requests run or wait at a host now."""
        own = self._outstanding[host]
        if host not in self._reported:
            return own
        since = own - self._own_then[host]
        by_report = max(own, self._reported[host] + since)
        if not self._sum_outstanding:
            return by_report
        scaled = own * self._scale()
        return self._own_weight * scaled + (1 - self._own_weight) * by_report

    def retain(self, hosts: set[str]) -> None:
        """Forget all hosts but these."""
        for host in self._reported.keys() - hosts:
            self._forget_report(host)
        self._outstanding = +self._outstanding

    def _scale(self) -> float:
        """Return how much work there is for each request of this entry's own."""
        if not self._sum_then:
            return 1.0
        return max(1.0, self._sum_reported / self._sum_then)

    def _forget_report(self, host: str) -> None:
        self._sum_reported -= self._reported.pop(host, 0)
        self._sum_then -= self._own_then.pop(host, 0)
