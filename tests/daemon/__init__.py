"""Tests of one daemon process."""
