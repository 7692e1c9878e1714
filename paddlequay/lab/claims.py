"""The results of an experiment: figures, assertions on them, and their files (JSON, CSV and a chart)."""

import csv
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Claim:
    """An assertion on a figure.

    Attributes:
        name: The name of the figure.
        figure: The measured value.
        relation: How the value must compare with the bound: `<=`, `>=` or `==`.
        bound: The bound.
    """

    name: str
    figure: float
    relation: str
    bound: float

    @property
    def holds(self) -> bool:
        """Returns whether the figure meets its bound."""
        match self.relation:
            case "<=":
                return self.figure <= self.bound
            case ">=":
                return self.figure >= self.bound
            case _:
                return self.figure == self.bound

    def data(self) -> dict[str, Any]:
        """Returns the assertion as a JSON object."""
        bound = f"{self.relation} {self.bound:g}"
        return {"name": self.name, "figure": self.figure, "bound": bound, "kept": self.holds}


@dataclass(slots=True)
class Results:
    """The results of one experiment.

    Attributes:
        name: The name of the experiment.
        claims: The assertions on its figures.
        figures: Further figures, which are printed and saved.
        rows: One table, saved as CSV.
        x: The title of the chart's x axis.
        y: The title of its y axis.
        lines: The lines of the chart by name, as pairs of x and y.
        logarithmic: Whether both axes are logarithmic.
    """

    name: str
    claims: list[Claim] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    rows: list[Mapping[str, Any]] = field(default_factory=list)
    x: str = ""
    y: str = ""
    lines: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    logarithmic: bool = False

    def claim(self, name: str, figure: float, relation: str, bound: float) -> None:
        """Adds an assertion; the figure is rounded to six decimal places."""
        self.claims.append(Claim(name, round(float(figure), 6), relation, bound))

    @property
    def all_hold(self) -> bool:
        """Returns whether there are assertions and all of them hold."""
        return bool(self.claims) and all(claim.holds for claim in self.claims)

    def text(self) -> str:
        """Returns the figures and assertions as a table for the terminal."""
        lines = [f"{name:<48} {value}" for name, value in self.figures.items()]
        for claim in self.claims:
            bound = claim.data()["bound"]
            verdict = "kept" if claim.holds else "NOT KEPT"
            lines.append(f"{claim.name:<48} {claim.figure:<12g} {bound:<10} {verdict}")
        return "\n".join(lines)

    def write(self, folder: Path) -> None:
        """Writes the assertions and figures as JSON, the rows as CSV and the chart as PNG.

        Raises:
            OSError: A file could not be written.
        """
        folder.mkdir(parents=True, exist_ok=True)
        data = {
            "experiment": self.name,
            "claims": [claim.data() for claim in self.claims],
            "figures": self.figures,
        }
        (folder / f"{self.name}.json").write_text(json.dumps(data, indent=1, default=str) + "\n")
        names: Sequence[str] = list(dict.fromkeys(name for row in self.rows for name in row))
        with open(folder / f"{self.name}.csv", "w", newline="") as file:
            writer = csv.DictWriter(file, names)
            writer.writeheader()
            writer.writerows(self.rows)
        self.draw(folder / f"{self.name}.png")

    def draw(self, path: Path) -> None:
        """Draws the chart into a PNG file."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        for name, points in self.lines.items():
            axes.plot([x for x, _ in points], [y for _, y in points], marker="o", markersize=3, label=name)
        if self.logarithmic:
            axes.set_xscale("log")
            axes.set_yscale("log")
        axes.set_xlabel(self.x)
        axes.set_ylabel(self.y)
        axes.set_title(self.name)
        if self.lines:
            axes.legend()
        axes.grid(alpha=0.3)
        figure.tight_layout()
        figure.savefig(path, dpi=110)
        pyplot.close(figure)


@dataclass(frozen=True, slots=True)
class Setup:
    """How to run an experiment.

    Attributes:
        quick: Whether to run a shortened version.
        seed: The seed of all random draws.
        folder: The folder for files of the run.
        say: Reports a line of progress.
    """

    quick: bool
    seed: int
    folder: Path
    say: Callable[[str], None]


Experiment = Callable[[Setup], Results]
