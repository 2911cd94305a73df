"""Metrics of an entry's configuration and of its calls to the key-value service."""

import typing as t

import aioprometheus

if t.TYPE_CHECKING:
    from fuchsiahatch_daemon.configuration import Configuration
    from fuchsiahatch_platform.budget import CallBudget


class ControlMetrics:
    """Series that are set from the state of their owners before each scrape.

    Parameters
    ----------
    registry : aioprometheus.Registry
    configuration : Configuration
    budget : CallBudget

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_budget",
        "_calls",
        "_configuration",
        "_fresh",
        "_refused",
        "_revision",
        "_waiting",
    )

    def __init__(
        self,
        registry: aioprometheus.Registry,
        configuration: "Configuration",
        budget: "CallBudget",
    ) -> None:
        self._configuration = configuration
        self._budget = budget
        self._calls = aioprometheus.Counter(
            "fuchsiahatch_service_calls_total",
            "Calls to the key-value service by kind",
            registry=registry,
        )
        self._refused = aioprometheus.Counter(
            "fuchsiahatch_service_calls_refused_total",
            "Calls that were over the call budget",
            registry=registry,
        )
        self._waiting = aioprometheus.Gauge(
            "fuchsiahatch_service_watches_waiting",
            "Watches open at the key-value service",
            registry=registry,
        )
        self._revision = aioprometheus.Gauge(
            "fuchsiahatch_revision",
            "Revision of the placement records in force",
            registry=registry,
        )
        self._fresh = aioprometheus.Gauge(
            "fuchsiahatch_fresh",
            "1 while work may be admitted",
            registry=registry,
        )

    def refresh(self) -> None:
        """Take over the present state."""
        for kind, count in self._budget.calls.items():
            self._calls.set({"kind": kind}, count)
        self._refused.set({}, self._budget.refused)
        self._waiting.set({}, self._budget.waiting)
        self._revision.set({}, self._configuration.snapshot.revision)
        self._fresh.set({}, int(self._configuration.fresh))
