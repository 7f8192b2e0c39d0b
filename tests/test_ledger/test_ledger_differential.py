"""The ledger against a reference implementation that replays a history."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.ledger import (
    EXPIRED_KEY_RETENTION_MS,
    ClaimStage,
    ConcludeStage,
    KeyExpired,
    KeyMismatch,
    Ledger,
    OpenRun,
    RecordStage,
    RunOpened,
    StageStanding,
    StageState,
    kept_answer,
)

KEYS = ('k1', 'k2')
STAGES = ('s1', 's2')
ENDS = (StageState.completed, StageState.failed, StageState.not_run, StageState.unknown)


@dataclass
class NaiveLedger:
    """Replay the whole history of a key for every query."""

    history: list = field(default_factory=list)

    def claimed(self, key, stage):
        """Return generation, state and claimant of the latest claim."""
        generation, state, claimant, answer = 0, None, None, None
        for kind, *rest in self.history:
            if kind == 'claim' and rest[:2] == [key, stage]:
                # A new claim is a new execution, which has no answer yet.
                generation, state = generation + 1, StageState.claimed
                claimant, answer = rest[2], None
            if kind == 'end' and rest[:3] == [key, stage, generation]:
                state, answer = rest[3], rest[4]
        return generation, state, claimant, answer

    def claim(self, key, stage, claimant):
        generation, state, held_by, _ = self.claimed(key, stage)
        if state in {None, StageState.not_run}:
            self.history.append(('claim', key, stage, claimant))
            return generation + 1, True
        return generation, state is StageState.claimed and held_by == claimant

    def conclude(self, key, stage, generation, state, answer):
        current, held, _, _ = self.claimed(key, stage)
        settles = held is StageState.claimed
        late = held is StageState.unknown and state in {StageState.completed, StageState.failed}
        if current == generation and generation and (settles or late):
            self.history.append(('end', key, stage, generation, state, answer))


claims = st.tuples(
    st.just('claim'),
    st.sampled_from(KEYS),
    st.sampled_from(STAGES),
    st.sampled_from(['r1', 'r2', 'r3']),
)
ends = st.tuples(
    st.just('end'),
    st.sampled_from(KEYS),
    st.sampled_from(STAGES),
    st.integers(1, 4),
    st.sampled_from(ENDS),
)


def opened():
    ledger = Ledger()
    for key in KEYS:
        ledger.open(open_run(key))
    return ledger


def open_run(key, now_ms=0, digest=b'd'):
    return OpenRun(
        account='a',
        key=key,
        digest=digest,
        pipeline='p',
        now_ms=now_ms,
        retention_ms=1000,
    )


def claim(key, stage, request_id):
    return ClaimStage(
        account='a',
        key=key,
        stage=stage,
        request_id=request_id,
        agent='1.1.1.1:1',
        incarnation='i',
        sequence=1,
    )


@given(st.lists(st.one_of(claims, ends), max_size=40))
def test_same_as_naive(commands):
    ledger, naive = opened(), NaiveLedger()
    for number, (kind, key, stage, *rest) in enumerate(commands):
        if kind == 'claim':
            standing = ledger.claim(claim(key, stage, rest[0]))
            assert (standing.record.generation, standing.granted) == naive.claim(
                key, stage, rest[0]
            )
        else:
            answer = kept_answer('t', str(number).encode())
            ledger.conclude(
                ConcludeStage(
                    account='a',
                    key=key,
                    stage=stage,
                    generation=rest[0],
                    state=rest[1],
                    answer=answer,
                ),
            )
            naive.conclude(key, stage, rest[0], rest[1], answer)
        for known_key in KEYS:
            run = ledger.state.runs[f'a\n{known_key}']
            for known_stage in STAGES:
                generation, state, _, answer = naive.claimed(known_key, known_stage)
                record = run.stages.get(known_stage)
                held = (
                    (record.generation, record.state, record.answer) if record else (0, None, None)
                )
                assert held == (generation, state, answer)


@given(st.lists(st.one_of(claims, ends), max_size=30), st.integers(0, 30))
def test_snapshot_changes_nothing(commands, cut):
    import msgspec

    from ringseam.ledger import LedgerState

    plain, reloaded = opened(), opened()
    for number, (kind, key, stage, *rest) in enumerate(commands):
        if number == cut:
            raw = msgspec.msgpack.encode(reloaded.state)
            reloaded = Ledger(state=msgspec.msgpack.decode(raw, type=LedgerState))
        if kind == 'claim':
            command = claim(key, stage, rest[0])
        else:
            command = ConcludeStage(
                account='a', key=key, stage=stage, generation=rest[0], state=rest[1]
            )
        assert plain.execute(command) == reloaded.execute(command)


CASES = (
    ('first open', [open_run('n')], RunOpened),
    ('same key, other body', [open_run('n'), open_run('n', digest=b'e')], KeyMismatch),
    ('within retention', [open_run('n'), open_run('n', now_ms=999)], RunOpened),
    ('past retention', [open_run('n'), open_run('n', now_ms=1000)], KeyExpired),
    ('spent for long', [open_run('n'), open_run('n', now_ms=EXPIRED_KEY_RETENTION_MS)], KeyExpired),
    (
        'spent no more',
        [open_run('n'), open_run('n', now_ms=EXPIRED_KEY_RETENTION_MS + 1000)],
        RunOpened,
    ),
    ('claim unopened', [claim('n', 's1', 'r')], KeyExpired),
    (
        'claim expired',
        [open_run('n'), open_run('m', now_ms=1000), claim('n', 's1', 'r')],
        KeyExpired,
    ),
    ('claim', [open_run('n'), claim('n', 's1', 'r')], StageStanding),
)


@pytest.mark.parametrize(
    ('commands', 'result'), [case[1:] for case in CASES], ids=[c[0] for c in CASES]
)
def test_cases(commands, result):
    ledger = Ledger()
    outcomes = [ledger.execute(command) for command in commands]
    assert isinstance(outcomes[-1], result)


def test_first_recorded_answer_wins():
    ledger = opened()
    first = kept_answer('t', b'first')
    for answer in (first, kept_answer('t', b'second')):
        standing = ledger.record(RecordStage(account='a', key='k1', stage='s1', answer=answer))
        assert standing.record.answer == first


def test_claim_after_not_run_clears_the_answer():
    """Ledger and reference differ in the answer after a stage that did not run is claimed again."""
    check = test_same_as_naive.hypothesis.inner_test
    claimed = ('claim', 'k2', 's1', 'r1')
    check([claimed, ('end', 'k2', 's1', 1, StageState.not_run), claimed])
