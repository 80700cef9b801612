"""
Randomized soak test of real gateway processes under injected faults.

`python -m test.soak --seeds 50` runs one scenario for each of 50 seeds. The
seed determines the faults, the load and their times. The guarantees of the
gateway are checked against what callers and backend servers observed.
"""
