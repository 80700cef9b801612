"""A faulty log, its reference fold and a clock that never waits."""

import attrs
from thrift.Thrift import TType

from galenascale import codec
from galenascale.clock import FakeClock
from galenascale.config_snapshots import Assembler, parts_of
from galenascale.errors import DecodeError
from galenascale.generated.messages import (
    ConfigChange,
    ConfigEntry,
    LogBatch,
    LogRecord,
    RecordKind,
)
from galenascale.standins.log_store import LogStore
from galenascale.store import (
    OffsetRange,
    ReadResult,
    StoreOutcomeUnknown,
    StoreUnavailable,
)


@attrs.define
class NewerChange(ConfigChange):
    """ConfigChange of a release with one more field."""

    ticket: str = ""


NewerChange.thrift_spec = (
    *ConfigChange.thrift_spec,
    (8, TType.STRING, "ticket", "UTF8", None),
)


class StepClock(FakeClock):
    """A clock on which every sleep ends at once and takes its time."""

    async def sleep(self, seconds):
        self.now_s += seconds


def entry(name, value=0, deleted=False):
    """Return the entry of a tenant whose JSON holds a value."""
    text = f'{{"kind":"tenant","name":"{name}","max_concurrency":{value}}}'
    return ConfigEntry("tenant", name, "" if deleted else text, deleted)


def change_body(change_id, base, entries, kind=RecordKind.CONFIG_CHANGE, version=1):
    """Return the body of an append that holds one change."""
    change = codec.encode(ConfigChange(change_id, base, entries))
    return codec.encode(LogBatch(records=[LogRecord(change_id, kind, version, change)]))


def newer_body(kind=RecordKind.CONFIG_CHANGE, version=1, batch_version=1, base=-1):
    """Return a change with a field that this release does not know."""
    change = NewerChange("n", base, [entry("t1", 1)], ticket="OPS-1")
    record = LogRecord("n", kind, version, codec.encode(change))
    return codec.encode(LogBatch(batch_version, records=[record]))


class SharedLog:
    """One log for all hosts; `history` also keeps what was trimmed."""

    def __init__(self):
        self.store = LogStore()
        self.history = []
        self.delayed = []

    def append(self, body):
        self.history.append(body)
        return self.store.append("config", body)

    def trim_to(self, offset):
        stream = self.store.streams_by_name["config"]
        stream.trim(offset)

    def snapshot_offset(self):
        """Return the first offset that the newest snapshot lacks, or 0."""
        assembler = Assembler()
        for _, body in self.store.read("config", 0, 10**9, 10**9):
            for part in parts_of(body)[0]:
                assembler.add(part)
        return assembler.complete.through_offset + 1 if assembler.complete else 0


class Link:
    """One host's access to the log, with faults."""

    def __init__(self, log):
        self.log = log
        self.mode = "up"

    async def append(self, _, body):
        if self.mode == "down":
            raise StoreUnavailable("down")
        if self.mode == "delay":
            self.log.delayed.append(body)
            raise StoreOutcomeUnknown("delayed")
        offset = self.log.append(body)
        if self.mode == "twice":
            self.log.append(body)
        if self.mode == "lost":
            raise StoreOutcomeUnknown("lost")
        return offset

    async def read(self, name, offset, limit=3):
        if self.mode in ("down", "reads down"):
            raise StoreUnavailable("down")
        first, end = self.log.store.bounds(name)
        if self.mode == "stale":
            end = max(first, end - 2)
        records = self.log.store.read(name, offset, limit)
        return ReadResult([item for item in records if item[0] < end], first, end)

    async def bounds(self, name):
        return OffsetRange(*self.log.store.bounds(name))


def reference(history):
    """Return (version, JSON by key, winners by id) after each append."""
    version, entries, winners, seen, steps = -1, {}, {}, set(), []
    for offset, body in enumerate(history):
        try:
            records = codec.decode(LogBatch, body).records
        except DecodeError:
            records = []
        for record in records:
            if record.kind != RecordKind.CONFIG_CHANGE or record.schema_version > 1:
                continue
            change = codec.decode(ConfigChange, record.body)
            if change.change_id in seen:
                continue
            seen.add(change.change_id)
            if change.base_version == version:
                version = offset
                winners = winners | {change.change_id: offset}
                entries = entries | {(e.kind, e.name): e.json for e in change.entries}
        steps.append((version, entries, winners))
    return steps
