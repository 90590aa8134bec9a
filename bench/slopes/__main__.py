"""Run the experiments and write ``slopes.md`` and ``slopes.png``.

Run ``python -m bench.slopes [--only=peers] [--directory=bench/results]``.
"""

from pathlib import Path

import fire

from bench.slopes._experiments import experiments
from bench.slopes._projection import projection_markdown
from bench.slopes._report import ExperimentResult, markdown, plot


def main(only: str = "", directory: str = "bench/results") -> None:
    """Run the experiments, or one of them, and write the report.

    Parameters
    ----------
    only : str
        The name of the experiment to run; all if empty.
    directory : str
        The directory of the written files.
    """
    results = []
    for name, experiment in experiments().items():
        if only in ("", name):
            print(f"measuring: {name}", flush=True)
            results.append(ExperimentResult(name, list(experiment())))
    text = markdown(results) + projection_markdown(results)
    print(text)
    target = Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    suffix = f"-{only.replace(' ', '-')}" if only else ""
    (target / f"slopes{suffix}.md").write_text(text)
    plot(results, target / f"slopes{suffix}.png")


if __name__ == "__main__":
    fire.Fire(main)
