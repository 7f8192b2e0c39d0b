"""Prompt parts of a soak: sound requests share them, and some crash each server that reads them."""

from __future__ import annotations

import asyncio
import collections
import random
import time

from ringseam.calls import ClientRequest, PromptPart
from ringseam.platform.example import HOST, KEY, STAGED_PATH
from ringseam.platform.requests import decode_request, encode_request

PART_FAULTS = ('part', 'part')
#: Parts whose names begin so crash a server as it begins a response, some after its first event.
CRASHING_PART = 'dead'
CRASHING_AFTER_EVENT = 'deadbeef'
SHARED_PART = '5eed'
PART_TOKENS = 100
#: How long requests with one such part come, seconds, and how often.
SERIES_S = (5.0, 15.0)
REPEAT_S = 0.25
#: The platform's figures: after so many crashes under a part, no more than so many requests
#: with it are sent later than this, seconds; sound requests are served half as often at least
#: from this long after the last of these crashes on, seconds.
CRASHES = 5
SENDS_LATER = 3
CONTACT_S = 3.0
SOUND_FROM_S = 2 * CONTACT_S
#: Requests on each side from which on shares are compared.
COUNTED = 20


def prompt_of(number):
    """Return the prompt of a sound request: two shared parts and one of its own."""
    names = (SHARED_PART, f'{number % 3}ab', f'f{number:x}')
    return tuple(PromptPart(name=name, tokens=PART_TOKENS) for name in names)


def crashing_part_of(request):
    """Return the part of a request's prompt that crashes servers; empty: it has none."""
    parts = (part.name for part in decode_request(request).prefix)
    return next((name for name in parts if name.startswith(CRASHING_PART)), '')


class PartClients:
    """Clients whose requests are all different and share a part that crashes servers."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.dice = random.Random(f'parts of {seed}')
        #: When a series of each part began and ended.
        self.series = {}
        #: Start and outcome of the sound requests that share the other parts.
        self.sound = []
        self.number = 0

    @property
    def is_running(self):
        return any(ended_at == float('inf') for _, ended_at in self.series.values())

    async def run(self, call):
        """Send one series of requests.

        :param call: sends a request; see :func:`bench.soak.call`.
        """
        head = CRASHING_AFTER_EVENT if self.dice.randrange(2) else CRASHING_PART
        part = f'{head}{len(self.series)}'
        series = self.series[part] = [time.monotonic(), float('inf')]
        until = series[0] + self.dice.uniform(*SERIES_S)
        while time.monotonic() < until and not self.soak.ending:
            status = await self.ask(part, call)
            self.soak.book.told['part', status] += 1
            self.soak.book.check(status != 200, f'MIXED a request with {part} was served')
            await asyncio.sleep(REPEAT_S)
        series[1] = time.monotonic()

    async def ask(self, part, call):
        self.number += 1
        name = f'part{self.number}'
        prompt = list(prompt_of(self.number))
        # The last part of a prompt is the request's own.
        prompt.insert(self.dice.randrange(len(prompt)), PromptPart(name=part, tokens=PART_TOKENS))
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path=STAGED_PATH,
            time_left_s=3,
            key=KEY,
            prefix=tuple(prompt),
            pieces=(3,),
            piece_key=name,
        )
        headers = [*encode_request(request), ('Accept', 'text/event-stream')]
        host = self.soak.address(self.soak.a_gateway(self.dice))
        status, _ = await call(host, 'POST', request.path, name.encode(), headers)
        return status

    def record_sound(self, started_at, *, served):
        self.sound.append((started_at, served))

    def check(self):
        """Check what each part cost, and that the sound requests beside it were served."""
        book = self.soak.book
        for part, (_, ended_at) in self.series.items():
            crashes = sorted(book.ending_ended.get(part, ()))[:CRASHES]
            if len(crashes) == CRASHES:
                later = [at for at in book.ending_sent[part] if at > crashes[-1] + CONTACT_S]
                count = len(book.ending_ended[part])
                detail = f'BUDGET {part}: {len(later)} sends later, {count} ended'
                book.check(len(later) <= SENDS_LATER, detail)
            if crashes:
                self.check_sound(part, crashes[-1] + SOUND_FROM_S, ended_at)

    def check_sound(self, part, since, until):
        counts = collections.Counter(
            (since < started_at < until, served) for started_at, served in self.sound
        )
        beside, before = (
            counts[inside, True] / max(1, counts[inside, True] + counts[inside, False])
            for inside in (True, False)
        )
        if counts[True, True] + counts[True, False] >= COUNTED:
            detail = f'LOST beside {part}: {beside:.2f} of the sound requests, else {before:.2f}'
            self.soak.book.check(beside >= before / 2, detail)
