"""`python -m larchhall`, so that operators' scripts of before the rename go on."""

from query_broker.cli.main import main

main(prog_name="larchhall")
