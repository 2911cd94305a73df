"""Compares choices of an upstream over the model, and writes the result."""

import random
import statistics
import typing as t

import numpy as np

from fuchsiahatch_bench.routing_model import Model, Run
from fuchsiahatch_bench.tables import load_average, make_table, write_result
from fuchsiahatch_routing import choice

SEEDS = (11, 12, 13)
LOADS = (0.5, 0.65, 0.8)
_UNBOUNDED = 1e9

#: How entries judge load: as shipped, and by the late reports alone.
VIEWS: dict[str, dict[str, t.Any]] = {
    "shipped": {},
    "reports only": {"replies_tell": False, "own_weight": 0.0},
}

MakeChoice = t.Callable[[random.Random], choice.Choose]

CHOICES: dict[str, MakeChoice] = {
    "random": choice.at_random,
    "least loaded": choice.least_loaded,
    "better of two": choice.better_of_two,
    "affinity, no bound": lambda rng: choice.prefix_affinity(rng, _UNBOUNDED),
    **{
        f"affinity, bound {bound}": lambda rng, bound=bound: choice.prefix_affinity(
            rng, bound
        )
        for bound in (1.1, 1.25, 1.5, 2.0)
    },
}

REPORTS_ONLY_CHOICES = ("least loaded", "better of two", "affinity, bound 1.25")

_PAGE = """# Choice of an upstream

Made by `make bench-routing`; the numbers are in `docs/results/routing.json`.
An in-process experiment over the shipped choices, not processes: {upstreams}
upstreams with {limit} places and a cache of {cached_prefixes} prefixes each,
{prefixes} prefixes by a power law of exponent {skew}, {entries} entries that
hear of load once in {report_ms:.0f} ms. A request takes {decode_ms:.0f} ms and
{hit_ms:.0f} ms more with its prefix cached, {miss_ms:.0f} ms without. Load is
the request rate as a part of what all could serve with every prefix cached.
"Shipped" judges load by reports, by the load that each answer's end brings and
by the entry's own work; "reports only" by the reports and own work since.
Each figure is the mean over seeds {seeds}; the same arrivals for every choice.

{table}
"""


def main() -> None:
    """Run every choice at every load; write docs/results/routing.json and its page."""
    model = Model()
    rows = [
        {
            "load": load,
            "view": view,
            "choice": name,
            **_measure(Model(load=load, **fields), make),
        }
        for load in LOADS
        for view, fields in VIEWS.items()
        for name, make in CHOICES.items()
        if view == "shipped" or name in REPORTS_ONLY_CHOICES
    ]
    fields = {
        name: getattr(model, name)
        for name in Model.__slots__
        if name not in ("load", "replies_tell", "own_weight")
    }
    result = {
        "name": "routing",
        "kind": "in-process model",
        "seeds": SEEDS,
        "model": fields,
        "load_average": load_average(),
        "rows": rows,
    }
    table = make_table(
        [
            "load",
            "view",
            "choice",
            "hit rate %",
            "p50 ms",
            "p99 ms",
            "p99 to better of two",
        ],
        [_row(row, rows) for row in rows],
    )
    page = _PAGE.format(**fields, seeds=SEEDS, table=table)
    write_result("routing", result, page)
    print(table)


def _measure(model: Model, make: MakeChoice) -> dict[str, float]:
    runs = [Run(model, make(random.Random(seed)), seed).play() for seed in SEEDS]
    by_run = [np.percentile(run.latencies_ms, (50, 99)) for run in runs]
    hit_rates = [100 * run.hits / len(run.latencies_ms) for run in runs]
    return {
        "requests": sum(len(run.latencies_ms) for run in runs),
        "hit_rate_percent": round(statistics.fmean(hit_rates), 2),
        "p50_ms": round(statistics.fmean(p50 for p50, _ in by_run), 1),
        "p99_ms": round(statistics.fmean(p99 for _, p99 in by_run), 1),
    }


def _row(row: dict[str, t.Any], rows: list[dict[str, t.Any]]) -> tuple[t.Any, ...]:
    (base,) = (
        other["p99_ms"]
        for other in rows
        if other["load"] == row["load"]
        and other["choice"] == "better of two"
        and other["view"] == "shipped"
    )
    return (
        row["load"],
        row["view"],
        row["choice"],
        row["hit_rate_percent"],
        row["p50_ms"],
        row["p99_ms"],
        row["p99_ms"] / base,
    )


if __name__ == "__main__":
    main()
