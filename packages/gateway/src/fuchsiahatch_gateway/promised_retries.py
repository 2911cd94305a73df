"""Retries that requests hold before they give up their upstreams."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.jobs import Job
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.placing import Placer
    from fuchsiahatch_gateway.request_traits import RequestTraits
    from fuchsiahatch_gateway.retry_budget import RetryBudget


class PromisedRetries:
    """Takes the retry and the slot of a request that is about to give up its upstream.

    All streams of a slow or stalled rank give up at the same moment. If each of them
    only looked whether a retry and a slot are left, all would see the same last one,
    and those that don't get it would be cut though their upstream still works.

    Parameters
    ----------
    budget : RetryBudget
    placer : Placer
    """

    __slots__ = ("_budget", "_placer")

    def __init__(self, budget: "RetryBudget", placer: "Placer") -> None:
        self._budget = budget
        self._placer = placer

    def take(self, job: "Job", traits: "RequestTraits") -> bool:
        """Take a retry and a slot for a request; return whether it holds them now."""
        if job.promised is not None:
            return True
        if not self._budget.has_retry_left(job.service):
            return False
        upstream = self._placer.reserve_free_slot(job.service, traits, job.tried)
        if upstream is None:
            return False
        self._budget.spend(job.service)
        job.promised = upstream
        return True

    def claim(self, job: "Job") -> "Upstream | None":
        """Return the upstream of a request's promised slot, which is the request's now.

        The retry is the next attempt's.
        """
        upstream, job.promised = job.promised, None
        if upstream is not None:
            job.holds_retry = True
        return upstream

    def spend(self, job: "Job") -> bool:
        """Take a retry for a request that holds none; return whether it has one now."""
        if job.promised is None and not job.holds_retry:
            job.holds_retry = self._budget.spend(job.service)
        return job.promised is not None or job.holds_retry

    def note_sent(self, job: "Job") -> None:
        """Note that an attempt was sent, and has used the retry that it needed."""
        job.holds_retry = False

    def refund(self, job: "Job") -> None:
        """Give back a retry with which no attempt was sent, as none will be."""
        if job.holds_retry:
            job.holds_retry = False
            self._budget.refund(job.service)

    def drop(self, job: "Job") -> None:
        """Give back what a request holds, as it goes on without another attempt."""
        upstream, job.promised = job.promised, None
        if upstream is not None:
            self._budget.refund(job.service)
            self._placer.release_unused(upstream)
