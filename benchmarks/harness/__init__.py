"""Code that all benchmarks share.

- `arguments`: options of the command lines.
- `results`: measured values, their bounds, and the exit code.
- `statistics`: ratios and counts over samples.
- `trees`: this program and earlier commits of it.
- `daemon`: a broker process that runs one source tree.
- `node`: a broker in the process of the benchmark.
- `request_cost`: the processor time of a request, compared among programs.
- `simulated_load`: settings and requests of simulated brokers.
"""
