"""Bench of rebalancing policies: tune them, then compare them on other seeds."""

import dataclasses
import json
import pathlib
import time
import typing as t

import fire
import numpy as np

from fuchsiahatch_bench.experts_families import FAMILIES, Family
from fuchsiahatch_bench.experts_report import draw_plot, print_tables
from fuchsiahatch_bench.experts_runs import (
    DECIDE_INTERVALS,
    HALF_LIFE_MS,
    STEP,
    STORE,
    Run,
    Size,
    best_in_hindsight,
    run_policy,
)
from fuchsiahatch_bench.workloads import (
    EXPERTS,
    INTERVAL_MS,
    LAYERS,
    STEPS_PER_INTERVAL,
    Workload,
    booking_rushes,
    moving_fronts,
)
from fuchsiahatch_experts.costs import (
    GERAK_BERSAMA,
    GERALDTON,
    CostWeights,
    find_prices,
    total_cost_ms,
)

#: No seed is in both; a policy's parameters come from the first alone.
TUNING_SEEDS = range(1_000, 1_004)
REPORTING_SEEDS = range(1, 21)
#: Reporting seeds that the sensitivity to the weights is shown on.
SENSITIVITY_SEEDS = range(1, 9)
SENSITIVITY_RATIOS = (16.0, 4.0, 1.0, 0.25, 0.0625)

RESULTS = pathlib.Path("docs/results/experts.json")
TUNED = pathlib.Path("docs/results/experts_tuning.json")
TABLES = pathlib.Path("docs/measurements/experts.md")
PLOT = pathlib.Path("docs/measurements/experts.png")


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One deployment's workload and weights at one size."""

    deployment: str
    make: t.Callable[[int, int], Workload]
    weights: CostWeights
    size: Size

    @property
    def name(self) -> str:
        """Name of the scenario in the results."""
        return f"{self.deployment}, {self.size.ranks} ranks"


SIZES = (Size(ranks=16, slots=5), Size(ranks=64, slots=2))
SCENARIOS = tuple(
    Scenario(deployment, make, weights, size)
    for deployment, make, weights in (
        ("Gerak Bersama", booking_rushes, GERAK_BERSAMA),
        ("Geraldton", moving_fronts, GERALDTON),
    )
    for size in SIZES
)


def tune() -> None:
    """Choose each policy's parameters on the tuning seeds."""
    tuned = {scenario.name: _tune_scenario(scenario) for scenario in SCENARIOS}
    _write(TUNED, {"seeds": list(TUNING_SEEDS), "tuned": tuned})


def run() -> None:
    """Compare the policies on the reporting seeds; write results, tables and plot."""
    started_ms = time.monotonic() * 1_000
    tuned = json.loads(TUNED.read_text("utf-8"))["tuned"]
    scenarios = [_report_scenario(one, tuned[one.name]) for one in SCENARIOS]
    small = [one for one in SCENARIOS if one.size == SIZES[0]]
    results = {
        "setup": _describe_setup(),
        "scenarios": scenarios,
        "sensitivity": [_report_weights(one, tuned[one.name]) for one in small],
        "run_ms": round(time.monotonic() * 1_000 - started_ms),
    }
    _write(RESULTS, results)
    report()


def report() -> None:
    """Print the tables and draw the plot again from the results file."""
    results = json.loads(RESULTS.read_text("utf-8"))
    tables = print_tables(results)
    TABLES.parent.mkdir(parents=True, exist_ok=True)
    TABLES.write_text(tables, "utf-8")
    draw_plot(results, PLOT)
    print(tables)


def _tune_scenario(scenario: Scenario) -> dict[str, t.Any]:
    workloads = [scenario.make(seed, scenario.size.ranks) for seed in TUNING_SEEDS]
    chosen = {}
    for family in FAMILIES:
        combinations = family.combinations()
        costs = [
            np.mean(
                [
                    _cost(
                        scenario.weights, _run(scenario, family, parameters, workload)
                    )
                    for workload in workloads
                ]
            )
            for parameters in combinations
        ]
        best = int(np.argmin(costs))
        chosen[family.name] = combinations[best]
        print(f"{scenario.name}: {family.name} {combinations[best]}", flush=True)
    return chosen


def _report_scenario(scenario: Scenario, tuned: dict[str, t.Any]) -> dict[str, t.Any]:
    runs: dict[str, list[Run]] = {family.name: [] for family in FAMILIES}
    best = []
    prices = find_prices(scenario.weights, STORE)
    for seed in REPORTING_SEEDS:
        workload = scenario.make(seed, scenario.size.ranks)
        for family in FAMILIES:
            done = _run(scenario, family, tuned[family.name], workload)
            runs[family.name].append(done)
        maps = [one for done in runs.values() for one in done[-1].maps]
        best.append(
            best_in_hindsight(
                workload, scenario.size, prices.skew, prices.move_ms, maps
            )
        )
    print(f"{scenario.name}: done", flush=True)
    best_ms = np.array([cost for cost, _, _ in best])
    lost_ms, moved_ms = (
        np.array(column) for column in list(zip(*best, strict=True))[1:]
    )
    return {
        "deployment": scenario.deployment,
        "ranks": scenario.size.ranks,
        "slots": scenario.size.slots,
        "weights": dataclasses.asdict(scenario.weights),
        "seeds": len(REPORTING_SEEDS),
        "best": {
            "cost_s": _spread(best_ms / 1e3),
            "lost_s": _spread(lost_ms / 1e3),
            "moved_s": _spread(moved_ms / 1e3),
        },
        "policies": [
            {"policy": name, "parameters": tuned[name]}
            | _summarise(scenario.weights, done, runs["never"], best_ms)
            for name, done in runs.items()
        ],
    }


