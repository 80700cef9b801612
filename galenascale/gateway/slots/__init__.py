"""
Allocation of the slots of backend servers, by one owner host for each pool.

`pool.py` decides who gets the slots of one pool, and `wait_queue.py` orders
the requests that wait for one. `pool_map.py` groups servers into pools and
assigns each pool to a host. `owner.py` serves the other hosts for the pools
that this host owns; `client.py` requests slots for the online requests and
batch items of this host.
"""
