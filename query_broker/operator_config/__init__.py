"""The operators' own file: a Starlark script that sets what the platform's settings do not.

`words` is the table of its words, `script` evaluates it, in a process of its own and within bounds.
"""
