"""Text exposition of metrics, one value per line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .metrics import Metrics

PREFIX = "hyssopway_"


def format_metrics(metrics: Metrics, *, gauges: dict[str, float]) -> str:
    """Formats counters, latency percentiles in milliseconds, and gauges.

    Args:
        metrics: Counters and latencies of the process.
        gauges: Current values by name.
    """
    summary = metrics.summarise()
    lines = [f"{PREFIX}{name}_total {value}" for name, value in summary["counters"].items()]
    for name, values in summary["latencies_ms"].items():
        for statistic, value in values.items():
            if statistic == "count":
                lines.append(f"{PREFIX}{name}_ms_count {value}")
            else:
                lines.append(f'{PREFIX}{name}_ms{{quantile="{statistic}"}} {value:g}')
    lines += [f"{PREFIX}{name} {value:g}" for name, value in sorted(gauges.items())]
    return "\n".join(lines) + "\n"


__all__ = ["format_metrics"]
