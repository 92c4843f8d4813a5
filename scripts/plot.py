#!/usr/bin/env python3
"""Draws the results of the experiment, JSON lines, as SVG bar charts.

Usage: scripts/plot.py RESULTS.jsonl OUTPUT_FOLDER
"""
import json
import math
import os
import sys

COLORS = {
    "random": "#bbbbbb", "round-robin": "#8c8c8c",
    "least-outstanding": "#7aa6c2", "least-reported": "#4d7f9e",
    "two-choices": "#9a86b8", "hyssopford": "#d1603d", "oracle": "#5b8c5a",
}
WIDTH, HEIGHT, LEFT, BOTTOM, TOP = 960, 360, 60, 60, 50


def bar_chart(title, groups, unit):
    """Returns the SVG text of grouped bars on a logarithmic axis."""
    values = [v for _, bars in groups for v in bars.values() if v > 0]
    low = 10 ** math.floor(math.log10(min(values)))
    high = max(values) * 1.1
    span = math.log(high / low)
    plot_height = HEIGHT - BOTTOM - TOP

    def y_of(value):
        return TOP + plot_height * (1 - math.log(max(value, low) / low) / span)

    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{HEIGHT}" font-family="sans-serif" font-size="11">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
           f'<text x="{LEFT}" y="18" font-size="14">{title}</text>']
    tick = low
    while tick <= high:
        for factor in (1, 2, 5):
            if tick * factor <= high:
                y = y_of(tick * factor)
                out.append(f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{y:.1f}" '
                           f'y2="{y:.1f}" stroke="#e4e4e4"/>')
                out.append(f'<text x="{LEFT - 5}" y="{y + 4:.1f}" '
                           f'text-anchor="end">{tick * factor:g} {unit}</text>')
        tick *= 10
    slot = (WIDTH - LEFT - 10) / len(groups)
    for index, (name, bars) in enumerate(groups):
        width = slot * 0.85 / len(bars)
        x = LEFT + index * slot + slot * 0.07
        for policy, value in bars.items():
            y = y_of(value)
            out.append(f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" '
                       f'height="{HEIGHT - BOTTOM - y:.1f}" '
                       f'fill="{COLORS.get(policy, "#333333")}">'
                       f'<title>{policy}: {value:.1f} {unit}</title></rect>')
            x += width
        out.append(f'<text x="{LEFT + (index + 0.5) * slot:.1f}" '
                   f'y="{HEIGHT - BOTTOM + 16}" text-anchor="middle" '
                   f'font-size="9">{name}</text>')
    x = LEFT
    for policy in groups[0][1]:
        out.append(f'<rect x="{x}" y="{HEIGHT - 24}" width="10" height="10" '
                   f'fill="{COLORS.get(policy, "#333333")}"/>')
        out.append(f'<text x="{x + 14}" y="{HEIGHT - 15}">{policy}</text>')
        x += 125
    out.append("</svg>")
    return "\n".join(out) + "\n"


def main():
    with open(sys.argv[1], encoding="utf-8") as source:
        rows = [json.loads(line) for line in source]
    os.makedirs(sys.argv[2], exist_ok=True)
    for site in sorted({row["deployment"] for row in rows}):
        for load in (70, 85, 120):
            groups = {}
            for row in rows:
                if row["deployment"] == site and row["load"] == load:
                    bars = groups.setdefault(row["condition"], {})
                    bars[row["policy"]] = row["p999_ms"]
            if not groups:
                continue
            title = f"Deployment {site}, {load} % of capacity: p99.9"
            path = os.path.join(sys.argv[2], f"p999-{site.lower()}-{load}.svg")
            with open(path, "w", encoding="utf-8") as target:
                target.write(bar_chart(title, list(groups.items()), "ms"))


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    main()
