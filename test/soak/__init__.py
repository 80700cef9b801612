"""
Randomized soak of real gateway processes under faults from outside.

`python -m test.soak --seeds 50` plays seeds; a seed draws the faults, the load
and their times. The promises are checked from what callers and backend servers
see.
"""
