"""The operators' file: a Starlark script that configures what the platform settings do not.

``directives`` defines the functions that a script may call, ``draft`` collects their declarations
and checks them as a whole, ``script`` evaluates a file in a separate process, ``codec`` converts
the result to and from JSON, and ``service`` applies it to a running node.
"""
