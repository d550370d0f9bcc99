"""Whole sessions compared with golden files."""
