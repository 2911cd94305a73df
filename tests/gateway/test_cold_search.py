import random
import unittest

from tests.gateway.cold_model import COLD_START, LIMIT, Model

ENTRIES = 31
FOR_S = 14.0
#: From when on the entries know that the upstreams are cold.
KNOWN_MS = 2_500
#: From when on issuers that began at the start issue at their whole rate.
SETTLED_MS = 4_500


def issuer_dies(model):
    model.kill(model.issuer())


def issuer_leaves(model):
    model.leave(model.issuer())


def issuer_stalls(model):
    model.freeze(model.issuer(), model.rng.choice((0.3, 1.0, 2.5, 5.0)))


def issuer_is_cut_off(model):
    model.cut(model.issuer(), model.rng.uniform(1.0, 6.0))


def some_entry_stalls(model):
    model.freeze(model.rng.choice(model.entries), model.rng.choice((0.1, 0.4, 2.0)))


def entry_joins(model):
    model.join()


def half_keep_a_former_issuer(model):
    """Two entries are issuers for good, each by the view of half of all."""
    former, *others = model.ranking()
    model.keep_view([former, *others[2::2]])
    model.unregister(former)


def zone_returns(model):
    for one in model.entries:
        one.read(lambda entry: entry.fleet.note_zone_returned("a"))


EVENTS = (
    issuer_dies,
    issuer_leaves,
    issuer_stalls,
    issuer_is_cut_off,
    some_entry_stalls,
    entry_joins,
    half_keep_a_former_issuer,
    zone_returns,
)


def draw_schedule(seed):
    """Return a model with some failures at random times."""
    rng = random.Random(seed)
    events = [
        (rng.uniform(3.0, FOR_S - 2.0), rng.choice(EVENTS))
        for _ in range(rng.randint(1, 5))
    ]
    return Model(
        ENTRIES,
        rng.choice((1, 2, 3)),
        rng.choice((20.0, 60.0, 120.0)),
        FOR_S,
        seed,
        events,
        rng.choice((0.0, 0.0, 0.1)),
    )


class TestSchedules(unittest.TestCase):
    """No cold upstream gets more than it bears, whatever happens to its issuers.

    A cold upstream crashes above its limit in any second. With the permits of stated
    rates it would: an issuer that was asked for none for a while issues a burst, and
    two issuers at the whole rate, which each believe to be the only one, issue 30.
    """

    def check_limit(self, model, name):
        for instance in model.items:
            most = model.most_in_a_second(instance)
            self.assertLessEqual(most, LIMIT, (name, instance))

    def test_the_limit_holds_in_any_second(self):
        for seed in range(12):
            self.check_limit(draw_schedule(seed).run(), seed)

    def test_the_limit_holds_with_two_issuers_and_a_third_that_begins(self):
        # Half of all entries learn of no change of the entries, and keep a former
        # issuer for ever. The issuer of the others leaves 6 s later, but issues for its
        # own callers still.
        events = ((3.0, half_keep_a_former_issuer), (9.0, issuer_leaves))
        model = Model(ENTRIES, 1, 120.0, 18.0, 1, events).run()
        self.check_limit(model, "two issuers")
        issuers = [one for one in model.entries if one.permits.cold_issuer.issued > 5]
        self.assertGreaterEqual(len(issuers), 3)

    def test_the_limit_holds_where_all_entries_start_at_once(self):
        for seed in range(4):
            model = Model(ENTRIES, 3, 60.0, 6.0, seed, together=True).run()
            self.check_limit(model, seed)

    def test_a_cold_upstream_gets_a_steady_rate(self):
        # Without it an upstream of which all are cold, as after the drain of the only
        # zone of a service, would get next to nothing, and its callers be refused.
        model = Model(ENTRIES, 3, 60.0, 14.0, 1).run()
        permits = model.entries[0].fleet.cold_starts.limits_of("svc").permit_rate_per_s
        self.assertGreater(permits, COLD_START.rate_per_s / 2)
        for instance in model.items:
            for from_ms in range(SETTLED_MS, 13_000, 2_000):
                rate = model.rate(instance, from_ms, from_ms + 2_000)
                self.assertGreaterEqual(rate, 0.7 * permits, (instance, from_ms))

    def test_requests_wait_for_permits_that_suffice_for_all(self):
        # 12 requests per second find three cold upstreams, for each of which 7.5
        # permits per second are issued: none has to be refused.
        model = Model(ENTRIES, 3, 12.0, 16.0, 3).run()
        refused = [at for at, _ in model.refusals if at > SETTLED_MS + 1_000]
        self.assertLessEqual(len(refused), 0.03 * 12 * 10)

    def test_a_dead_issuer_stops_only_its_own_upstreams(self):
        model = Model(ENTRIES, 3, 30.0, 9.0, 2, ((5.0, issuer_dies),)).run()
        others = [instance for instance in model.items if instance != "i0"]
        rates = [model.rate(instance, 5_200, 8_000) for instance in others]
        self.assertGreater(min(rates), 4.0)
        self.assertLess(model.rate("i0", 5_200, 8_000), 1.0)


if __name__ == "__main__":
    unittest.main()
