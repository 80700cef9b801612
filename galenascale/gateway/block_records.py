"""Keeps the blocks of prompt parts in the store.

Hosts tell each other of blocks in their statuses. The records serve hosts that
hear of no other host, as all have started anew or the network is partitioned.
"""

import asyncio

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway import suspect_exchange
from galenascale.gateway.suspect_parts import BLOCK_TTL_S, Block
from galenascale.generated.gateway_messages import BlockRecord
from galenascale.store import STORE_ERRORS, PartitionTrimmed

BLOCKS_TOPIC = "keyed.part_blocks"
# Key of a record without a value, with which a host creates the topic. Reads
# of a topic that does not exist return at once, so they cannot follow it.
_CREATION_KEY = "created"
SCHEMA_VERSION = 1
# Seconds that a read may wait for a record.
READ_WAIT_S = 20.0
# Seconds between two reads, as each record ends the reads of all hosts.
READ_INTERVAL_S = 0.2
# Hosts that decide at the same time write after a random delay of up to so
# many seconds: the first record spares the others theirs.
MAX_WRITE_DELAY_S = 0.5
# Seconds after a failed call of the store.
RETRY_DELAY_S = 1.0


class BlockRecords:
    """Writes the decisions of this host and follows those of the others."""

    def __init__(self, context):
        self._context = context
        self._position = None
        self._record_by_key = {}
        # Values to write, None for a record to remove.
        self._unwritten_by_key = {}
        self._has_unwritten = asyncio.Event()

    def save(self, block):
        """Record a Block that this host decided on."""
        record = BlockRecord(
            schema_version=SCHEMA_VERSION,
            part=block.part_key,
            decided_ms=self._wall_ms(block.decided_at),
            evidence_from_ms=self._wall_ms(block.evidence_from),
        )
        for key, known in self._record_by_key.items():
            if self._is_expired(known):
                self._write_later(key, None)
        self._write_later(str(block.part_key), encode(record))

    def remove(self, part_key):
        """Remove the record of a part that an answer of this host cleared."""
        self._write_later(str(part_key), None)

    def _is_expired(self, record):
        age_ms = self._context.clock.wall_ms() - record.decided_ms
        return age_ms > BLOCK_TTL_S * 1000

    def _write_later(self, key, value):
        self._unwritten_by_key[key] = value
        self._has_unwritten.set()

    async def write(self):
        """Write what this host decides until cancelled."""
        while True:
            await self._has_unwritten.wait()
            delay_s = self._context.rng.uniform(0.0, MAX_WRITE_DELAY_S)
            await self._context.clock.sleep(delay_s)
            try:
                await self._write_all()
            except STORE_ERRORS as error:
                await self._wait_after(error)

    async def _write_all(self):
        while self._unwritten_by_key:
            key, value = next(iter(self._unwritten_by_key.items()))
            if value is None or not self._has_record(key):
                await self._context.store.append_keyed(BLOCKS_TOPIC, key, value)
            # It may have changed meanwhile.
            if self._unwritten_by_key[key] is value:
                del self._unwritten_by_key[key]
        self._has_unwritten.clear()

    def _has_record(self, key):
        """Return True if another host has written a record in force."""
        record = self._record_by_key.get(key)
        return record is not None and not self._is_expired(record)

    async def follow(self):
        """Read what the hosts decide until cancelled."""
        while True:
            try:
                await self._read()
                await self._context.clock.sleep(READ_INTERVAL_S)
            except PartitionTrimmed as error:
                self._position = None
                await self._wait_after(error)
            except (DecodeError, *STORE_ERRORS) as error:
                await self._wait_after(error)

    async def _wait_after(self, error):
        # As a read waits long, its failure does not show if the store is up.
        self._context.log.write("block_records_failed", "debug", reason=error.message)
        await self._context.clock.sleep(RETRY_DELAY_S)

    async def _read(self):
        if self._position is None:
            await self._read_snapshot()
            return
        result = await self._context.store.read_keyed(
            BLOCKS_TOPIC, self._position, wait_s=READ_WAIT_S
        )
        for record in result.records:
            self._apply(record)
        self._position = result.next_offset

    async def _read_snapshot(self):
        store = self._context.store
        records, end_offset = await store.read_latest(BLOCKS_TOPIC)
        if not end_offset:
            await store.append_keyed(BLOCKS_TOPIC, _CREATION_KEY, None)
        # The store may have deleted the records that removed these.
        for key in self._record_by_key.keys() - {record.key for record in records}:
            self._apply_removal(key)
        for record in records:
            self._apply(record)
        self._position = end_offset

    def _apply_removal(self, key):
        record = self._record_by_key.pop(key, None)
        if record is not None:
            suspect_exchange.apply_removed_block(self._context, record.part)

    def _apply(self, stored):
        context = self._context
        if stored.value is None:
            self._apply_removal(stored.key)
            return
        try:
            record = decode(BlockRecord, stored.value)
        except DecodeError as error:
            context.log.write(
                "block_record_broken", "warning", key=stored.key, reason=error.message
            )
            return
        if record.schema_version > SCHEMA_VERSION:
            return
        self._record_by_key[stored.key] = record
        block = Block(
            record.part,
            self._monotonic(record.decided_ms),
            self._monotonic(record.evidence_from_ms),
        )
        suspect_exchange.apply_stored_block(context, block)

    def _wall_ms(self, at):
        clock = self._context.clock
        return clock.wall_ms() - round((clock.monotonic() - at) * 1000)

    def _monotonic(self, wall_ms):
        clock = self._context.clock
        # The clock of the host that wrote it may be ahead.
        age_s = max(0, clock.wall_ms() - wall_ms) / 1000
        return clock.monotonic() - age_s
