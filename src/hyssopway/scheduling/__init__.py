"""Scheduling decisions as plain functions and classes, without input, output, tasks or clocks of their own.

The package depends only on `hyssopway.workflow`; `hyssopway.dispatch` carries the decisions out.
"""
