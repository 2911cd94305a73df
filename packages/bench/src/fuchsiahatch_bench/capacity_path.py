"""Capacity of the data path: requests, tokens, open answers."""

import math

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import SIZE
from fuchsiahatch_bench.projection import Row, Slopes, grid, shown, table

#: Part of a loop's time that is planned for; the rest is head-room for bursts.
BUSY_RATIO = 0.6
_TOKENS_PER_WRITE = (1, 2, 4, 8)
_MS_PER_S = 1_000


def nodes_table(slopes: Slopes) -> str:
    """Return how many entry processes the peak takes, by tokens in a frame."""
    heads = (
        "Tokens in a frame",
        "Entry: a token",
        "Busy cores for tokens",
        "for requests",
        f"Entry processes at {BUSY_RATIO:.0%} busy",
        f"in {SIZE.entries}",
        "Agent: a token",
        "Agent: all its tokens",
        "A token waits up to",
    )
    return grid(heads, (_nodes_cells(slopes, size) for size in _TOKENS_PER_WRITE))


def entry_processes(token_ms: float, request_ms: float) -> int:
    """Return how many one-thread entries the peak takes.

    Parameters
    ----------
    token_ms, request_ms : float
        Processor time of one token and of one request at the entry.
    """
    cores = busy_cores(token_ms, SIZE.tokens_per_s)
    cores += busy_cores(request_ms, SIZE.requests_per_s)
    return math.ceil(cores / BUSY_RATIO)


def busy_cores(cost_ms: float, rate_per_s: float) -> float:
    """Return how many cores a rate of things of one cost keeps busy."""
    return cost_ms * rate_per_s / _MS_PER_S


def share_table(slopes: Slopes) -> str:
    """Return the share of one entry and one agent of the peak."""
    open_here = SIZE.open_requests / SIZE.entries
    choice = slopes.lines["choice_ms"]
    return table(
        [
            Row(
                "tokens in an answer, mean",
                SIZE.tokens_per_request,
                "",
                None,
                "arithmetic",
            ),
            Row("answers open at once", SIZE.open_requests, "", None, "arithmetic"),
            Row("open at one entry", open_here, "", None, "arithmetic"),
            Row(
                "memory for them at one entry",
                open_here * slopes.per("entry_open_request_bytes"),
                "B",
                None,
                "`entry_open_request_bytes`",
            ),
            Row(
                "open at one agent",
                SIZE.open_requests / SIZE.upstreams,
                "",
                None,
                "arithmetic",
            ),
            Row(
                "memory for them at one agent",
                SIZE.open_requests
                / SIZE.upstreams
                * slopes.per("agent_open_request_bytes"),
                "B",
                None,
                "`agent_open_request_bytes`",
            ),
            Row(
                "choosing among all upstreams, a request",
                choice.at(SIZE.upstreams),
                "ms",
                None,
                "`choice_ms` by upstreams known",
            ),
            Row(
                f"choosing among a subset of {PLAN.watched}, a request",
                choice.at(PLAN.watched),
                "ms",
                None,
                "`choice_ms`",
            ),
        ]
    )


def _nodes_cells(slopes: Slopes, size: int) -> tuple[str, ...]:
    token_ms = slopes.per(f"entry_token_ms_by_{size}")
    request_ms = slopes.per("entry_request_ms")
    nodes = entry_processes(token_ms, request_ms)
    agent_ms = slopes.per(f"agent_token_ms_by_{size}")
    agent_rate = SIZE.tokens_per_s / SIZE.upstreams
    return (
        str(size),
        shown(token_ms, "ms"),
        shown(busy_cores(token_ms, SIZE.tokens_per_s), ""),
        shown(busy_cores(request_ms, SIZE.requests_per_s), ""),
        str(nodes),
        "met" if nodes <= SIZE.entries else "**not met**",
        shown(agent_ms, "ms"),
        shown(agent_ms * agent_rate, "ms/s"),
        shown((size - 1) * SIZE.token_gap_ms, "ms"),
    )
