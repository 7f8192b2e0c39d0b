"""Payload sizes of the in-memory log."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.control.raftlog import EntryKind, Log, LogEntry, Snapshot

steps = st.lists(
    st.one_of(
        st.tuples(st.just('append'), st.integers(0, 50)),
        st.tuples(st.just('truncate'), st.integers(1, 12)),
        st.tuples(st.just('compact'), st.integers(0, 12)),
        st.tuples(st.just('install'), st.integers(0, 12)),
    ),
    max_size=40,
)


def apply_step(log, step, number):
    """Apply one operation to the log."""
    if step == 'append':
        log.append(LogEntry(log.last_index + 1, 1, EntryKind.command, bytes(number)))
    elif step == 'truncate':
        log.truncate(max(log.snapshot.index + 1, log.last_index + 1 - number))
    elif step == 'compact':
        index = min(log.last_index, log.snapshot.index + number)
        log.compact(Snapshot(index=index, term=log.term_at(index)))
    else:
        log.compact(Snapshot(index=log.last_index + number + 1, term=2))


@given(steps, st.lists(st.integers(0, 50), max_size=5))
def test_bytes_are_the_same_as_a_sum(applied_steps, loaded):
    entries = [
        LogEntry(offset + 1, 1, EntryKind.command, bytes(size))
        for offset, size in enumerate(loaded)
    ]
    log = Log(snapshot=Snapshot(), entries=entries)
    for step, number in applied_steps:
        apply_step(log, step, number)
        assert log.total_bytes == sum(len(entry.payload) for entry in log.entries)
        middle = (log.snapshot.index + log.last_index) // 2
        assert log.bytes_between(middle + 1, log.last_index) == sum(
            len(entry.payload) for entry in log.entries_between(middle + 1, log.last_index)
        )
