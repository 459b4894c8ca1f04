"""A model engine with continuous batching, chunked prefill and a KV cache."""

import collections
from typing import NamedTuple

from buckthorntack import dispatch


class EngineFigures(NamedTuple):
    """Speeds and sizes of an engine.

    The defaults are those of an engine of 12 slots with a bf16 model of 8
    billion parameters, as its operator states them.
    """

    slots: int = 12
    #: Requests that may wait; more are refused as not run.
    queue: int = 25
    memory_tokens: int = 347_469
    #: Time of one step of decoding, for all streams together.
    step_ms: float = 3.29
    #: Added to a step for each 1,000 tokens in memory of running requests.
    context_ms_per_thousand: float = 0.0262
    prefill_tokens_per_ms: float = 93.0
    #: Attention: time for a million pairs of a new and an earlier token.
    pairs_ms_per_million: float = 0.442
    #: Prompt tokens that are read between two tokens of the streams.
    chunk_tokens: int = 2048
    #: Time before a request is admitted.
    setup_ms: float = 80.0
    event_tokens: int = 10


class Run:
    """One request at an engine.

    :param name: its id.
    :param prompt: ``dispatch.Prompt``.
    :param output_tokens: tokens that it will generate.
    :param priority: 0 is the most urgent.
    """

    __slots__ = (
        "cached_tokens",
        "event_times_ms",
        "generated_tokens",
        "name",
        "output_tokens",
        "priority",
        "prompt",
        "ready_ms",
        "unread_tokens",
    )

    def __init__(self, name, prompt, output_tokens, priority):
        self.name = name
        self.prompt = prompt
        self.output_tokens = output_tokens
        self.priority = priority
        self.ready_ms = 0.0
        self.cached_tokens = 0
        self.unread_tokens = 0
        self.generated_tokens = 0
        self.event_times_ms = []

    @property
    def held_tokens(self):
        """Tokens that it keeps in memory now."""
        read = self.prompt.tokens - self.unread_tokens
        return read + self.generated_tokens


class Engine:
    """One engine.

    :param figures: the :class:`EngineFigures`.
    """

    def __init__(self, figures):
        self.figures = figures
        self.cache = dispatch.PrefixCache(figures.memory_tokens)
        self.running = []
        self.waiting = collections.deque()
        self.tokens_read = 0
        #: Multiple of the nominal speed.
        self.speed = 1.0
        self.preempted = 0
        #: Requests that may wait beyond the free slots; None for as many as
        #: its queue holds.
        self.waiting_limit = None

    def submit(self, run, now_ms):
        """Take a request.

        :param run: the :class:`Run`.
        :param now_ms: virtual time.
        :returns: whether there was room for it.
        """
        present = len(self.running) + len(self.waiting)
        limit = self.waiting_limit
        if limit is not None and present >= self.figures.slots + limit:
            return False
        if len(self.waiting) >= self.figures.queue:
            return False
        run.ready_ms = now_ms + self.figures.setup_ms / self.speed
        self.waiting.append(run)
        return True

    def cancel(self, run):
        """End a request whose client has left.

        :param run: the :class:`Run`.
        """
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    def _admit(self, now_ms):
        while True:
            ready = [run for run in self.waiting if run.ready_ms <= now_ms]
            if not ready:
                return
            first = min(ready, key=lambda run: (run.priority, run.ready_ms))
            is_full = len(self.running) >= self.figures.slots
            if is_full or not self._has_memory(first):
                if not self._preempts(first):
                    return
                continue
            self.waiting.remove(first)
            cached = self.cache.cached_tokens(first.prompt.parts)
            first.unread_tokens = max(1, first.prompt.tokens - cached)
            self.cache.add_prompt(first.prompt.parts)
            self.running.append(first)

    def _preempts(self, first):
        """Put the newest of the least urgent requests back, if it is less so.

        What it generated is kept; its prompt and that are read in again.
        """
        if not self.running:
            return False
        last = max(
            enumerate(self.running), key=lambda p: (p[1].priority, p[0])
        )
        run = last[1]
        if run.priority <= first.priority:
            return False
        self.running.remove(run)
        self.waiting.append(run)
        self.preempted += 1
        return True

    def _has_memory(self, run):
        held = sum(other.held_tokens for other in self.running)
        need = run.prompt.tokens + run.output_tokens
        return not self.running or held + need <= self.figures.memory_tokens

    def next_ms(self, now_ms):
        """When the next step may begin; None if there is nothing to do.

        :param now_ms: virtual time.
        """
        if self.running:
            return now_ms
        if not self.waiting:
            return None
        return max(now_ms, min(run.ready_ms for run in self.waiting))

    def step(self, now_ms):
        """Make one step: a chunk of prompts and a token for each stream.

        :param now_ms: virtual time at which it begins.
        :returns: time at its end, runs that produced an event and runs that
            have ended.
        """
        self._admit(now_ms)
        took_ms, decoding = self._read_prompts()
        figures = self.figures
        held = sum(run.held_tokens for run in self.running)
        took_ms += figures.step_ms
        took_ms += held / 1000.0 * figures.context_ms_per_thousand
        end_ms = now_ms + took_ms / self.speed
        told, ended = [], []
        for run in decoding:
            run.generated_tokens += 1
            last = run.generated_tokens >= run.output_tokens
            if last or run.generated_tokens % figures.event_tokens == 0:
                run.event_times_ms.append(end_ms)
                told.append(run)
            if last:
                ended.append(run)
        for run in ended:
            self.running.remove(run)
        return end_ms, told, ended

    def _read_prompts(self):
        """Read one chunk.

        :returns: time that it takes, and the runs that get a token.
        """
        figures = self.figures
        room = figures.chunk_tokens
        took_ms = 0.0
        decoding = []
        for run in self.running:
            if run.unread_tokens and room:
                count = min(room, run.unread_tokens)
                before = run.prompt.tokens - run.unread_tokens
                pairs = count * (before + count / 2.0) / 1e6
                took_ms += count / figures.prefill_tokens_per_ms
                took_ms += pairs * figures.pairs_ms_per_million
                run.unread_tokens -= count
                room -= count
                self.tokens_read += count
            if not run.unread_tokens:
                decoding.append(run)
        return took_ms, decoding
