"""Reservations of one service, and the waits that follow from them, without I/O."""

from __future__ import annotations

import bisect
import collections
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad, UnsharedPolicy
from ringseam.gateway.reservations.accuracy import ErrorSummary, ForecastErrors
from ringseam.gateway.reservations.work import (
    ArrivedWork,
    Forecast,
    Reservation,
    ReservationEnd,
    ServiceLoad,
    StageKey,
    StageWork,
)
from ringseam.util.decay import DecayingCounter

if TYPE_CHECKING:
    from ringseam.gateway.accounts.policy import SharePolicy
    from ringseam.gateway.priorities import Precedence

#: Time constant of the rate that is asked for, seconds: a few calls, so that the rate is that of
#: a burst before its queue is full.
ASKED_DECAY_S = 1.5
#: Interval between searches for expired reservations, seconds.
_EXPIRY_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class _Queue:
    """What new pieces meet; times in seconds from now."""

    work: StageWork
    starts_s: float
    #: Pieces of their precedence that are sent per second.
    rate: float
    now: float

    def arrival_s(self, other: StageWork) -> float:
        """Return when reserved pieces arrive."""
        return max(0, other.starts_at - self.now)

    def is_ahead(self, other: StageWork, arrives_s: float, *, after_later: bool) -> bool:
        """Return whether reserved pieces go before the new ones."""
        if self.work.precedence.returned:
            # The rate for retries already accounts for what arrives.
            return False
        if other.precedence == self.work.precedence:
            return after_later or arrives_s <= self.starts_s
        return other.precedence < self.work.precedence

    def is_behind(self, other: StageWork, arrives_s: float, sent_s: float) -> bool:
        """Return whether the new pieces go before reserved ones of no lower precedence."""
        if other.precedence == self.work.precedence:
            return arrives_s > self.starts_s
        return other.precedence < self.work.precedence and arrives_s > sent_s


