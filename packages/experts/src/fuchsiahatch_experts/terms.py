"""Winning a term by compare-and-swap in the key-value service."""

import dataclasses
import typing as t

from automat import TypeMachineBuilder


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """What the service keeps for a group.

    Attributes
    ----------
    term, epoch : int
        The highest term and group epoch so far; both only rise.
    rank : int
        Rank whose agent took the term; -1 before the first.
    incarnation : str
        That agent's life.
    """

    term: int = 0
    epoch: int = 0
    rank: int = -1
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTerm:
    """Effect: read the group's record and its version."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwapTerm:
    """Effect: write the record if its version is still the expected one."""

    record: TermRecord
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lead:
    """Effect: the term is won; ``begin`` says whether the epoch is new."""

    term: int
    epoch: int
    begin: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Effect: end the own term, if there is one."""


CampaignEffect: t.TypeAlias = ReadTerm | SwapTerm | Lead | Follow
_Effects: t.TypeAlias = list[CampaignEffect]


@dataclasses.dataclass(slots=True)
class _Data:
    """What a campaign remembers; ``wanted`` is the record it tries to write."""

    rank: int
    incarnation: str
    heard_ms: int
    highest_term: int = 0
    wanted: TermRecord | None = None
    new_epoch: bool = False


class _Campaign(t.Protocol):
    """Inputs of the campaign; each returns the effects to carry out."""

    def begin(self, new_epoch: bool, now_ms: int) -> _Effects:
        """Start for a new term."""

    def record_read(self, record: TermRecord, version: int) -> _Effects:
        """Take the group's record."""

    def won(self) -> _Effects:
        """Take that the swap landed."""

    def answer_lost(self) -> _Effects:
        """Take that the swap may have landed."""

    def ended(self, now_ms: int) -> _Effects:
        """Take that there is nothing more to win now."""


_builder = TypeMachineBuilder(_Campaign, _Data)
_following = _builder.state("following")
_reading = _builder.state("reading")
_swapping = _builder.state("swapping")
_rereading = _builder.state("rereading")
_leading = _builder.state("leading")


@_following.upon(_Campaign.begin).to(_reading)
@_leading.upon(_Campaign.begin).to(_reading)
def _read(campaign: _Campaign, data: _Data, new_epoch: bool, now_ms: int) -> _Effects:
    data.new_epoch = new_epoch
    data.wanted = None
    data.heard_ms = now_ms
    return [Follow(), ReadTerm()]


@_reading.upon(_Campaign.record_read).to(_swapping)
def _swap(
    campaign: _Campaign, data: _Data, record: TermRecord, version: int
) -> _Effects:
    data.new_epoch |= record.epoch == 0
    # Guards against a service that has lost its writes: terms that start again from
    # below would be refused one by one, with a silence between, while steps stop.
    term = max(record.term, data.highest_term) + 1
    data.wanted = TermRecord(
        term, record.epoch + data.new_epoch, data.rank, data.incarnation
    )
    return [SwapTerm(data.wanted, version)]


# Guards against a swap whose answer is lost after it landed: the record names
# this agent, nobody leads, and every other rank waits out a silence. Reading it
# back settles it, as no two swaps write the same record.
@_swapping.upon(_Campaign.answer_lost).to(_rereading)
def _read_back(campaign: _Campaign, data: _Data) -> _Effects:
    return [ReadTerm()]


@_swapping.upon(_Campaign.won).to(_leading)
@_rereading.upon(_Campaign.won).to(_leading)
def _lead(campaign: _Campaign, data: _Data) -> _Effects:
    assert data.wanted is not None
    return [Lead(data.wanted.term, data.wanted.epoch, data.new_epoch)]


@_reading.upon(_Campaign.ended).to(_following)
@_swapping.upon(_Campaign.ended).to(_following)
@_rereading.upon(_Campaign.ended).to(_following)
@_leading.upon(_Campaign.ended).to(_following)
def _follow(campaign: _Campaign, data: _Data, now_ms: int) -> _Effects:
    data.heard_ms = now_ms
    return [Follow()]


_following.upon(_Campaign.ended).loop().returns([])
for _state in (_reading, _swapping, _rereading):
    _state.upon(_Campaign.begin).loop().returns([])

_make_campaign = _builder.build()


class Candidate:
    """One agent's campaigns for terms.

    Parameters
    ----------
    rank : int
    incarnation : str
        Who campaigns.
    silence_ms : int
        Time without a word from a leader after which it campaigns. Ranks get
        different ones, so that two seldom race.
    now_ms : int
        When it starts to listen.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_campaign", "_data", "_leads", "_silence_ms")

    def __init__(
        self, rank: int, incarnation: str, silence_ms: int, now_ms: int
    ) -> None:
        self._data = _Data(rank, incarnation, now_ms)
        self._campaign = _make_campaign(self._data)
        self._silence_ms = silence_ms
        self._leads = False

    def tick(self, now_ms: int) -> _Effects:
        """Campaign if a leader has been silent for too long."""
        if self._leads or now_ms - self._data.heard_ms < self._silence_ms:
            return []
        return self._campaign.begin(False, now_ms)

    def note_leader_contact(self, now_ms: int) -> None:
        """Take a leader's request whose term the own rank did not refuse.

        Notes
        -----
        A refusal for any other cause counts too. A leader that waits a minute
        for weights hears nothing but refusals, and were it taken for silent,
        the agents would depose each other until the weights are there.
        """
        self._data.heard_ms = now_ms

    def take_term(self, new_epoch: bool, now_ms: int) -> _Effects:
        """Take that the own term can't go on and a new one is needed."""
        self._leads = False
        return self._campaign.begin(new_epoch, now_ms)

    def step_down(self, now_ms: int, highest_term: int = 0) -> _Effects:
        """Take that a rank has promised a higher term, or the service failed.

        Parameters
        ----------
        now_ms : int
        highest_term : int
            The term that a rank has promised, where that is the cause.
        """
        self._data.highest_term = max(self._data.highest_term, highest_term)
        self._leads = False
        return self._campaign.ended(now_ms)

    def record_read(self, record: TermRecord, version: int, now_ms: int) -> _Effects:
        """Take the group's record."""
        if self._data.wanted is None:
            return self._campaign.record_read(record, version)
        return self.swap_answered(record == self._data.wanted, now_ms)

    def swap_answered(self, won: bool, now_ms: int) -> _Effects:
        """Take the answer to the swap."""
        self._leads = won
        return self._campaign.won() if won else self._campaign.ended(now_ms)

    def swap_lost(self) -> _Effects:
        """Take that the swap's answer was lost: it may have landed."""
        return self._campaign.answer_lost()
