"""Tables and a plot from the results of the bench of rebalancing policies."""

import typing as t

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

if t.TYPE_CHECKING:
    import pathlib

    Results = dict[str, t.Any]

HEAD = """# Rebalancing policies

Printed by `make bench-experts` from `docs/results/experts.json`; do not edit.
What the columns and weights mean is in [the design note](../design/rebalancing.md).
Each figure is a mean over {seeds} reporting seeds, with its standard deviation after
±; parameters were chosen on {tuning} other seeds. Cost is weighted seconds, lower is
better.
Both workloads are synthetic: what holds here for real traffic isn't shown. Decision
times are for two simulated layers on a shared machine.

![Weighted cost of each policy](experts.png)
"""
COLUMNS = (
    "policy",
    "parameters",
    "cost s",
    "to offline best",
    "to never",
    "skew p50",
    "skew p95",
    "moved GB",
    "moved s",
    "moves",
    "decision p50 / p99 / max ms",
    "us a step",
)
PLOT_SIZE_INCHES = (11, 8)
PLOT_DPI = 70


def print_tables(results: "Results") -> str:
    """Return the tables as Markdown."""
    setup = results["setup"]
    seeds, tuning = (len(setup[f"{word}_seeds"]) for word in ("reporting", "tuning"))
    parts = [HEAD.format(seeds=seeds, tuning=tuning)]
    parts += [_print_scenario(one) for one in results["scenarios"]]
    parts += [_print_weights(one) for one in results["sensitivity"]]
    parts.append(f"The run took {results['run_ms'] / 1e3:.0f} s in one process.\n")
    return "\n".join(parts)


def draw_plot(results: "Results", path: "pathlib.Path") -> None:
    """Draw each policy's two kinds of cost, one panel for each scenario."""
    figure, panels = pyplot.subplots(2, 2, figsize=PLOT_SIZE_INCHES)
    for panel, scenario in zip(panels.flat, results["scenarios"], strict=True):
        _draw_scenario(panel, scenario)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)


def _print_scenario(scenario: "Results") -> str:
    weights, best = scenario["weights"], scenario["best"]
    rows = [_print_row(one) for one in scenario["policies"]]
    return "\n".join(
        [
            f"## {scenario['deployment']}, {scenario['ranks']} ranks",
            "",
            f"Weights: {weights['skew']:g} a second lost to skew, {weights['move']:g} "
            f"a second of fetching. Offline best over the set of maps: cost "
            f"{_pair(best['cost_s'], 0)} s ({_pair(best['lost_s'], 0)} s lost, "
            f"{_pair(best['moved_s'], 0)} s fetching).",
            "",
            *_table(COLUMNS, rows),
            "",
            _print_pairs(scenario["policies"]),
            "",
        ]
    )


def _print_row(row: "Results") -> list[str]:
    chosen = ", ".join(f"{name} {value:g}" for name, value in row["parameters"].items())
    decide = (row[f"decide_{word}_us"] / 1e3 for word in ("p50", "p99", "max"))
    return [
        row["policy"],
        chosen or "-",
        _pair(row["cost_s"], 0),
        _pair(row["to_best"], 2),
        _pair(row["to_never"], 2),
        _pair(row["skew_p50"], 2),
        _pair(row["skew_p95"], 2),
        _pair(row["moved_gb"], 1),
        _pair(row["moved_s"], 0),
        _pair(row["moves"], 0),
        " / ".join(f"{value:.2f}" for value in decide),
        f"{row['decide_per_step_us']:.2f}",
    ]


def _print_pairs(rows: "list[Results]") -> str:
    """Say on how many seeds the cheapest policy beats each other one."""
    best = min(rows, key=lambda row: row["cost_s"]["mean"])
    wins = [
        f"{row['policy']} {_count_wins(best, row)}" for row in rows if row is not best
    ]
    return (
        f"Cheapest on average: **{best['policy']}**. Of {len(best['costs_s'])} seeds, "
        f"it is cheaper than another on: {'; '.join(wins)}."
    )


def _count_wins(best: "Results", row: "Results") -> int:
    pairs = zip(best["costs_s"], row["costs_s"], strict=True)
    return sum(ours < theirs for ours, theirs in pairs)


def _print_weights(scenario: "Results") -> str:
    names = list(scenario["ratios"][0]["costs_s"])
    head = [
        "policy",
        *(f"{one['skew_to_move']:g}:1" for one in scenario["ratios"]),
    ]
    cheapest = [min(one["costs_s"].values()) for one in scenario["ratios"]]
    rows = [
        [name]
        + [
            f"{one['costs_s'][name] / lowest:.2f}"
            for one, lowest in zip(scenario["ratios"], cheapest, strict=True)
        ]
        for name in names
    ]
    return "\n".join(
        [
            f"## Other weights: {scenario['deployment']}, {scenario['ranks']} ranks",
            "",
            "Cost over that of the cheapest policy, for ratios of the weight of skew "
            f"to that of fetching; {scenario['seeds']} reporting seeds; parameters as "
            "tuned for the deployment's own ratio.",
            "",
            *_table(head, rows),
            "",
        ]
    )


def _table(head: t.Iterable[str], rows: t.Iterable[t.Sequence[str]]) -> list[str]:
    head = list(head)
    lines = [head, ["---"] * len(head), *rows]
    return [f"| {' | '.join(cells)} |" for cells in lines]


def _pair(spread: "Results", digits: int) -> str:
    return f"{spread['mean']:.{digits}f} ± {spread['sd']:.{digits}f}"


def _draw_scenario(panel: t.Any, scenario: "Results") -> None:
    rows = [*reversed(scenario["policies"])]
    weights = scenario["weights"]
    names = [*(row["policy"] for row in rows), "offline best"]
    shown = [*rows, scenario["best"]]
    lost = [weights["skew"] * row["lost_s"]["mean"] for row in shown]
    moved = [weights["move"] * row["moved_s"]["mean"] for row in shown]
    spread = [row["cost_s"]["sd"] for row in shown]
    panel.barh(names, lost, label="step time lost to skew")
    panel.barh(names, moved, left=lost, xerr=spread, label="fetching weights")
    panel.set_title(f"{scenario['deployment']}, {scenario['ranks']} ranks")
    panel.set_xlabel("weighted seconds")
    panel.tick_params(labelsize=8)
    panel.legend(fontsize=8)
