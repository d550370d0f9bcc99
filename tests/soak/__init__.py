"""Randomized soak of the real programs on the platform's protocol, with faults from outside."""
