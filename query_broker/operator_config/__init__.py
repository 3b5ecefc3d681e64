"""The operators' file: a Starlark script that configures what the platform settings do not.

Reading order: ``directives`` defines what a script may call, ``draft`` collects the calls and
checks them as a whole, ``script`` evaluates a file in a process of its own, ``codec`` carries the
result back as JSON, and ``service`` applies it to a running node.
"""
