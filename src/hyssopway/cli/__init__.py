"""The command line of operators and teams."""
