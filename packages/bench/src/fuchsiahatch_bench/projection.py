"""Rows of a capacity table: a projected value beside its budget."""

import dataclasses
import itertools
import typing as t

_BYTE_UNITS = ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A measured line, as the results file has it."""

    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the line's value at a point."""
        return self.intercept + self.slope * x


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """All that was measured.

    Attributes
    ----------
    lines : dict of str to Line
    values : dict of str to float
        Single measured figures.
    message_bytes : dict of str to int
        Encoded sizes.
    """

    lines: t.Mapping[str, Line]
    values: t.Mapping[str, float]
    message_bytes: t.Mapping[str, int]

    def per(self, name: str) -> float:
        """Return the slope of a line: what one more costs."""
        return self.lines[name].slope


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One projected value.

    Attributes
    ----------
    what : str
    value : float
    unit : str
        ``B``, ``B/s`` and so on; bytes are shown with a prefix.
    budget : float or None
        In the same unit; None where none is set.
    basis : str
        What was measured, and how it was carried to this size.
    """

    what: str
    value: float
    unit: str
    budget: float | None
    basis: str

    @property
    def verdict(self) -> str:
        """Return whether the budget is met."""
        if self.budget is None:
            return ""
        return "met" if self.value <= self.budget else "**not met**"


def total(what: str, rows: t.Iterable[Row], budget: float | None) -> Row:
    """Return the sum of rows of one unit.

    Raises
    ------
    ValueError
        When the rows have different units.
    """
    summed = list(rows)
    units = {row.unit for row in summed}
    if len(units) != 1:
        raise ValueError(f"rows of {sorted(units)} can't be summed")
    value = sum(row.value for row in summed)
    return Row(what, value, units.pop(), budget, "sum of the rows above")


def table(rows: t.Iterable[Row]) -> str:
    """Return rows as a Markdown table."""
    head = (
        "| What | At this size | Budget | Verdict | From |\n"
        "| --- | --- | --- | --- | --- |\n"
    )
    return head + "".join(map(_table_line, rows))


def grid(heads: t.Sequence[str], rows: t.Iterable[t.Sequence[str]]) -> str:
    """Return cells as a Markdown table."""
    lines = itertools.chain([heads, ["---"] * len(heads)], rows)
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def shown(value: float, unit: str) -> str:
    """Return a value with three digits, its unit prefixed where it is bytes."""
    if unit.startswith("B"):
        rest = unit.removeprefix("B")
        for factor, name in _BYTE_UNITS:
            if abs(value) >= factor:
                return f"{_digits(value / factor)} {name}{rest}"
    return f"{_digits(value)} {unit}".rstrip()


def _digits(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _table_line(row: Row) -> str:
    budget = "" if row.budget is None else shown(row.budget, row.unit)
    value = shown(row.value, row.unit)
    return f"| {row.what} | {value} | {budget} | {row.verdict} | {row.basis} |\n"
