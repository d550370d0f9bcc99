"""The `hyssopway` command line for operators and teams."""
