"""Tests with crowds of clients that do not behave, sent to the programs of `platform/`."""
