"""Writes docs/CHARTS.md from the chart files.

Run ``python -m godwitloft.charts.tables > docs/CHARTS.md`` after changing
a chart; a feature checks that the page matches the files.
"""

import sys
import typing

from godwitloft import charts

NAMES = ("member", "request", "run")

HEAD = """# State charts

Generated from `godwitloft/charts/*.json`; don't edit by hand, run
`python -m godwitloft.charts.tables > docs/CHARTS.md`.

The code feeds inputs to positions on these charts. An input without a
transition in the current state raises an error that names the chart, the
state and the input; the state doesn't change.
"""


def page() -> str:
    """Returns the page.

    :return: Markdown text
    """
    return "\n".join([HEAD, *(section(charts.load(name)) for name in NAMES)])


def section(chart: charts.Chart) -> str:
    """Returns the section of one chart.

    :param chart: the chart
    :return: Markdown text with a table of states and one of inputs
    """
    definition = chart.definition
    lines = [f"## {definition.name}", "", definition.doc, ""]
    lines += ["| state | meaning | input -> next state |", "|---|---|---|"]
    for name, state in definition.states.items():
        suffix = " (initial)" if name == definition.initial else ""
        transitions = ", ".join(
            f"{input_name} -> {target}"
            for input_name, target in state.on.items()
        )
        lines.append(
            f"| {name}{suffix} | {state.doc} | {transitions or 'final'} |"
        )
    lines += ["", "| input | meaning |", "|---|---|"]
    lines += [
        f"| {input_name} | {doc} |"
        for input_name, doc in definition.inputs.items()
    ]
    return "\n".join([*lines, ""])


def main(out: typing.TextIO) -> None:
    """Writes the page.

    :param out: stream to write to
    """
    out.write(page())


if __name__ == "__main__":
    main(sys.stdout)
