"""What the parts of a gateway share."""

import attrs


@attrs.define
class Parts:
    """State and services of one host that its parts use together."""

    settings: object
    dialect: object
    clock: object
    rng: object
    log: object
    metrics: object
    configuration: object
    servers: object
    load: object
    slot_shares: object
    health: object
    pool: object
    reachability: object = None
    admission: object = None
    crashes: object = None
    peers: object = None
    store: object = None
    # The store for the topics of jobs, through other hosts if need be.
    job_store: object = None
    quotas: object = None
    slots: object = None
