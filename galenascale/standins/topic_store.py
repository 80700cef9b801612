"""State of the platform store's stand-in: topics, producers and groups."""

import attrs

from galenascale.standins.log_store import LogStore


@attrs.define
class Producer:
    """What a partition remembers of one producer."""

    epoch: int = 0
    # None until the epoch's first append.
    sequence: int | None = None
    # Offsets of the last appends by their sequence numbers.
    offsets_by_sequence: dict = attrs.field(factory=dict)


class AppendRejected(Exception):
    """An append that breaks a condition; `fields` say which."""

    def __init__(self, status, **fields):
        super().__init__(status)
        self.status = status
        self.fields = fields


@attrs.define
class Member:
    """One member of a group."""

    last_heartbeat_at: float
    lease_s: float
    topics: tuple
    generation: int = 0
    # Partitions that were taken from it, until it joins again.
    assigned: set = attrs.field(factory=set)


class TopicStore:
    """Topics with partitions, and groups to whose members they are dealt."""

    # Appends of a producer whose repeat gets the first answer again.
    DEDUPLICATED_APPENDS = 5

    def __init__(self, partitions=24, log=None):
        self.partitions = partitions
        # Each partition is the stream TOPIC.NUMBER of this log.
        self.log = log or LogStore()
        self._producers_by_partition = {}
        self._newest_by_topic = {}
        self._groups_by_name = {}

    def partition(self, topic, number):
        """Return the Stream of a partition, which is made on first use."""
        return self.log.streams_by_name[stream_name(topic, number)]

    def append(self, topic, number, records, *, at=None, producer=None):
        """
        Append records and return the offset of the first.

        `producer` is (id, epoch, sequence). Raise AppendRejected if a
        condition does not hold.
        """
        partition = self.partition(topic, number)
        if at is not None and at != partition.next_offset:
            raise AppendRejected(412, EndOffset=partition.next_offset)
        known = self._check_producer((topic, number), producer)
        if isinstance(known, int):
            return known
        offset = partition.next_offset
        for record in records:
            self.log.append(stream_name(topic, number), record)
        if known is not None and records:
            known.sequence = producer[2]
            known.offsets_by_sequence[producer[2]] = offset
            while len(known.offsets_by_sequence) > self.DEDUPLICATED_APPENDS:
                del known.offsets_by_sequence[min(known.offsets_by_sequence)]
        if topic.startswith("keyed."):
            self._update_newest(topic, offset, records)
        return offset

    def _check_producer(self, partition, producer):
        """Return the Producer, or the offset of a repeated append."""
        if producer is None:
            return None
        name, epoch, sequence = producer
        producers_by_id = self._producers_by_partition.setdefault(partition, {})
        known = producers_by_id.setdefault(name, Producer(epoch))
        if epoch < known.epoch:
            raise AppendRejected(409, why="fenced")
        if epoch > known.epoch:
            known.epoch = epoch
            known.sequence = None
            known.offsets_by_sequence.clear()
        if sequence in known.offsets_by_sequence:
            return known.offsets_by_sequence[sequence]
        if known.sequence is not None and sequence != known.sequence + 1:
            raise AppendRejected(409, why="seq", Seq=known.sequence + 1)
        return known

    def _update_newest(self, topic, offset, records):
        newest = self._newest_by_topic.setdefault(topic, {})
        for number, record in enumerate(records):
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset + number)

    def newest(self, topic):
        """Return (value, offset) by key of a keyed topic."""
        return dict(self._newest_by_topic.get(topic, {}))

    def join(self, group, member, topics, lease_s, now):
        """Return (generation, partitions) of a member that joins or stays."""
        members = self._remove_expired(group, now)
        known = members.get(member)
        if known is None:
            members[member] = Member(now, lease_s, tuple(topics))
            self._rebalance(group)
        else:
            known.last_heartbeat_at = now
            known.lease_s = lease_s
        return self._generation(group), sorted(members[member].assigned)

    def leave(self, group, member, now):
        """Take a member out of a group."""
        if self._remove_expired(group, now).pop(member, None):
            self._rebalance(group)

    def owners(self, group, now):
        """Return (topic, partition, member) rows of a group."""
        return [
            (topic, number, name)
            for name, member in self._remove_expired(group, now).items()
            for topic, number in sorted(member.assigned)
        ]

    def _generation(self, group):
        return self._groups_by_name[group]["generation"]

    def _remove_expired(self, group, now):
        state = self._groups_by_name.setdefault(group, {"generation": 0, "members": {}})
        members = state["members"]
        gone = [
            name
            for name, member in members.items()
            if now - member.last_heartbeat_at > member.lease_s
        ]
        for name in gone:
            del members[name]
        if gone:
            self._rebalance(group)
        return members

    def _rebalance(self, group):
        state = self._groups_by_name[group]
        state["generation"] += 1
        members = list(state["members"].values())
        for member in members:
            member.assigned = set()
        if not members:
            return
        topics = {topic for member in members for topic in member.topics}
        for topic in sorted(topics):
            for number in range(self.partitions):
                members[number % len(members)].assigned.add((topic, number))


def stream_name(topic, number):
    """Return the name of a partition's stream."""
    return f"{topic}.{number}"
