"""State of the store stand-in: topics, producers and consumer groups."""

import attrs

from galenascale.standins.log_store import LogStore


@attrs.define
class Producer:
    """State of one idempotent producer in a partition."""

    epoch: int = 0
    # Last sequence number; None until the first append of the epoch.
    sequence: int | None = None
    # Offsets of the most recent appends by sequence number.
    offsets_by_sequence: dict = attrs.field(factory=dict)


class AppendRejected(Exception):
    """
    An append whose precondition failed.

    `status` is the HTTP status and `fields` are those of the JSON response.
    """

    def __init__(self, status, **fields):
        super().__init__(status)
        self.status = status
        self.fields = fields


@attrs.define
class Member:
    """One member of a consumer group."""

    last_heartbeat_at: float
    lease_s: float
    topics: tuple
    generation: int = 0
    # (topic, partition number) pairs assigned to the member.
    assigned: set = attrs.field(factory=set)


class TopicStore:
    """Partitioned topics, and consumer groups with partition assignment."""

    # Number of recent appends per producer that are deduplicated: a retry of
    # one of them returns the offset of the original append.
    DEDUPLICATED_APPENDS = 5

    def __init__(self, partitions=24, log=None):
        self.partitions = partitions
        # Each partition is a stream named TOPIC.NUMBER in this log.
        self.log = log or LogStore()
        self._producers_by_partition = {}
        self._newest_by_topic = {}
        self._groups_by_name = {}

    def partition(self, topic, number):
        """Return the LogStream of a partition, creating it on first use."""
        return self.log.streams_by_name[stream_name(topic, number)]

    def append(self, topic, number, records, *, at=None, producer=None):
        """
        Append records and return the offset of the first.

        `at` is the offset that the append must get. `producer` is (id,
        epoch, sequence). Raise AppendRejected if a precondition fails.
        """
        partition = self.partition(topic, number)
        if at is not None and at != partition.next_offset:
            raise AppendRejected(412, EndOffset=partition.next_offset)
        state = self._check_producer((topic, number), producer)
        if isinstance(state, int):
            return state
        offset = partition.next_offset
        for record in records:
            self.log.append(stream_name(topic, number), record)
        if state is not None and records:
            state.sequence = producer[2]
            state.offsets_by_sequence[producer[2]] = offset
            while len(state.offsets_by_sequence) > self.DEDUPLICATED_APPENDS:
                del state.offsets_by_sequence[min(state.offsets_by_sequence)]
        if topic.startswith("keyed."):
            self._update_newest(topic, offset, records)
        return offset

    def _check_producer(self, partition, producer):
        """
        Return the Producer of an append, or None if it names none.

        For a retry of a recent append, return the offset of the original.
        Raise AppendRejected for an old epoch or a gap in the sequence.
        """
        if producer is None:
            return None
        name, epoch, sequence = producer
        producers_by_id = self._producers_by_partition.setdefault(partition, {})
        state = producers_by_id.setdefault(name, Producer(epoch))
        if epoch < state.epoch:
            raise AppendRejected(409, why="fenced")
        if epoch > state.epoch:
            state.epoch = epoch
            state.sequence = None
            state.offsets_by_sequence.clear()
        if sequence in state.offsets_by_sequence:
            return state.offsets_by_sequence[sequence]
        if state.sequence is not None and sequence != state.sequence + 1:
            raise AppendRejected(409, why="seq", Seq=state.sequence + 1)
        return state

    def _update_newest(self, topic, offset, records):
        newest = self._newest_by_topic.setdefault(topic, {})
        for number, record in enumerate(records):
            end = 1 + (record[0] if record else 0)
            if len(record) < end:
                # Kept in the log, but it names no key.
                continue
            key, value = record[1:end].decode("utf-8", "replace"), record[end:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset + number)

    def newest(self, topic):
        """Return the newest (value, offset) of each key of a keyed topic."""
        return dict(self._newest_by_topic.get(topic, {}))

    def join(self, group, member, topics, lease_s, now):
        """
        Add a member to a group, or renew its lease.

        Return the generation of the group and the member's partitions.
        `lease_s` and `now` are in seconds.
        """
        members = self._remove_expired(group, now)
        existing = members.get(member)
        if existing is None:
            members[member] = Member(now, lease_s, tuple(topics))
            self._rebalance(group)
        else:
            existing.last_heartbeat_at = now
            existing.lease_s = lease_s
        return self._generation(group), sorted(members[member].assigned)

    def leave(self, group, member, now):
        """Remove a member from a group."""
        if self._remove_expired(group, now).pop(member, None):
            self._rebalance(group)

    def owners(self, group, now):
        """Return the (topic, partition, member) assignments of a group."""
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
        expired = [
            name
            for name, member in members.items()
            if now - member.last_heartbeat_at > member.lease_s
        ]
        for name in expired:
            del members[name]
        if expired:
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
    """Return the name of the log stream of a partition."""
    return f"{topic}.{number}"
