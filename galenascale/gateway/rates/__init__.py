"""Limits on the request rates of tenants, over all hosts together.

Each failure domain has a share of a tenant's rate and burst, kept by one host
of the domain, the owner. Hosts ask it before they run a request. An owner that
runs out of tokens borrows from the owners in the other domains. A domain that
is cut off keeps its own share, so the sum holds in every partition.
"""
