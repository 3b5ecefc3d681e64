"""What all benchmarks share.

- `arguments`: options of the command lines.
- `results`: measured values with their bounds, and the exit code.
- `statistics`: ratios and counts over samples.
- `trees`: this program and earlier commits of it.
- `daemon`: the broker of one tree as a process.
- `node`: a broker within the process of the benchmark.
- `request_cost`: the processor time of a request, compared among programs.
- `simulated_load`: settings and requests of simulated brokers.
"""
