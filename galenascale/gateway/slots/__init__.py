"""
Slots of the backend servers of a service, granted by one host for each pool.

`pool.py` decides for one pool, `waiting.py` in which order; `pool_map.py` says
which pools there are and whose they are; `owner.py` answers the other hosts
for the pools that this host owns; `client.py` asks on behalf of this host's
requests and items.
"""
