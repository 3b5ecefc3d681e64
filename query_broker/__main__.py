"""`python -m query_broker`: the command line."""

from .cli.main import main

main(prog_name="query-broker")
