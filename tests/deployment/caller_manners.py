"""What callers do otherwise than most, drawn from a seed."""

import dataclasses
import enum


class SeenBy(enum.StrEnum):
    """How a caller sees the end of a connection.

    `READ` reads until the kernel reports the end, and so has all that arrived before a
    reset. `FLAGS` looks at the error and hang-up flags first, and drops what is unread
    if one is set. `BUFFER` reads all that there is into a buffer, and drops the buffer
    if that ends in an error.
    """

    READ = "read"
    FLAGS = "flags"
    BUFFER = "buffer"


class BodyForm(enum.StrEnum):
    """How the body of a request is sent."""

    LENGTH = "length"
    CHUNKS = "chunks"
    EXPECT = "expect"
    SLOW = "slow"


#: Manners of a caller, with the share of callers that have each.
CALLER_SHARES = {
    "ignores-close": 0.5,
    "keeps-longer": 0.5,
    "leaves-open": 0.5,
    "small-buffer": 0.1,
    "hurries": 0.15,
}
#: Manners of a single request, with the share of requests that have each.
REQUEST_SHARES = {
    "half-closes-behind-request": 0.01,
    "half-closes-behind-answer": 0.05,
    "pipelines": 0.05,
    "sends-early": 0.08,
    "reads-slowly": 0.08,
    "resets-behind-answer": 0.04,
    "gives-up": 0.03,
}
#: Shares of the ways to see an end, and of the forms of a body.
SEEN_SHARES = {SeenBy.READ: 0.5, SeenBy.FLAGS: 0.3, SeenBy.BUFFER: 0.2}
BODY_SHARES = {
    BodyForm.LENGTH: 0.6,
    BodyForm.CHUNKS: 0.2,
    BodyForm.EXPECT: 0.1,
    BodyForm.SLOW: 0.1,
}
#: Every manner that can be switched off.
MANNERS = (
    *CALLER_SHARES,
    *REQUEST_SHARES,
    *(way for way in SEEN_SHARES if way is not SeenBy.READ),
    *(form for form in BODY_SHARES if form is not BodyForm.LENGTH),
)
_EXCLUSIVE = ("pipelines", "sends-early", "half-closes-behind-request")


@dataclasses.dataclass(frozen=True, slots=True)
class Manners:
    """What holds for one request of a caller.

    Attributes
    ----------
    names : frozenset of str
        Of `CALLER_SHARES` and `REQUEST_SHARES`.
    seen_by : SeenBy
    body_form : BodyForm
    """

    names: frozenset[str] = frozenset()
    seen_by: SeenBy = SeenBy.READ
    body_form: BodyForm = BodyForm.LENGTH

    def __contains__(self, name):
        return name in self.names

    def __str__(self):
        return " ".join([*sorted(self.names), self.seen_by, self.body_form])


def draw_caller(rng, without=()):
    """Return the manners that a caller has in all its requests.

    Parameters
    ----------
    rng : random.Random
    without : collection of str
        Manners that are switched off.

    Returns
    -------
    Manners
    """
    return Manners(
        _draw_names(rng, CALLER_SHARES).difference(without),
        _draw_one(rng, SEEN_SHARES, without),
    )


def draw_request(rng, caller, without=()):
    """Return the manners of one request of a caller; parameters as before."""
    drawn = _draw_names(rng, REQUEST_SHARES)
    first = next((name for name in _EXCLUSIVE if name in drawn), None)
    kept = {name for name in drawn if name not in _EXCLUSIVE or name == first}
    form = _draw_one(rng, BODY_SHARES, without)
    return Manners(caller.names | kept.difference(without), caller.seen_by, form)


def _draw_names(rng, shares):
    return frozenset(name for name, share in shares.items() if rng.random() < share)


def _draw_one(rng, shares, without):
    (drawn,) = rng.choices(list(shares), list(shares.values()))
    return next(iter(shares)) if drawn in without else drawn
