"""Log replication, for both the leader and the followers."""

from __future__ import annotations

from ringseam.control.raftlog import (
    AppendReply,
    AppendRequest,
    EntryKind,
    InstallRequest,
    LogEntry,
    TimeoutNow,
)
from ringseam.control.raftstate import Progress, RaftState

#: Maximum number of entries in one message, and of entries that were sent to a
#: follower but not yet confirmed by it.
_MAX_BATCH_ENTRIES = 256
_MAX_IN_FLIGHT_ENTRIES = 4096
#: The same limits in bytes, because an entry can be a whole document. A message is
#: copied while it is authenticated, sent and read; a host has 300 MB of memory, and the
#: unconfirmed entries may take 4 MB of it per follower.
_MAX_BATCH_BYTES = 2**20
_MAX_IN_FLIGHT_BYTES = 4 * 2**20
#: Seconds after which an unconfirmed snapshot is sent again.
_SNAPSHOT_RESEND_S = 2.0


class Replication(RaftState):  # noqa: WPS214 - many small rules
    """Send and receive entries and snapshots, and advance the commit index."""

    def _update_progress(self, now: float) -> None:
        members = {member.disk for member in self.membership.members} - {self.disk}
        for disk in sorted(members - set(self.progress)):
            self.progress[disk] = Progress(next_index=self.log.last_index + 1, last_contact=now)
        for disk in set(self.progress) - members:
            self.progress.pop(disk)

    def _append(self, kind: EntryKind, payload: bytes) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, payload)
        self._store(entry)
        return entry.index

    def _replicate(self, now: float) -> None:
        self._update_progress(now)
        for disk, progress in self.progress.items():
            self._replicate_to(disk, progress, now)

    def _replicate_to(self, disk: str, progress: Progress, now: float) -> None:
        heartbeat_due = now - progress.sent_at >= self.heartbeat_s
        if not heartbeat_due and (progress.probing or not self._has_pending(progress)):
            return
        if self.log.term_at(progress.next_index - 1) is None:
            if now >= progress.snapshot_resend_at:
                self._send_snapshot(disk, progress, now)
            elif heartbeat_due or self._has_unsent_read(progress):
                self._send_universal_heartbeat(disk, progress, now)
            return
        self._send_entries(disk, progress, now)
        while self._can_send_entries(progress):
            self._send_entries(disk, progress, now)

    def _has_pending(self, progress: Progress) -> bool:
        if self._can_send_entries(progress):
            return True
        return self._has_unsent_read(progress)

    def _has_unsent_read(self, progress: Progress) -> bool:
        return bool(self.reads) and progress.sent_round < self.read_round

    def _can_send_entries(self, progress: Progress) -> bool:
        """Return whether there are entries to send within the follower's limits.

        While the follower's last matching index is unknown (probing), only empty
        messages are sent: entries would be sent again with every heartbeat until
        the follower answers.
        """
        next_index = progress.next_index
        if progress.probing or next_index > self.log.last_index:
            return False
        unconfirmed_bytes = self.log.bytes_between(progress.match + 1, next_index - 1)
        within_entries = next_index <= progress.match + _MAX_IN_FLIGHT_ENTRIES
        return within_entries and unconfirmed_bytes < _MAX_IN_FLIGHT_BYTES

    def _send_entries(self, disk: str, progress: Progress, now: float) -> None:
        first = progress.next_index
        entries: list[LogEntry] = []
        if self._can_send_entries(progress):
            entries = self.log.batch(
                first, max_entries=_MAX_BATCH_ENTRIES, max_bytes=_MAX_BATCH_BYTES
            )
        self._send(
            disk,
            AppendRequest(
                term=self.term,
                prev_index=first - 1,
                prev_term=self.log.term_at(first - 1) or 0,
                commit=self.commit_index,
                read_round=self.read_round,
                entries=tuple(entries),
            ),
        )
        progress.sent_at = now
        progress.sent_round = self.read_round
        if entries:
            progress.next_index = entries[-1].index + 1

    def _send_universal_heartbeat(self, disk: str, progress: Progress, now: float) -> None:
        """Send a heartbeat that any log accepts, while a snapshot is being installed."""
        progress.sent_at = now
        progress.sent_round = self.read_round
        self._send(
            disk,
            AppendRequest(
                term=self.term, prev_index=0, prev_term=0, commit=0, read_round=self.read_round
            ),
        )

    def _send_snapshot(self, disk: str, progress: Progress, now: float) -> None:
        progress.sent_at = now
        progress.sent_round = self.read_round
        progress.snapshot_index = self.log.snapshot.index
        progress.snapshot_resend_at = now + _SNAPSHOT_RESEND_S
        self._send(
            disk,
            InstallRequest(
                term=self.term,
                snapshot=self.log.snapshot,
                read_round=self.read_round,
            ),
        )

    def _on_append_reply(self, source: str, reply: AppendReply, now: float) -> None:
        progress = self.progress.get(source)
        if not self.is_leader or progress is None or reply.term != self.term:
            return
        progress.last_contact = now
        progress.read_round = max(progress.read_round, reply.read_round)
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.probing = False
            if progress.match >= progress.snapshot_index:
                # It is installed; by now the log may begin with a newer one.
                progress.snapshot_resend_at = float('-inf')
            self._advance_commit()
            self._try_transfer(now)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match + 1))
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.probing = True
            progress.sent_at = float('-inf')

    def _advance_commit(self) -> None:
        matches = sorted(self._match_index(disk) for disk in self.membership.voters)
        quorum_index = matches[-self.membership.quorum]
        if quorum_index > self.commit_index and self.log.term_at(quorum_index) == self.term:
            self.commit_index = quorum_index

    def _match_index(self, disk: str) -> int:
        if disk == self.disk:
            return self.persisted_index
        progress = self.progress.get(disk)
        return progress.match if progress else 0

    def _release_reads(self) -> None:
        voters = self.membership.voters
        rounds = sorted(
            self.read_round if disk == self.disk else self._confirmed_round(disk) for disk in voters
        )
        quorum_index = rounds[-self.membership.quorum]
        while self.reads and self.reads[0].round_number <= quorum_index:
            self.ready.reads.append(self.reads.pop(0).token)

    def _confirmed_round(self, disk: str) -> int:
        progress = self.progress.get(disk)
        return progress.read_round if progress else 0

    def _try_transfer(self, now: float) -> None:
        if self.transfer_target and self._match_index(self.transfer_target) == self.log.last_index:
            self._send(self.transfer_target, TimeoutNow(term=self.term))
            self._reset_election_timer(now)

    def _on_append(self, source: str, request: AppendRequest) -> None:
        if request.prev_index < self.log.snapshot.index:
            self._reply_append(source, request, accepted=True, match=self.log.snapshot.index)
            return
        if self.log.term_at(request.prev_index) != request.prev_term:
            hint = min(self.log.last_index, request.prev_index - 1)
            self._reply_append(source, request, accepted=False, match=max(hint, self.commit_index))
            return
        for entry in request.entries:
            self._accept_entry(entry)
        match = request.prev_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit, match))
        self._reply_append(source, request, accepted=True, match=match)

    def _accept_entry(self, entry: LogEntry) -> None:
        known_term = self.log.term_at(entry.index)
        if known_term == entry.term:
            return
        if known_term is not None:
            self.log.truncate(entry.index)
            self._discard_from(entry.index)
        self._store(entry)

    def _discard_from(self, index: int) -> None:
        earliest = self.ready.truncate_from
        self.ready.truncate_from = index if earliest is None else min(index, earliest)
        self.ready.entries = [kept for kept in self.ready.entries if kept.index < index]
        self.membership_history = [
            version for version in self.membership_history if version[0] < index
        ]
        self.persisted_index = min(self.persisted_index, index - 1)

    def _reply_append(
        self,
        source: str,
        request: AppendRequest | InstallRequest,
        *,
        accepted: bool,
        match: int,
    ) -> None:
        reply = AppendReply(
            term=self.term,
            accepted=accepted,
            match=match,
            read_round=request.read_round,
        )
        self._send(source, reply)

    def _on_install(self, source: str, request: InstallRequest) -> None:
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self.compact_to(snapshot)
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self.ready.snapshot = snapshot
            self.ready.entries = [
                kept for kept in self.ready.entries if kept.index > snapshot.index
            ]
        self._reply_append(source, request, accepted=True, match=self.commit_index)
