"""Randomized soak test of the platform programs, run as processes with injected faults."""
