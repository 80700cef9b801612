"""The context that the components of a gateway host share."""

import attrs

from galenascale.gateway.caller_memory import CallerMemory
from galenascale.gateway.output_limits import MAX_HELD_ANSWER_BYTES, HeldBytes
from galenascale.gateway.weight_versions import WeightVersions


@attrs.define
class GatewayContext:
    """State and services of one gateway host, passed to its components."""

    settings: object
    dialect: object
    clock: object
    rng: object
    log: object
    metrics: object
    configuration: object
    configuration_proof: object
    servers: object
    load: object
    slot_shares: object
    health: object
    pool: object
    ownership: object = None
    reachability: object = None
    # WeightVersions of the servers.
    versions: WeightVersions = attrs.field(factory=WeightVersions)
    # ServerLimits: request rates that backend servers name.
    limits: object = None
    admission: object = None
    crashes: object = None
    # Prompt parts that may crash servers.
    suspects: object = None
    # DelayedCall that decides about them.
    decision: object = None
    # Blocks of parts in the store.
    block_records: object = None
    # Runs whose answers have not begun, by prompt part.
    unanswered: object = None
    # Tells the other hosts of news at once.
    announcer: object = None
    peers: object = None
    store: object = None
    # Access to the job topics, through a peer if the store is unreachable.
    job_store: object = None
    # JobMemory of the jobs that the host knows.
    job_memory: object = None
    quotas: object = None
    slots: object = None
    # HeldBytes of the answers that are buffered.
    held_answers: object = attrs.field(factory=lambda: HeldBytes(MAX_HELD_ANSWER_BYTES))
    # Memory for the bodies of callers' requests.
    caller_memory: CallerMemory = attrs.Factory(
        lambda context: CallerMemory.from_config(context.settings), takes_self=True
    )
    # Limits on the request rates of tenants.
    rates: object = None