def _summarise(
    weights: CostWeights, runs: list[Run], still: list[Run], best_ms: t.Any
) -> dict[str, t.Any]:
    costs = np.array([_cost(weights, done) for done in runs])
    never_costs = np.array([_cost(weights, done) for done in still])
    decide_us = np.concatenate([done.decide_us for done in runs])
    steps = STEPS_PER_INTERVAL * sum(len(done.skews) for done in runs)
    return {
        "cost_s": _spread(costs / 1e3),
        "costs_s": (costs / 1e3).round(1).tolist(),
        "to_best": _spread(costs / best_ms),
        "to_never": _spread(costs / never_costs),
        "skew_p50": _spread([np.percentile(done.skews, 50) for done in runs]),
        "skew_p95": _spread([np.percentile(done.skews, 95) for done in runs]),
        "lost_s": _spread([done.lost_ms / 1e3 for done in runs]),
        "moved_s": _spread([done.moved_ms / 1e3 for done in runs]),
        "moved_gb": _spread([done.moved_bytes / 1e9 for done in runs]),
        "moves": _spread([done.moves for done in runs]),
        "decide_p50_us": round(float(np.percentile(decide_us, 50)), 1),
        "decide_p99_us": round(float(np.percentile(decide_us, 99)), 1),
        "decide_max_us": round(float(decide_us.max()), 1),
        "decide_per_step_us": round(float(decide_us.sum() / steps), 3),
    }


def _report_weights(scenario: Scenario, tuned: dict[str, t.Any]) -> dict[str, t.Any]:
    """Cost of each policy under other weights, parameters as tuned for the own."""
    seeds = SENSITIVITY_SEEDS
    workloads = [scenario.make(seed, scenario.size.ranks) for seed in seeds]
    fixed = {
        family.name: [
            _run(scenario, family, tuned[family.name], workload)
            for workload in workloads
        ]
        for family in FAMILIES
        if not family.uses_prices
    }
    ratios = []
    for ratio in SENSITIVITY_RATIOS:
        weighted = dataclasses.replace(scenario, weights=_weights_of(ratio))
        costs_s = {}
        for family in FAMILIES:
            done = fixed.get(family.name) or [
                _run(weighted, family, tuned[family.name], workload)
                for workload in workloads
            ]
            costs = [_cost(weighted.weights, one) / 1e3 for one in done]
            costs_s[family.name] = round(float(np.mean(costs)), 1)
        ratios.append({"skew_to_move": ratio, "costs_s": costs_s})
    print(f"{scenario.name}: weights done", flush=True)
    return {
        "deployment": scenario.deployment,
        "ranks": scenario.size.ranks,
        "seeds": len(seeds),
        "ratios": ratios,
    }


def _weights_of(ratio: float) -> CostWeights:
    return CostWeights(skew=max(ratio, 1.0), move=max(1.0 / ratio, 1.0))


def _run(
    scenario: Scenario, family: Family, parameters: t.Any, workload: Workload
) -> Run:
    prices = find_prices(scenario.weights, STORE)
    policy = family.make(prices, scenario.size.slots, **parameters)
    return run_policy(workload, scenario.size, policy)


def _cost(weights: CostWeights, done: Run) -> float:
    return total_cost_ms(weights, done.lost_ms, done.moved_ms)


def _spread(values: t.Any) -> dict[str, float]:
    values = np.asarray(values, dtype=float)
    return {
        "mean": round(float(values.mean()), 3),
        "sd": round(float(values.std(ddof=1)), 3),
        "min": round(float(values.min()), 3),
        "max": round(float(values.max()), 3),
    }


def _describe_setup() -> dict[str, t.Any]:
    return {
        "layers": LAYERS,
        "experts": EXPERTS,
        "interval_ms": INTERVAL_MS,
        "decide_every_ms": INTERVAL_MS * DECIDE_INTERVALS,
        "steps_per_interval": STEPS_PER_INTERVAL,
        "half_life_ms": HALF_LIFE_MS,
        "step": dataclasses.asdict(STEP),
        "store": dataclasses.asdict(STORE),
        "tuning_seeds": list(TUNING_SEEDS),
        "reporting_seeds": list(REPORTING_SEEDS),
    }


def _write(path: pathlib.Path, content: t.Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    fire.Fire({"tune": tune, "run": run, "report": report})
