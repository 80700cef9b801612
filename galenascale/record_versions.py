"""The schema version that records are written with during a rollout.

A newer version is written only while every live host reads it, because hosts
that do not know a version keep its records without acting on them.
"""

from galenascale import codec

# Every release reads this version.
OLDEST_VERSION = 1
ENCODERS_BY_VERSION = {OLDEST_VERSION: codec.encode}


def choose_write_version(encoders_by_version, min_read_version):
    """
    Return the newest version that can be written and that all hosts read.

    `min_read_version` is the lowest HostInfo.reads_version among the live
    hosts, or None while the membership is not known.
    """
    limit = OLDEST_VERSION if min_read_version is None else min_read_version
    return max(
        (version for version in encoders_by_version if version <= limit),
        default=OLDEST_VERSION,
    )
