"""Prints the table rows of `docs/events.md`: ``python -m hyssopway.event``."""

from __future__ import annotations

from .catalogue import Event

for event in sorted(Event, key=lambda item: item.number):
    print(f"| {event.number} | {event.level} | {event.name} | {event.template} |")  # noqa: T201
