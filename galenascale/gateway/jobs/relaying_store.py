"""Store calls for jobs that fall back to relaying through another host."""

import aiohttp
from aiohttp import web

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.http_bodies import read_limited_body
from galenascale.gateway.jobs.partitions import JOBS_TOPIC, QUOTAS_TOPIC
from galenascale.gateway.jobs.pieces import BODIES_TOPIC
from galenascale.gateway.sockets import peer_url
from galenascale.gateway.store_sizes import MAX_READ_BYTES, READ_KB
from galenascale.generated.gateway_messages import (
    StoreAnswer,
    StoreCall,
    StoreOutcome,
)
from galenascale.store import (
    PartitionTrimmed,
    ReadResult,
    StoreFenced,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreUnavailable,
)

STORE_CALL_PATH = "/store"
# Topics for which hosts relay calls.
_TOPICS = frozenset((JOBS_TOPIC, BODIES_TOPIC, QUOTAS_TOPIC))
# Timeout in seconds of a relayed call, in addition to the wait of a read: the
# longest store call of the relaying host plus the delay between the hosts.
ANSWER_TIMEOUT_S = 2.5
CONNECT_TIMEOUT_S = 0.5


class RelayingStore:
    """
    Store client for the topics of jobs, with a fallback through other hosts.

    While the store does not answer this host, calls are relayed through a host
    that it does answer. Methods raise the errors of the store's client.
    """

    def __init__(self, context, store_status, session):
        self._context = context
        self._store_status = store_status
        self._session = session

    async def append(self, topic, partition, records, *, expected_offset=None):
        """
        Append records atomically and return the offset of the first.

        The append fails if that offset differs from `expected_offset`.
        """
        call = StoreCall(
            topic=topic,
            partition=partition,
            records=list(records),
            append_at=-1 if expected_offset is None else expected_offset,
        )
        answer = await self._call(call)
        return answer.offset

    async def read(self, topic, partition, offset, *, wait_s=0.0, max_kb=READ_KB):
        """
        Return the ReadResult with the records from an offset on.

        Wait up to `wait_s` seconds for a new record; read up to `max_kb` KB.
        """
        call = StoreCall(
            topic=topic,
            partition=partition,
            read_from=offset,
            wait_ms=int(wait_s * 1000),
            max_kb=max_kb,
        )
        answer = await self._call(call)
        return ReadResult(
            list(enumerate(answer.records, offset)),
            answer.first_offset,
            answer.next_offset,
        )

    async def _call(self, call):
        """Return the StoreAnswer of a call; raise the error if it failed."""
        answer = None
        if self._store_status.is_up is not False:
            answer = await self._call_directly(call)
        if answer is None or answer.outcome == StoreOutcome.NOT_DONE:
            peer = self._relay_peer()
            if peer is not None:
                answer = await self._relay(peer, call)
            elif answer is None:
                answer = await self._call_directly(call)
        _raise_failure(answer)
        return answer

    async def _call_directly(self, call):
        answer = await call_store(self._context.store, call)
        if answer.outcome in (StoreOutcome.NOT_DONE, StoreOutcome.UNKNOWN):
            self._store_status.record_failure(answer.reason)
        else:
            self._store_status.record_answer()
        return answer

    def _relay_peer(self):
        """Return a live host that the store answers, or None."""
        context = self._context
        peers = [
            peer
            for peer in context.peers.alive(context.clock.monotonic())
            if peer.store_up and not peer.leaving
        ]
        return context.rng.choice(peers) if peers else None

    async def _relay(self, peer, call):
        """Return the StoreAnswer of a call relayed through another host."""
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S + call.wait_ms / 1000,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        url = peer_url(
            peer.address, self._context.settings.peer_listen, STORE_CALL_PATH
        )
        try:
            async with self._session.post(
                url, data=encode(call), timeout=timeout
            ) as response:
                if response.status == 200:
                    body = await read_limited_body(response, MAX_READ_BYTES)
                    answer = decode(StoreAnswer, body)
                else:
                    answer = _not_done(
                        f"relaying host answered with status {response.status}"
                    )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            answer = _not_done(f"relaying host cannot be reached: {error!r}")
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            outcome = StoreOutcome.UNKNOWN if call.records else StoreOutcome.NOT_DONE
            answer = StoreAnswer(
                outcome=int(outcome), reason=f"relaying host did not answer: {error!r}"
            )
        self._log(peer, call, answer)
        return answer

    def _log(self, peer, call, answer):
        self._context.metrics.store_calls.labels("relayed").inc()
        done = answer.outcome == StoreOutcome.DONE
        if call.records or not done:
            self._context.log.write(
                "store_call_relayed",
                "info" if done else "warning",
                peer=peer.host_id,
                topic=call.topic,
                partition=call.partition,
                appended=len(call.records),
                outcome=StoreOutcome(answer.outcome).name.lower(),
                reason=answer.reason,
            )


async def answer_store_call(store, body):
    """
    Execute a call relayed by another host; it is not relayed further.

    `body` is that of the call, of at most MAX_CALL_BYTES.
    """
    try:
        call = decode(StoreCall, body)
    except DecodeError as error:
        return web.Response(status=400, text=error.message)
    if call.topic not in _TOPICS:
        return web.Response(status=400, text="topic does not belong to jobs")
    return web.Response(body=encode(await call_store(store, call)))


async def call_store(store, call):
    """Execute a call with the store's client and return the StoreAnswer."""
    try:
        if call.records:
            expected_offset = None if call.append_at < 0 else call.append_at
            offset = await store.append(
                call.topic,
                call.partition,
                call.records,
                expected_offset=expected_offset,
            )
            return StoreAnswer(outcome=int(StoreOutcome.DONE), offset=offset)
        result = await store.read(
            call.topic,
            call.partition,
            call.read_from,
            wait_s=call.wait_ms / 1000,
            max_kb=call.max_kb,
        )
    except StoreRefused as error:
        return StoreAnswer(outcome=int(StoreOutcome.REFUSED), reason=str(error))
    except StoreUnavailable as error:
        return _not_done(str(error))
    except StoreOutcomeUnknown as error:
        return StoreAnswer(outcome=int(StoreOutcome.UNKNOWN), reason=str(error))
    except StoreFenced as error:
        return StoreAnswer(outcome=int(StoreOutcome.OVERTAKEN), reason=str(error))
    except PartitionTrimmed as error:
        return StoreAnswer(
            outcome=int(StoreOutcome.TRIMMED), first_offset=error.first_kept_offset
        )
    return StoreAnswer(
        outcome=int(StoreOutcome.DONE),
        records=[body for _, body in result.records],
        first_offset=result.first_offset,
        next_offset=result.next_offset,
    )


def _not_done(reason):
    return StoreAnswer(outcome=int(StoreOutcome.NOT_DONE), reason=reason)


def _raise_failure(answer):
    """Raise the error that an answer reports, if any."""
    if answer.outcome == StoreOutcome.DONE:
        return
    if answer.outcome == StoreOutcome.TRIMMED:
        raise PartitionTrimmed(answer.first_offset)
    error_type = {
        StoreOutcome.NOT_DONE: StoreUnavailable,
        StoreOutcome.OVERTAKEN: StoreFenced,
        StoreOutcome.REFUSED: StoreRefused,
    }.get(answer.outcome, StoreOutcomeUnknown)
    raise error_type(answer.reason, step="store")
