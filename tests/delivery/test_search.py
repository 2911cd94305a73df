import os
import random
import unittest

from fuchsiahatch_delivery.verdicts import Verdict
from tests.delivery.sessions import FakeEntry, Session

#: A longer search: FUCHSIAHATCH_SEARCH_RUNS=20000.
RUNS = int(os.environ.get("FUCHSIAHATCH_SEARCH_RUNS", "300"))
STEPS, KEYS = 40, ("k1", "k2", "k3")


class RandomSession:
    """Calls and faults in random order over the real delivery code."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.session = Session(seed, late_percent=10)
        for host in ("hold-1", "hold-2", "hold-3"):
            self.session.home(host)
        self.ticket = self.session.ticket()
        self.entries = [FakeEntry(self.session, f"entry-{n}") for n in (1, 2, 3)]
        self.calls = []

    def run(self):
        actions = (
            (self.call, 10),
            (self.break_hop, 4),
            (self.freeze, 2),
            (self.wake, 3),
            (self.kill, 1),
            (self.restart, 1),
            (self.leave, 2),
            (self.stay, 1),
            (self.kill_entry, 1),
        )
        ways, weights = zip(*actions, strict=True)
        for _ in range(STEPS):
            self.rng.choices(ways, weights)[0]()
            pause_ms = self.rng.choice((1, 3, 9, 30, 120, 1_000, 4_000))
            self.session.run(self.session.clock.now_ms() + pause_ms)
        for home in list(self.session.homes.values()):
            home.wake()
        self.session.run(self.session.clock.now_ms() + 20_000)

    def call(self):
        entry = self.rng.choice(self.entries)
        if entry.alive:
            self.calls.append(entry.call(self.rng.choice(KEYS), self.ticket))

    def break_hop(self):
        open_calls = [one for one in self.calls if one.outcome is None]
        if open_calls:
            call = self.rng.choice(open_calls)
            call.entry.break_hop(call)

    def freeze(self):
        home = self.pick()
        if home.alive and not home.frozen:
            home.freeze()

    def wake(self):
        home = self.pick()
        home.wake()
        home.known_gone = not home.alive

    def kill(self):
        if self.pick().alive:
            self.pick().kill()

    def restart(self):
        home = self.pick()
        if home.alive:
            home.kill()
        life = int(home.home.incarnation.removeprefix("life-")) + 1
        self.session.home(home.home.host, life)

    def leave(self):
        self.pick().leaving = True

    def stay(self):
        self.pick().leaving = False

    def kill_entry(self):
        alive = [entry for entry in self.entries if entry.alive]
        if len(alive) > 1:
            self.rng.choice(alive).kill()

    def pick(self):
        return self.session.homes[self.rng.choice(sorted(self.session.homes))]

    def faults(self):
        """Return descriptions of all violated guarantees."""
        return [
            *(f"{key} ran {n} times" for key, n in self.session.runs.items() if n > 1),
            *(f"{one} ran after NOT_RUN" for one in self.session.run_all_the_same),
            *(fault for key in KEYS for fault in self._faults_of(key)),
        ]

    def _faults_of(self, key):
        calls = [one for one in self.calls if one.key == key]
        ran = self.session.runs[f"key/{key}"]
        words = [one.outcome for one in calls if one.outcome is not None]
        texts = {one.text for one in calls if one.outcome and _is_done(one.outcome)}
        if any(outcome.whole_key for outcome in words) and ran:
            yield f"{key} was said never to run, and ran"
        if len(words) == len(calls) and all(map(_is_not_run, words)) and ran:
            yield f"every try of {key} was said not to be run, and it ran"
        if len(texts) > 1 or (texts and not ran):
            yield f"{key} has {len(texts)} answers from {ran} runs"


def _is_done(outcome):
    return outcome.verdict is Verdict.DONE


def _is_not_run(outcome):
    return outcome.verdict is Verdict.NOT_RUN


class TestSearch(unittest.TestCase):
    def test_no_key_runs_twice_or_after_not_run(self):
        """Guards against keys that run twice, or after the verdict NOT_RUN.

        Which order of pauses, deaths, restarts, drains and broken connections
        causes it isn't known beforehand, so many random orders are tried.
        """
        done = 0
        for seed in range(RUNS):
            one = RandomSession(seed)
            one.run()
            story = "\n".join(one.session.close())
            self.assertEqual(one.faults(), [], f"seed {seed}:\n{story}")
            done += sum(_is_done(call.outcome) for call in one.calls if call.outcome)
        self.assertGreater(done, RUNS)
