"""A rank group whose store loses leaders' leases, for randomized tests."""

from fuchsiahatch_experts.switching import Switch
from tests.experts.switch_model import LEASE_MS, Leader, Model


class RestoredModel(Model):
    """The model of a group whose store is restored from older copies.

    The newest leader then loses its lease without noticing. It continues for as long as
    the lease would last, while another leader is elected at once.

    Parameters
    ----------
    seed : int
    make_switch : callable, optional
    waits : bool, optional
        Whether the later leader begins no switch, and contacts no engine directly, for
        the duration of a lease.
    eras : bool, optional
        Whether terms of a later era are higher; else a term is used twice.
    """

    def __init__(self, seed, make_switch=Switch, waits=True, eras=True):
        super().__init__(seed, make_switch)
        self.restore_rate = 0.006
        self.restored = 0
        self.waits, self.eras = waits, eras
        self.waits_until_ms = 0
        self.believes_lease_until_ms: dict[int, int] = {}

    def settle(self, turns):
        self.restore_rate = 0.0
        super().settle(turns)

    def _inject_failures(self) -> None:
        super()._inject_failures()
        if self.rng.random() < self.restore_rate:
            self._restore()

    def _restore(self) -> None:
        self.restored += 1
        previous_leader = self._newest()
        self.believes_lease_until_ms[id(previous_leader)] = (
            self.now_ms + self.rng.randrange(LEASE_MS)
        )
        if not self.eras:
            self.term -= 2
        self._elect()
        self.waits_until_ms = self.now_ms + (LEASE_MS if self.waits else 0)

    def _believes_lease(self, leader: Leader) -> bool:
        return self.now_ms < self.believes_lease_until_ms.get(id(leader), 0)

    def _may_lead(self, leader: Leader) -> bool:
        return self._believes_lease(leader) or super()._may_lead(leader)

    def _reaches_engines_directly(self, leader: Leader, term: int) -> bool:
        if leader is self._newest():
            return self.now_ms >= self.waits_until_ms
        return self._believes_lease(leader) or super()._reaches_engines_directly(
            leader, term
        )

    def _leaders_polling_engines(self) -> list[Leader]:
        former_leaders = [
            leader
            for leader in self.leaders
            if self._believes_lease(leader) and leader is not self._newest()
        ]
        newest = [self._newest()] if self.now_ms >= self.waits_until_ms else []
        return newest + former_leaders

    def _lead(self, leader: Leader) -> None:
        may_start = leader.takes_over or self.now_ms >= self.waits_until_ms
        if leader is not self._newest() or may_start:
            super()._lead(leader)
            return
        leader.switch._may_start = False
        super()._lead(leader)
        leader.switch._may_start = True


class SettledModel(RestoredModel):
    """The model with leaders that have just started.

    Such a leader skips the wait if an item of the store says that its era has lasted
    for a lease.

    Parameters
    ----------
    seed : int
    checks_era : bool, optional
        Whether the item counts only in the era that it names.
    """

    def __init__(self, seed, checks_era=True):
        super().__init__(seed)
        self.checks_era = checks_era
        self.era, self.item = 1, 0
        self.started_ms = 0
        self.skipped_waits = 0

    def _inject_failures(self) -> None:
        super()._inject_failures()
        waited = self.now_ms - self.started_ms >= LEASE_MS
        if waited and not self._is_stalled(self._newest()):
            self.item = self.era

    def _restore(self) -> None:
        copied_item = self.rng.choice((0, self.item, self.item))
        super()._restore()
        self.era += 1
        self.item = copied_item
        self._wait_unless_settled()

    def _elect(self) -> None:
        super()._elect()
        if self.rng.random() < 0.5:
            self._wait_unless_settled()

    def _wait_unless_settled(self) -> None:
        """Treat the newest leader as one that has just started."""
        settled = self.item == self.era if self.checks_era else self.item > 0
        self.skipped_waits += settled
        self.started_ms = self.now_ms
        self.waits_until_ms = self.now_ms + (0 if settled else LEASE_MS)
