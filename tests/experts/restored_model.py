"""A rank group whose leaders' leases the store forgets, for searches."""

from fuchsiahatch_experts.switching import Switch
from tests.experts.switch_model import LEASE_MS, Leader, Model


class RestoredModel(Model):
    """The model of a group, whose store comes back from older copies.

    Its newest leader has lost its lease unawares then and goes on as if it had it, for
    as long as the lease lasts, while another one is elected at once.

    Parameters
    ----------
    seed : int
    make_switch : callable, optional
    waits : bool, optional
        Whether the later leader begins no switch, and speaks with no engine itself,
        for the time of a lease.
    eras : bool, optional
        Whether terms of a later era are higher; else a term comes twice.
    """

    def __init__(self, seed, make_switch=Switch, waits=True, eras=True):
        super().__init__(seed, make_switch)
        self.restores = 0.006
        self.restored = 0
        self.waits, self.eras = waits, eras
        self.alone_ms = 0
        self.believes_ms: dict[int, int] = {}

    def settle(self, turns):
        self.restores = 0.0
        super().settle(turns)

    def _change_world(self) -> None:
        super()._change_world()
        if self.rng.random() < self.restores:
            self._restore()

    def _restore(self) -> None:
        self.restored += 1
        before = self._newest()
        self.believes_ms[id(before)] = self.now_ms + self.rng.randrange(LEASE_MS)
        if not self.eras:
            self.term -= 2
        self._elect()
        self.alone_ms = self.now_ms + (LEASE_MS if self.waits else 0)

    def _believes(self, leader: Leader) -> bool:
        return self.now_ms < self.believes_ms.get(id(leader), 0)

    def _may_lead(self, leader: Leader) -> bool:
        return self._believes(leader) or super()._may_lead(leader)

    def _speaks_itself(self, leader: Leader, term: int) -> bool:
        if leader is self._newest():
            return self.now_ms >= self.alone_ms
        return self._believes(leader) or super()._speaks_itself(leader, term)

    def _askers(self) -> list[Leader]:
        former = [
            one
            for one in self.leaders
            if self._believes(one) and one is not self._newest()
        ]
        newest = [self._newest()] if self.now_ms >= self.alone_ms else []
        return newest + former

    def _lead(self, leader: Leader) -> None:
        may_start = leader.takes_over or self.now_ms >= self.alone_ms
        if leader is not self._newest() or may_start:
            super()._lead(leader)
            return
        leader.switch._may_start = False
        super()._lead(leader)
        leader.switch._may_start = True


class SettledModel(RestoredModel):
    """The same with leaders that have just started, which an item may spare the wait.

    Parameters
    ----------
    seed : int
    checks_era : bool, optional
        Whether the item counts in the era that it names alone.
    """

    def __init__(self, seed, checks_era=True):
        super().__init__(seed)
        self.checks_era = checks_era
        self.era, self.item = 1, 0
        self.seen_ms = 0
        self.spared = 0

    def _change_world(self) -> None:
        super()._change_world()
        waited = self.now_ms - self.seen_ms >= LEASE_MS
        if waited and not self._stands_still(self._newest()):
            self.item = self.era

    def _restore(self) -> None:
        copied = self.rng.choice((0, self.item, self.item))
        super()._restore()
        self.era += 1
        self.item = copied
        self._wait_unless_told()

    def _elect(self) -> None:
        super()._elect()
        if self.rng.random() < 0.5:
            self._wait_unless_told()

    def _wait_unless_told(self) -> None:
        """Let the newest leader be one that has just started."""
        told = self.item == self.era if self.checks_era else self.item > 0
        self.spared += told
        self.seen_ms = self.now_ms
        self.alone_ms = self.now_ms + (0 if told else LEASE_MS)
