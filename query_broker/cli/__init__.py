"""The command line, with one module for each group of sub-commands."""
