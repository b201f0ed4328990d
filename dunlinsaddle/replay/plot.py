"""A line plot of recovery time against goodput, as SVG."""

from typing import NamedTuple

WIDTH, HEIGHT, MARGIN = 640, 400, 60
COLOURS = ('#1b6ca8', '#c0392b', '#2e8b57', '#8e44ad')
MAX_RECOVERY_SECONDS = 30.0  #: an infinite recovery time is drawn at this value


class Curve(NamedTuple):
    """Points (goodput, recovery time in seconds) of one trace, in order of recovery bias."""

    name: str
    points: list[tuple[float, float]]


def plot(curves: list[Curve]) -> str:
    """Return an SVG document with the curves."""
    points = [(g, min(r, MAX_RECOVERY_SECONDS)) for curve in curves for g, r in curve.points]
    low = min((g for g, _ in points), default=0.0) - 0.02
    high = max((g for g, _ in points), default=1.0) + 0.02
    top = max((r for _, r in points), default=1.0) + 0.5

    def to_pixels(goodput: float, recovery: float) -> tuple[float, float]:
        x = MARGIN + (goodput - low) / (high - low) * (WIDTH - 2 * MARGIN)
        y = HEIGHT - MARGIN - min(recovery, MAX_RECOVERY_SECONDS) / top * (HEIGHT - 2 * MARGIN)
        return round(x, 1), round(y, 1)

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<path d="M{MARGIN} {MARGIN}V{HEIGHT - MARGIN}H{WIDTH - MARGIN}" '
        'fill="none" stroke="black"/>',
        f'<text x="{WIDTH / 2}" y="{HEIGHT - 12}" text-anchor="middle">goodput, '
        f'{low:.2f} to {high:.2f} of capacity</text>',
        f'<text x="14" y="{MARGIN - 20}">recovery, 0 to {top:.1f} s; '
        'each point a recovery_bias from 0 to 1</text>',
    ]
    for number, curve in enumerate(curves):
        colour = COLOURS[number % len(COLOURS)]
        coordinates = [to_pixels(*point) for point in curve.points]
        line = ' '.join(f'{x},{y}' for x, y in coordinates)
        parts.append(f'<polyline points="{line}" fill="none" stroke="{colour}"/>')
        parts += [f'<circle cx="{x}" cy="{y}" r="4" fill="{colour}"/>' for x, y in coordinates]
        parts.append(
            f'<text x="{WIDTH - MARGIN}" y="{MARGIN + 16 * number}" text-anchor="end" '
            f'fill="{colour}">{curve.name}</text>'
        )
    return '\n'.join([*parts, '</svg>', ''])
