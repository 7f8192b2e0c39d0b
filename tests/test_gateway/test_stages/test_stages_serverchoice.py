"""Choice of a stage server and of the size of its call, with servers of different speeds.

Guards against full calls at a server that takes three times as long while a faster one is free
before such a call would end, against pieces that wait for a server which doesn't answer, against a
speed that is counted twice, against a choice that takes pieces times calls, and against changes
where the settings don't ask for it.
"""

from __future__ import annotations

import functools
import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.calls import ServerLoad
from ringseam.features import Feature
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.stages.batching import Batcher, QueueSnapshot
from ringseam.gateway.stages.jobs import PieceJob, StageCall
from ringseam.gateway.stages.serverchoice import CompletionPolicy, NextCalls, SlownessPolicy
from ringseam.routes import BatchSpec, ServiceName

SERVICE = ServiceName('crops')
SPEC = BatchSpec(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.2,
    piece_s=0.05,
    result_capacity_bytes=1_000_000,
    result_retention_s=4,
)
#: A time without influence of the speeds learned before, seconds.
NOW = 100.0


def server(name, zone='a'):
    return BackendReport(
        instance=BackendId(name), service=SERVICE, address=f'{name}:1', zone=zone, sequence=1
    )


def job(request='r', pieces=1, *, due=1000.0, rank=1, size=1000, zone='', **fields):
    return PieceJob(
        attempt_id=request,
        service=SERVICE,
        stage=0,
        pieces=tuple(range(pieces)),
        key='k',
        due=due,
        deadline=due + 5,
        rank=rank,
        result_bytes=size,
        zone=zone,
        inputs=(),
        **fields,
    )


def new_batcher(slowdowns=None, *, now=NOW):
    """Return a batcher that knows how many times as long calls take at servers, by name."""
    health = HealthTracker.for_features(frozenset((Feature.server_load,)) if slowdowns else ())
    batcher = Batcher(service=SERVICE, health=health)
    for name, slowdown in (slowdowns or {}).items():
        load = ServerLoad(running=0, waiting=0, slots=1, slowdown=slowdown)
        # With a mean as high as the newest report, the slowdown doesn't decay.
        for at in (now - 200, now - 100, now):
            batcher.health.speeds.reports.record(BackendId(name), load, at)
        batcher.health.speeds.reports.by_server[BackendId(name)].mean_slowdown = slowdown
    return batcher


def requests_of(call):
    return [piece.job.attempt_id for piece in call.pieces]


