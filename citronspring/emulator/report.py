"""HTML report of runs: a table, and plots of requests in time by second."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from citronspring.emulator.world import TRAFFIC_START

if TYPE_CHECKING:
    from citronspring.emulator.faults import Fault
    from citronspring.emulator.run import Outcome

#: Width and height of a plot in pixels.
WIDTH, HEIGHT = 640, 120

#: Left margin for the axis labels, in pixels.
MARGIN = 40

STYLE = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}"
    "td:last-child,th:last-child{text-align:left}.broken{color:#b00}"
    "polyline{fill:none;stroke:#06c;stroke-width:2}.fault{stroke:#c60}"
    ".axis{stroke:#999}text{font:11px sans-serif}"
)


def render_report(outcomes: list[Outcome]) -> str:
    """Return the report as HTML."""
    rows = "\n".join(table_row(outcome) for outcome in outcomes)
    plots = "\n".join(plot(outcome) for outcome in outcomes)
    return (
        f"<!doctype html><meta charset=utf-8><title>Runs</title><style>{STYLE}</style>"
        "<h1>Runs of the emulator</h1><table><tr><th>seed<th>requests<th>served"
        f"<th>in time<th>busiest / mean<th>calls<th>faults</tr>{rows}</table>{plots}\n"
    )


def table_row(outcome: Outcome) -> str:
    """Return the table row of a run."""
    broken = "".join(f"<br>{escape(text)}" for text in outcome.violations)
    return (
        f"<tr><td>{outcome.seed}<td>{outcome.requests}<td>{outcome.served}"
        f"<td>{outcome.in_time}<td>{outcome.imbalance:.2f}<td>{outcome.store_calls}"
        f"<td>{escape(outcome.faults_text)}<span class=broken>{broken}</span></tr>"
    )


def plot(outcome: Outcome) -> str:
    """Return the plot of a run: the share of requests in time, and its faults."""
    seconds = [pair for pair in outcome.seconds if pair[0]]
    step = (WIDTH - MARGIN) / max(len(seconds) - 1, 1)
    points = " ".join(
        f"{MARGIN + index * step:.1f},{HEIGHT - 10 - (HEIGHT - 30) * good / asked:.1f}"
        for index, (asked, good) in enumerate(seconds)
    )
    faults = "".join(fault_mark(fault, step) for fault in outcome.faults)
    return (
        f"<h2>seed {outcome.seed}</h2><svg width={WIDTH} height={HEIGHT}>"
        f"<text x=0 y=24>100%</text><text x=0 y={HEIGHT - 8}>0%</text>"
        f"<line class=axis x1={MARGIN} x2={WIDTH} y1={HEIGHT - 10} y2={HEIGHT - 10} />"
        f'{faults}<polyline points="{points}" /></svg>'
    )


def fault_mark(fault: Fault, step: float) -> str:
    """Return the marker of a fault on a plot."""
    x = MARGIN + (fault.at - TRAFFIC_START) * step
    return (
        f"<line class=fault x1={x:.1f} x2={x:.1f} y1=12 y2={HEIGHT - 10} />"
        f"<text x={x + 3:.1f} y=12>{escape(fault.kind)}</text>"
    )
