#!/bin/sh
# Builds what the scripts of review/4 and later start besides the program of the deploy file. Their
# stand-ins (review/standins_2.py) need Python 3.11 or later and its standard library only, so nothing is built.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
