"""Straight lines through measured points."""

import dataclasses
import typing as t

import numpy as np

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes
    ----------
    slope, intercept : float
        In the units of the points.
    residual : float
        Largest distance of a point from the line, in the unit of y.
    points : tuple of (float, float)
        What it was fitted to.
    """

    slope: float
    intercept: float
    residual: float
    points: tuple[Point, ...]

    def at(self, x: float) -> float:
        """Return the line's value at a point."""
        return self.intercept + self.slope * x


def fit_line(points: t.Iterable[Point]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    points : iterable of (float, float)
        Two different x at least.

    Raises
    ------
    ValueError
        When the points don't determine a line.
    """
    kept = tuple((float(x), float(y)) for x, y in points)
    x, y = np.array(kept).reshape(-1, 2).T
    if len(set(x)) < 2:
        raise ValueError("a line needs points at two different x")
    design = np.column_stack((x, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(design, y, rcond=None)
    residual = np.abs(y - design @ (slope, intercept)).max()
    return Line(float(slope), float(intercept), float(residual), kept)
