"""Weighted choice of a model's version for a request."""

import xxhash


def choose_version(request_id, versions):
    """
    Return the name of a request's version, or "" if there are no versions.

    Each version gets a share of the requests in proportion to its weight.
    If no weight is positive, the first version gets all of them. The choice
    depends only on the request id and the declared ModelVersions, so retries
    and other hosts make the same one.
    """
    total = sum(max(0, version.weight) for version in versions)
    if not total:
        return versions[0].name if versions else ""
    point = xxhash.xxh3_64_intdigest(f"version\0{request_id}".encode()) % total
    for version in versions:
        point -= max(0, version.weight)
        if point < 0:
            return version.name
    raise AssertionError("point exceeds the total of the version weights")
