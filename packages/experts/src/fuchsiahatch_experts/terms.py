"""Winning a term by compare-and-swap in the key-value service."""

import dataclasses
import typing as t

from automat import TypeMachineBuilder


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """Record of a group in the key-value service.

    Attributes
    ----------
    term, epoch : int
        The highest term and group epoch so far; neither ever decreases.
    rank : int
        Rank whose agent won the term; -1 before the first.
    incarnation : str
        Incarnation of that agent.
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
    """Effect: lead the term that was won; ``begin`` says whether the epoch is new."""

    term: int
    epoch: int
    begin: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Effect: stop leading, if this agent leads a term."""


CampaignEffect: t.TypeAlias = ReadTerm | SwapTerm | Lead | Follow
_Effects: t.TypeAlias = list[CampaignEffect]


@dataclasses.dataclass(slots=True)
class _CampaignData:
    """Data of a campaign; ``proposed_record`` is the record that it tries to write."""

    rank: int
    incarnation: str
    last_contact_ms: int
    highest_term: int = 0
    proposed_record: TermRecord | None = None
    new_epoch: bool = False


class _Campaign(t.Protocol):
    """Inputs of the campaign; each returns the effects to execute."""

    def begin(self, new_epoch: bool, now_ms: int) -> _Effects:
        """Start a campaign for a new term."""

    def record_read(self, record: TermRecord, version: int) -> _Effects:
        """Process the group's record."""

    def won(self) -> _Effects:
        """Process that the swap succeeded."""

    def answer_lost(self) -> _Effects:
        """Process that the swap's answer was lost: it may have succeeded."""

    def ended(self, now_ms: int) -> _Effects:
        """Process the end of the campaign or of the term."""


_builder = TypeMachineBuilder(_Campaign, _CampaignData)
_following = _builder.state("following")
_reading = _builder.state("reading")
_swapping = _builder.state("swapping")
_rereading = _builder.state("rereading")
_leading = _builder.state("leading")


@_following.upon(_Campaign.begin).to(_reading)
@_leading.upon(_Campaign.begin).to(_reading)
def _read(
    campaign: _Campaign, data: _CampaignData, new_epoch: bool, now_ms: int
) -> _Effects:
    data.new_epoch = new_epoch
    data.proposed_record = None
    data.last_contact_ms = now_ms
    return [Follow(), ReadTerm()]


@_reading.upon(_Campaign.record_read).to(_swapping)
def _swap(
    campaign: _Campaign, data: _CampaignData, record: TermRecord, version: int
) -> _Effects:
    data.new_epoch |= record.epoch == 0
    # Guards against a service that lost its writes: terms that restart from a lower
    # number would be refused one by one, each after another silence, while steps stop.
    term = max(record.term, data.highest_term) + 1
    data.proposed_record = TermRecord(
        term, record.epoch + data.new_epoch, data.rank, data.incarnation
    )
    return [SwapTerm(data.proposed_record, version)]


# Guards against a successful swap whose answer is lost: the record names this agent, no
# agent leads, and every other rank waits for another silence. Reading the record back
# shows the outcome, as no two swaps write the same record.
@_swapping.upon(_Campaign.answer_lost).to(_rereading)
def _read_back(campaign: _Campaign, data: _CampaignData) -> _Effects:
    return [ReadTerm()]


@_swapping.upon(_Campaign.won).to(_leading)
@_rereading.upon(_Campaign.won).to(_leading)
def _lead(campaign: _Campaign, data: _CampaignData) -> _Effects:
    assert data.proposed_record is not None
    return [Lead(data.proposed_record.term, data.proposed_record.epoch, data.new_epoch)]


@_reading.upon(_Campaign.ended).to(_following)
@_swapping.upon(_Campaign.ended).to(_following)
@_rereading.upon(_Campaign.ended).to(_following)
@_leading.upon(_Campaign.ended).to(_following)
def _follow(campaign: _Campaign, data: _CampaignData, now_ms: int) -> _Effects:
    data.last_contact_ms = now_ms
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
        Rank and incarnation of the campaigning agent.
    silence_ms : int
        Time without contact to a leader after which the agent campaigns. It differs
        between ranks, so that two ranks seldom race.
    now_ms : int
        When the agent starts to wait for a leader.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_campaign", "_data", "_is_leader", "_silence_ms")

    def __init__(
        self, rank: int, incarnation: str, silence_ms: int, now_ms: int
    ) -> None:
        self._data = _CampaignData(rank, incarnation, now_ms)
        self._campaign = _make_campaign(self._data)
        self._silence_ms = silence_ms
        self._is_leader = False

    def tick(self, now_ms: int) -> _Effects:
        """Campaign if the leader has been silent for too long."""
        if self._is_leader or now_ms - self._data.last_contact_ms < self._silence_ms:
            return []
        return self._campaign.begin(False, now_ms)

    def note_leader_contact(self, now_ms: int) -> None:
        """Record a leader's request whose term the local rank did not refuse.

        Notes
        -----
        A request that is refused for any other reason counts too. A leader that waits
        a minute for weights receives only refusals. If it counted as silent, the agents
        would replace each other as leader until the weights are loaded.
        """
        self._data.last_contact_ms = now_ms

    def take_term(self, new_epoch: bool, now_ms: int) -> _Effects:
        """Campaign for a new term, as the current one can't continue."""
        self._is_leader = False
        return self._campaign.begin(new_epoch, now_ms)

    def step_down(self, now_ms: int, highest_term: int = 0) -> _Effects:
        """Stop, as a rank has promised a higher term or the service failed.

        Parameters
        ----------
        now_ms : int
        highest_term : int
            The term that a rank has promised, if that is the reason.
        """
        self._data.highest_term = max(self._data.highest_term, highest_term)
        self._is_leader = False
        return self._campaign.ended(now_ms)

    def record_read(self, record: TermRecord, version: int, now_ms: int) -> _Effects:
        """Process the group's record."""
        if self._data.proposed_record is None:
            return self._campaign.record_read(record, version)
        return self.swap_answered(record == self._data.proposed_record, now_ms)

    def swap_answered(self, won: bool, now_ms: int) -> _Effects:
        """Process the answer to the swap."""
        self._is_leader = won
        return self._campaign.won() if won else self._campaign.ended(now_ms)

    def swap_lost(self) -> _Effects:
        """Process that the swap's answer was lost: it may have succeeded."""
        return self._campaign.answer_lost()