def test_slow_server_waits_while_a_faster_one_ends_the_pieces_sooner():
    batcher = new_batcher({'slow': 4.0, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('first', pieces=4), NOW)
    assert batcher.next_call(servers, SPEC, NOW).server.instance == 'fast'
    # The next call of the fast server ends after 0.8 s, one of the slow server after 1 s.
    batcher.add(job('second', pieces=1), NOW)
    assert batcher.next_call(servers, SPEC, NOW) is None
    assert batcher.awaited_at == pytest.approx(NOW + 0.4)


def test_slow_server_gets_a_smaller_call_of_the_jobs_that_end_sooner_there():
    batcher = new_batcher({'slow': 3.0, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('under way', pieces=4), NOW)
    batcher.next_call(servers, SPEC, NOW)
    for number in range(5):
        batcher.add(job(f'r{number}', pieces=1, due=1000 + number), NOW)
    # The fast server ends four pieces after 0.8 s and the fifth after 1.2 s, the slow server
    # one piece after 0.75 s, and two after 0.9 s.
    call = batcher.next_call(servers, SPEC, NOW)
    assert call.server.instance == 'slow'
    assert requests_of(call) == ['r4']


def test_job_is_not_divided_between_a_slow_server_and_the_next_call_of_a_fast_one():
    batcher = new_batcher({'slow': 2.1, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('under way', pieces=4), NOW)
    batcher.next_call(servers, SPEC, NOW)
    batcher.add(job('first', pieces=3), NOW)
    batcher.add(job('second', pieces=3, due=1001), NOW)
    call = batcher.next_call(servers, SPEC, NOW)
    assert requests_of(call) == ['second'] * 3


def test_slow_server_takes_everything_when_it_is_alone_or_the_others_do_not_answer():
    servers = [server('slow'), server('fast')]
    for prepare in (
        lambda health: health.record_timeout(BackendId('fast'), NOW),
        lambda health: health.record_failure(BackendId('fast'), NOW, hard=True),
    ):
        batcher = new_batcher({'slow': 4.0, 'fast': 1.0})
        batcher.add(job('under way', pieces=4), NOW)
        batcher.next_call(servers, SPEC, NOW)
        prepare(batcher.health)
        batcher.add(job('next', pieces=2), NOW)
        assert batcher.next_call(servers, SPEC, NOW).server.instance == 'slow'


def test_call_that_is_overdue_is_not_waited_for():
    """A server that has stopped answering would otherwise keep pieces waiting until its call
    times out, which takes four times as long as the call."""
    batcher = new_batcher({'slow': 2.2, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('under way', pieces=4), NOW)
    batcher.next_call(servers, SPEC, NOW)
    batcher.add(job('next', pieces=1), NOW)
    assert batcher.next_call(servers, SPEC, NOW + 0.4) is None
    assert NOW + 0.4 < batcher.awaited_at <= NOW + 0.45
    assert batcher.next_call(servers, SPEC, NOW + 0.6).server.instance == 'slow'


def test_pieces_are_not_left_to_a_server_of_another_zone_that_would_not_take_them():
    batcher = new_batcher({'slow': 4.0, 'fast': 1.0})
    servers = [server('slow', 'a'), server('fast', 'b')]
    batcher.add(job('there', pieces=4, zone='b'), NOW)
    assert batcher.next_call(servers, SPEC, NOW).server.instance == 'fast'
    batcher.add(job('here', pieces=2, zone='a'), NOW)
    assert batcher.next_call(servers, SPEC, NOW).server.instance == 'slow'


def test_pieces_are_not_left_to_a_server_without_room_for_their_results():
    batcher = new_batcher({'slow': 2.0, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('under way', pieces=4), NOW)
    batcher.next_call(servers, SPEC, NOW)
    batcher.add(job('next', pieces=4, size=100_000), NOW)
    # The fast server would end them as late as the slow one, or later without room.
    batcher.capacity.reserve(BackendId('fast'), 900_000)
    assert batcher.next_call(servers, SPEC, NOW).server.instance == 'slow'


def test_pieces_are_left_to_a_server_only_as_far_as_it_has_room():
    batcher = new_batcher({'slow': 3.0, 'fast': 1.0})
    servers = [server('slow'), server('fast')]
    batcher.add(job('under way', pieces=4, size=100_000), NOW)
    batcher.next_call(servers, SPEC, NOW)
    for number in range(4):
        batcher.add(job(f'r{number}', size=250_000, due=1000 + number), NOW)
    call = batcher.next_call(servers, SPEC, NOW)
    assert call.server.instance == 'slow'
    assert requests_of(call) == ['r2', 'r3']


def test_end_of_a_call_is_expected_by_the_speed_of_its_server():
    batcher = new_batcher({'slow': 3.0})
    servers = [server('slow')]
    batcher.add(job('r', pieces=4), NOW)
    call = batcher.next_call(servers, SPEC, NOW)
    # Speeds are learned from the duration without the factor.
    assert call.expected_s == pytest.approx(0.4)
    assert batcher.throughput.until_free_s(servers, SPEC, NOW) == pytest.approx(1.2)


@pytest.mark.parametrize('factor', [0.8, 2.0, 3.5])
def test_speed_is_not_counted_twice(factor):
    """A factor that was applied to the expected duration as well would be forgotten."""
    batcher = new_batcher({'usual': 1.0, 'other': 1.0})
    servers = [server('usual'), server('other')]
    now = NOW
    for _ in range(40):
        for one, own in zip(servers, (1.0, factor), strict=True):
            batcher.add(job('r', pieces=4), now)
            call = batcher.next_call([one], SPEC, now)
            duration_s = call.expected_s * own
            batcher.health.speeds.observe(
                SERVICE,
                one.instance,
                expected_s=call.expected_s,
                duration_s=duration_s,
                now=now + duration_s,
            )
            batcher.call_ended(call)
        now += 0.5
    batcher.add(job('last', pieces=4), now)
    batcher.next_call(servers[1:], SPEC, now)
    expected_s = batcher.throughput.until_free_s(servers[1:], SPEC, now)
    assert expected_s == pytest.approx(0.4 * factor, rel=0.15)


def naive_choice(own_factor, ends, jobs):
    """Return the jobs for a server by comparing each size of its call.

    :param ends: of the calls of other servers with places for ``SPEC.batch`` pieces.
    """
    places = [end for end in sorted(ends) for _ in range(SPEC.batch)]
    positions = list(itertools.accumulate(jobs))
    elsewhere = [places[end - 1] if end <= len(places) else math.inf for end in positions]
    for first in range(len(jobs)):
        size = min(SPEC.batch, sum(jobs[first:]))
        if elsewhere[first] >= NOW + own_factor * (SPEC.call_s + SPEC.piece_s * size):
            return list(range(first, len(jobs)))
    return []


@given(
    own=st.floats(0.5, 5),
    others=st.lists(st.tuples(st.floats(0.5, 5), st.floats(0, 1)), max_size=3),
    jobs=st.lists(st.integers(1, 5), min_size=1, max_size=8),
)
def test_choice_equals_a_comparison_of_all_sizes(own, others, jobs):
    batcher = new_batcher({'own': own, **{f's{n}': one for n, (one, _) in enumerate(others)}})
    servers = [server('own'), *(server(f's{number}') for number in range(len(others)))]
    ends = []
    for one, (factor, free_in_s) in zip(servers[1:], others, strict=True):
        call = StageCall(server=one, pieces=[], expected_s=free_in_s)
        batcher.throughput.call_started(call, NOW, has_backlog=False)
        free_at = NOW + abs(NOW + free_in_s - NOW)
        calls = itertools.repeat(factor * SPEC.full_call_s, 60)
        ends.extend(itertools.islice(itertools.accumulate(calls, initial=free_at), 1, None))
    for number, pieces in enumerate(jobs):
        batcher.add(job(f'r{number}', pieces, due=1000 + number), NOW)
    call = batcher.next_call(servers, SPEC, NOW)
    chosen = naive_choice(own, ends, jobs)
    assert (call is None) == (not chosen)
    if call is not None:
        assert call.pieces[0].job.attempt_id == f'r{chosen[0]}'


@given(
    st.lists(st.tuples(st.floats(0.5, 5), st.sampled_from('ab')), min_size=1, max_size=4),
    st.lists(st.tuples(st.integers(1, 6), st.sampled_from(['a', 'b', ''])), max_size=12),
)
def test_every_piece_leaves_exactly_once_without_further_arrivals(speeds, arrivals):
    """Dispatches only when a call ends or an awaited server is due, as the scheduler does."""
    batcher = new_batcher({f's{number}': one for number, (one, _) in enumerate(speeds)})
    servers = [server(f's{number}', zone) for number, (_, zone) in enumerate(speeds)]
    expected, seen, calls = [], [], []
    for number, (pieces, zone) in enumerate(arrivals):
        batcher.add(job(f'r{number}', pieces, zone=zone), NOW)
        expected.extend((f'r{number}', piece) for piece in range(pieces))
    now = NOW
    for _ in range(300):
        call = batcher.next_call(servers, SPEC, now)
        if call is not None:
            seen.extend((piece.job.attempt_id, piece.number) for piece in call.pieces)
            factor = speeds[servers.index(call.server)][0]
            calls.append((now + call.expected_s * factor, call))
            continue
        if not calls:
            break
        ended = min(calls, key=lambda running: running[0])
        calls.remove(ended)
        now = ended[0]
        batcher.call_ended(ended[1])
    assert sorted(seen) == sorted(expected)


class PlainCalls(NextCalls):
    """Next calls that are built for each server, and searched from the first one for each piece."""

    def assign(self, jobs, latest):
        calls = []
        for other in self.servers:
            if not self.throughput.is_busy(other.instance, SPEC) or not self._answers(other):
                continue
            expected_end = self.throughput.last_calls[other.instance].expected_end
            free_at = NOW + abs(expected_end - NOW)
            places = min(SPEC.batch, int(self.room(other)))
            if places <= 0:
                places, free_at = SPEC.batch, free_at + SPEC.call_s
            duration_s = self.policy.duration_factor(other, NOW) * SPEC.full_call_s
            ends_at = free_at + duration_s
            while ends_at < latest:
                calls.append([ends_at, places, other])
                places, ends_at = SPEC.batch, ends_at + duration_s
        calls.sort(key=lambda call: call[0])
        for one in jobs:
            ends = []
            for piece in one:
                call = next((it for it in calls if it[1] and self._may_run(piece, it[2])), None)
                ends.append(math.inf if call is None else call[0])
                if call is None:
                    break
                call[1] -= 1
            yield len(one), max(ends)


ZONES = st.sampled_from(['a', 'b', ''])


@given(
    busy=st.lists(
        st.tuples(st.floats(0.3, 5), st.floats(0, 1), ZONES, st.integers(0, 1_000_000)), max_size=5
    ),
    jobs=st.lists(st.tuples(st.integers(1, 5), ZONES), min_size=1, max_size=12),
    latest=st.lists(st.floats(0, 8), min_size=1, max_size=4),
    size=st.sampled_from([1, 100_000, 400_000]),
)
def test_places_are_those_of_a_plain_search(busy, jobs, latest, size):
    """One object answers for several idle servers, each with another time."""
    batcher = new_batcher({'own': 1.0, **{f's{n}': one[0] for n, one in enumerate(busy)}})
    servers = [server('own'), *(server(f's{n}', one[2]) for n, one in enumerate(busy))]
    for one, (_, free_in_s, _, used) in zip(servers[1:], busy, strict=True):
        call = StageCall(server=one, pieces=[], expected_s=free_in_s)
        batcher.throughput.call_started(call, NOW, has_backlog=False)
        batcher.capacity.reserve(one.instance, used)
    pieces = [
        batcher.add(job(f'r{number}', count, zone=zone), NOW)
        for number, (count, zone) in enumerate(jobs)
    ]
    made = [
        kind(
            policy=batcher._server_policy(servers, SPEC, NOW),
            servers=servers,
            zones={one.zone for one in servers},
            overflow=pieces[0],
            throughput=batcher.throughput,
            room=lambda one: batcher.capacity.free_bytes(one.instance, SPEC, NOW) / size,
            spec=SPEC,
            now=NOW,
        )
        for kind in (NextCalls, PlainCalls)
    ]
    for until_s in latest:
        found, plain = (list(calls.assign(pieces, NOW + until_s)) for calls in made)
        assert found == plain


def test_choice_looks_at_each_piece_about_once_for_each_idle_server(monkeypatch):
    """With many servers and a long queue, the search through full calls delays the dispatches."""
    looked, built = [], []
    may_run, answers = NextCalls._may_run, NextCalls._answers

    def counted_may_run(calls, piece, one):
        looked.append(piece)
        return may_run(calls, piece, one)

    def counted_answers(calls, one):
        built.append(one)
        return answers(calls, one)

    monkeypatch.setattr(NextCalls, '_may_run', counted_may_run)
    monkeypatch.setattr(NextCalls, '_answers', counted_answers)
    slow, fast = [f'slow{number}' for number in range(8)], [f'f{number}' for number in range(40)]
    batcher = new_batcher({**dict.fromkeys(slow, 30.0), **dict.fromkeys(fast, 1.0)})
    servers = [server(name) for name in (*slow, *fast)]
    for number in range(40):
        batcher.add(job(f'first{number}', pieces=4), NOW)
    for one in servers[8:]:
        assert batcher.next_call([one], SPEC, NOW) is not None
    for number in range(70):
        batcher.add(job(f'r{number}', pieces=4), NOW)
    looked.clear()
    built.clear()
    assert batcher.next_call(servers, SPEC, NOW) is None
    assert len(looked) == 8 * 280
    assert len(built) == 40


class FormerBatcher(Batcher):
    """The choice of a server before reports of interference were used for it."""

    def next_call(self, servers, spec, now):
        if not self.waiting:
            return None
        idle = self._idle_servers(servers, spec, now)
        feasible = [one for one in self.waiting if one.job.deadline >= now + spec.call_s]
        ordered = self.order.order(feasible, now)
        idle.sort(key=functools.partial(self._former_preference, now=now))
        for one in idle:
            skipped = self._former_left(one, servers, spec, now)
            zones = {other.zone for other in idle if other is not one}
            pieces = self._former_pieces(one, ordered[skipped:], servers, zones, spec, now)
            if pieces:
                snapshot = self._snapshot(servers, spec, now, ordered)
                return self._start_call(one, pieces, snapshot)
        return None

    def _former_pieces(self, one, ordered, servers, idle_zones, spec, now):
        snapshot = self._snapshot(servers, spec, now, ordered)
        allowed = [
            piece
            for piece in ordered
            if piece.job.may_run_in(one.zone)
            and (
                one.instance not in piece.failed_servers
                or len(piece.failed_servers) >= len(servers)
            )
        ]
        eligible = [
            piece
            for piece in allowed
            if piece.job.zone == one.zone
            or piece.job.zone not in snapshot.zones
            or piece in snapshot.overflow
            or self.zone_policy.may_leave(
                piece, spec, self._zone_load(piece.job, snapshot, idle_zones), now
            )
        ]
        late = [piece for piece in allowed if piece.job.due <= now]
        if self.health.of(one.instance).unresponsive:
            eligible, late = eligible[-1:], late[-1:]
        return self._pieces_that_fit(eligible, one, spec, now) or self._pieces_that_fit(
            late, one, spec, now
        )

    def _snapshot(self, servers, spec, now, ordered):
        return QueueSnapshot(
            servers=servers,
            spec=spec,
            now=now,
            ordered=ordered,
            policy=SlownessPolicy(health=self.health),
        )

    def _former_preference(self, one, *, now):
        known = self.health.of(one.instance)
        return (
            known.unresponsive,
            round(known.slowness_at(now), 1),
            self.capacity.used_bytes.get(one.instance, 0),
            one.instance,
        )

    def _former_left(self, one, servers, spec, now):
        slowness = self.health.of(one.instance).slowness_at(now)
        if slowness < 1.8:
            return 0
        faster = sum(
            1
            for other in servers
            if now >= self.health.of(other.instance).ejected_until
            and self.health.of(other.instance).slowness_at(now) < 1.8
        )
        return int((slowness - 1) * spec.batch * spec.slots * faster)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('add'), st.integers(1, 6), st.integers(0, 2), st.sampled_from(['a', 'b', ''])
        ),
        st.tuples(st.just('end'), st.floats(0.1, 6)),
        st.tuples(st.just('lost'), st.integers(0, 3)),
        st.tuples(st.just('wait'), st.floats(0, 2)),
        st.tuples(st.just('load'), st.integers(0, 3), st.integers(0, 5)),
    ),
    max_size=40,
)


@given(STEPS)
def test_without_the_setting_servers_get_the_calls_of_before(steps):
    servers = [server(f's{number}', 'ab'[number % 2]) for number in range(4)]
    batchers = [kind(service=SERVICE, health=HealthTracker()) for kind in (Batcher, FormerBatcher)]
    running = [[], []]
    now = NOW
    for number, step in enumerate(steps):
        if step[0] == 'wait':
            now += step[1]
        for batcher, calls in zip(batchers, running, strict=True):
            apply_step(batcher, calls, step, number, now, servers)
            assert batcher.awaited_at == math.inf
        described = [
            [
                (call.server.instance, [(one.job.attempt_id, one.number) for one in call.pieces])
                for call in calls
            ]
            for calls in running
        ]
        assert described[0] == described[1]
        assert batchers[0].throughput == batchers[1].throughput


def apply_step(batcher, calls, step, number, now, servers):
    speeds = batcher.health.speeds
    if step[0] == 'add':
        _, pieces, rank, zone = step
        batcher.add(job(f'r{number}', pieces, rank=rank, zone=zone, due=now + rank), now)
    elif step[0] == 'load':
        slowdown = 2.5 if step[2] > 3 else None
        load = ServerLoad(running=step[2], waiting=0, slots=1, slowdown=slowdown)
        speeds.reports.record(servers[step[1]].instance, load, now)
    elif step[0] == 'lost':
        batcher.health.record_timeout(servers[step[1]].instance, now)
    elif step[0] == 'end' and calls:
        call = calls.pop(0)
        batcher.call_ended(call)
        batcher.health.record_slowness(call.server.instance, step[1], now)
        speeds.observe(
            SERVICE,
            call.server.instance,
            expected_s=call.expected_s,
            duration_s=step[1],
            now=now,
        )
    call = batcher.next_call(servers, SPEC, now)
    while call is not None:
        calls.append(call)
        call = batcher.next_call(servers, SPEC, now)


def test_policy_follows_the_settings():
    servers = [server('x'), server('y')]
    usual, asked = new_batcher(), new_batcher({'x': 1.0})
    load = ServerLoad(running=0, waiting=0, slots=1, slowdown=2.5)
    usual.health.speeds.reports.record(servers[0].instance, load, NOW)
    assert isinstance(usual._server_policy(servers, SPEC, NOW), SlownessPolicy)
    assert isinstance(asked._server_policy(servers, SPEC, NOW), CompletionPolicy)
