"""Split of a model's traffic between its versions."""

import xxhash


def choose_version(request_id, versions):
    """
    Return the name of the version for a request, or "" without versions.

    The choice depends only on the request id and the declared ModelVersions,
    so retries and other hosts make the same one.
    """
    total = sum(max(0, version.weight) for version in versions)
    if not total:
        return versions[0].name if versions else ""
    point = xxhash.xxh3_64_intdigest(f"version\0{request_id}".encode()) % total
    for version in versions:
        point -= max(0, version.weight)
        if point < 0:
            return version.name
    raise AssertionError("weights do not add up")
