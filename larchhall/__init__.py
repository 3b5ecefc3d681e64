"""The former name of the package: `python -m larchhall` runs the same command line."""
