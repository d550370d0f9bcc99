#!/bin/sh
# The scripts of review/6 to review/10 need only the standard library of Python 3.11 or later: nothing is built.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