@dataclass(kw_only=True)
class ReservationBook:
    """Reserve capacity of one service at its owner, and forecast waits."""

    shares: SharePolicy = field(default_factory=UnsharedPolicy)
    reserved: dict[StageKey, Reservation] = field(default_factory=dict)
    #: The reservations of a request of one gateway, by its scoped ID.
    by_request: dict[str, set[StageKey]] = field(default_factory=dict)
    #: The reservations of a stage of an attempt, which several gateways may have received.
    by_stage: dict[StageKey, list[StageKey]] = field(default_factory=dict)
    #: All reservations by expected arrival.
    by_start: list[Reservation] = field(default_factory=list)
    arrived: dict[StageKey, ArrivedWork] = field(default_factory=dict)
    #: Pieces of first attempts that a reservation was asked for lately, admitted or not.
    asked: DecayingCounter = field(default_factory=lambda: DecayingCounter(decay_s=ASKED_DECAY_S))
    errors: dict[Precedence, ForecastErrors] = field(default_factory=dict)
    #: Number of reservations that ended, by how.
    ended: collections.Counter[ReservationEnd] = field(default_factory=collections.Counter)
    expiry_checked_at: float = float('-inf')
    #: Number of expired reservations that :meth:`expire` has returned.
    reported_expired: int = 0

    def reserve(self, work: StageWork, load: ServiceLoad, now: float) -> Forecast:
        """Reserve capacity and forecast the wait; replace an earlier reservation.

        A message that comes again after the pieces have arrived reserves nothing.
        """
        self._end_expired(now)
        earlier = self._remove(work.key)
        wait_s = self.wait_s(work, load, now) + load.added_call_s
        if earlier is None:
            demand = _account_demand(work, load)
            has_arrived = self._has_arrived(work.key)
            share_wait_s = self._share_wait_s(demand, work, load, now, admit=not has_arrived)
            reserved_at = now
        else:
            has_arrived = False
            demand, share_wait_s = earlier.demand, earlier.share_wait_s
            reserved_at = earlier.reserved_at
        if not has_arrived:
            self._insert(
                Reservation(
                    work=work,
                    wait_s=wait_s,
                    share_wait_s=share_wait_s,
                    demand=demand,
                    reserved_at=reserved_at,
                    renewed_at=now,
                )
            )
        seen = self._errors_of(work.precedence, now)
        return Forecast(
            wait_s=seen.corrected_s(wait_s),
            spread_s=seen.spread_s,
            share_wait_s=share_wait_s,
        )

    def renew(self, work: StageWork, load: ServiceLoad, now: float) -> None:
        """Keep a reservation that its gateway still holds; take it over if it is unknown.

        What is taken over counts as used, but not as asked for: it was when it was admitted.
        """
        if self.keep(work, now):
            return
        demand = _account_demand(work, load)
        self.shares.admitted(demand, now)
        taken = Reservation(work=work, wait_s=None, demand=demand, reserved_at=now)
        taken.renew(now)
        self._insert(taken)

    def keep(self, work: StageWork, now: float) -> bool:
        """Renew a reservation; return False if it is unknown and its pieces haven't arrived."""
        self._end_expired(now)
        if self._has_arrived(work.key):
            return True
        reservation = self.reserved.get(work.key)
        if reservation is None:
            return False
        reservation.renew(now)
        if reservation.work.starts_at < now < work.starts_at:
            # The message that told of the later start was lost.
            self._remove(work.key)
            reservation.work = work
            self._insert(reservation)
        return True

    def knows(self, key: StageKey) -> bool:
        """Return whether a stage is reserved, or its pieces have arrived and aren't done."""
        return key in self.reserved or self._has_arrived(key)

    def wait_s(self, work: StageWork, load: ServiceLoad, now: float) -> float:
        """Return how long pieces wait after their arrival, by queue and reservations.

        They are sent after the work of higher precedence that arrives before that, and after
        work of the same precedence that arrives before them. If a reservation of the same
        precedence would miss its due time by them, they also go after those that arrive later.
        """
        rate = load.retry_pieces_per_s if work.precedence.returned else load.pieces_per_s
        if not rate:
            return 0
        starts_s = max(0, work.starts_at - now)
        queue = _Queue(work=work, starts_s=starts_s, rate=rate, now=now)
        ahead = sum(count for other, count in load.queued.items() if other <= work.precedence)
        clear_s = load.until_free_s + ahead / rate
        sent_s = self._clear_s(queue, clear_s, after_later=False)
        if self._displaces(queue, sent_s):
            sent_s = self._clear_s(queue, clear_s, after_later=True)
        return max(0, sent_s - starts_s)

    def arrive(self, key: StageKey, now: float) -> bool:
        """Use a reservation for pieces that have arrived; return False if there is none.

        A key without a gateway uses the first reservation of any.
        """
        known = key if key in self.reserved else next(iter(self.by_stage.get(key, ())), key)
        reservation = self._remove(known)
        if reservation is None:
            return False
        self.ended[ReservationEnd.used] += 1
        self.arrived[key.unscoped] = ArrivedWork(
            gateway=known.gateway,
            precedence=reservation.work.precedence,
            arrived_at=now,
            call_s=reservation.work.call_s,
            wait_s=reservation.wait_s,
        )
        return True

    def finish(self, key: StageKey, now: float, *, done: bool) -> None:
        """Compare a forecast with its outcome; not ``done``: the pieces were given up."""
        work = self.arrived.pop(key.unscoped, None)
        if work is None:
            return
        outcome = work.outcome_at(now)
        if outcome is None:
            return
        if done or outcome.actual_s > outcome.expected_s:
            self.errors.setdefault(work.precedence, ForecastErrors()).record(outcome, now)

    def withdraw(self, request_id: str, now: float) -> None:
        """End all reservations of a request of one gateway."""
        for key in list(self.by_request.get(request_id, ())):
            self._give_back(key, ReservationEnd.withdrawn, now)

    def expire(self, now: float) -> int:
        """End reservations whose pieces did not arrive; return how many since the last call."""
        self._end_expired(now)
        before, self.reported_expired = self.reported_expired, self.ended[ReservationEnd.expired]
        return self.reported_expired - before

    @property
    def reserved_pieces(self) -> int:
        """Return the number of pieces that are expected."""
        return sum(reservation.work.pieces for reservation in self.by_start)

    # -- helpers ------------------------------------------------------------

    def _end_expired(self, now: float) -> None:
        if now < self.expiry_checked_at + _EXPIRY_INTERVAL_S:
            return
        self.expiry_checked_at = now
        expired = [key for key, held in self.reserved.items() if held.expires_at <= now]
        for key in expired:
            self._give_back(key, ReservationEnd.expired, now)

    def _clear_s(self, queue: _Queue, clear_s: float, *, after_later: bool) -> float:
        """Return when all work that goes before new pieces is sent, seconds from now.

        :param clear_s: when what is queued now is sent.
        :param after_later: the pieces also go after work of their precedence that arrives later.
        """
        # Pieces that go after later work need a gap before it that they fit into.
        needed_s = queue.work.pieces / queue.rate if after_later else 0
        for reservation in self.by_start:
            other = reservation.work
            arrives_s = queue.arrival_s(other)
            if arrives_s > max(clear_s, queue.starts_s) + needed_s:
                break
            if queue.is_ahead(other, arrives_s, after_later=after_later):
                clear_s = max(clear_s, arrives_s) + other.pieces / queue.rate
        return clear_s

    def _displaces(self, queue: _Queue, sent_s: float) -> bool:
        """Return whether a reservation is late only because of new pieces sent at ``sent_s``."""
        without_s = sent_s
        with_s = max(sent_s, queue.starts_s) + queue.work.pieces / queue.rate
        for reservation in self.by_start:
            other = reservation.work
            arrives_s = queue.arrival_s(other)
            if arrives_s > with_s:
                break
            if not queue.is_behind(other, arrives_s, sent_s):
                continue
            without_s = max(without_s, arrives_s) + other.pieces / queue.rate
            with_s = max(with_s, arrives_s) + other.pieces / queue.rate
            latest_s = other.due_at - queue.now - other.call_s
            if other.precedence == queue.work.precedence and without_s <= latest_s < with_s:
                return True
        return False

    def _has_arrived(self, key: StageKey) -> bool:
        arrived = self.arrived.get(key.unscoped)
        return arrived is not None and arrived.gateway == key.gateway

    def _insert(self, reservation: Reservation) -> None:
        key = reservation.work.key
        self.reserved[key] = reservation
        self.by_request.setdefault(key.request_id, set()).add(key)
        self.by_stage.setdefault(key.unscoped, []).append(key)
        bisect.insort(self.by_start, reservation, key=_start_of)

    def _remove(self, key: StageKey) -> Reservation | None:
        reservation = self.reserved.pop(key, None)
        if reservation is None:
            return None
        first = bisect.bisect_left(self.by_start, _start_of(reservation), key=_start_of)
        self.by_start.pop(self.by_start.index(reservation, first))
        of_request = self.by_request[key.request_id]
        of_request.discard(key)
        if not of_request:
            self.by_request.pop(key.request_id)
        of_stage = self.by_stage[key.unscoped]
        of_stage.remove(key)
        if not of_stage:
            self.by_stage.pop(key.unscoped)
        return reservation

    def _give_back(self, key: StageKey, end: ReservationEnd, now: float) -> None:
        reservation = self._remove(key)
        if reservation is not None:
            self.ended[end] += 1
            self.shares.withdrawn(reservation.demand, now, admitted_at=reservation.reserved_at)

    def _share_wait_s(
        self, demand: AccountDemand, work: StageWork, load: ServiceLoad, now: float, *, admit: bool
    ) -> float:
        """Return the wait for the account's share, seconds; ``admit``: count new work."""
        place = self._place_load(work, load, now)
        if not admit:
            return self.shares.share_wait_s(demand, place, now)
        self.shares.asked(demand, now)
        share_wait_s = self.shares.share_wait_s(demand, place, now)
        self.shares.admitted(demand, now)
        return share_wait_s

    def _place_load(self, work: StageWork, load: ServiceLoad, now: float) -> PlaceLoad:
        """Return the load that work meets when it arrives.

        Reservations are no backlog as far as they are done before, nor is the call in progress.
        """
        idle = replace(load, until_free_s=0)
        return PlaceLoad(
            capacity_per_s=load.pieces_per_s * load.server_s_per_piece,
            backlog_s=self.wait_s(work, idle, now),
        )

    def _errors_of(self, precedence: Precedence, now: float) -> ErrorSummary:
        if precedence.returned:
            # Many of these are given up before they are sent, so the others say little.
            return ErrorSummary()
        errors = self.errors.setdefault(precedence, ForecastErrors())
        if not errors.is_outdated(now):
            return errors.cached
        outcomes = (
            work.outcome_at(now) for work in self.arrived.values() if work.precedence == precedence
        )
        overdue = (
            outcome
            for outcome in outcomes
            if outcome is not None and outcome.actual_s > outcome.expected_s
        )
        return errors.summarize(overdue, now)


def _start_of(reservation: Reservation) -> float:
    return reservation.work.starts_at


def _account_demand(work: StageWork, load: ServiceLoad) -> AccountDemand:
    return AccountDemand(
        account=work.account,
        precedence=work.precedence,
        amount=work.pieces * load.server_s_per_piece,
    )
