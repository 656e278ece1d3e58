"""Messages of the session parts, gathered so that few lines go to the same readers."""

from typing import Any

from fawnwharf.migration import messages as m
from fawnwharf.sessions import words as w
from fawnwharf.sessions.effects import Words


class Outbox:
    """Owns the messages that wait, by their readers; urgent ones go at the end of the loop's iteration."""

    def __init__(self, state: Any) -> None:
        """`state` is the part whose logs carry the messages."""
        self._state = state
        self._waiting: dict[tuple[str, ...], list[m.Message]] = {}
        self.urgent: set[tuple[str, ...]] = set()  # readers whose messages are to go at once
        self._closed = False

    def add(self, effect: Words) -> None:
        """Queue a message."""
        words = self._waiting.setdefault(effect.to, [])
        words.append(effect.message)
        if effect.urgent or len(words) >= w.WORDS_MOST:
            self.urgent.add(effect.to)

    def hurry(self) -> None:
        """Make all that waits urgent."""
        self.urgent.update(self._waiting)

    def close(self) -> None:
        """Send nothing any more."""
        self._closed = True

    def flush(self) -> None:
        """Send what is urgent, in one line for the same readers."""
        urgent, self.urgent = self.urgent, set()
        for to in urgent:
            if (words := self._waiting.pop(to, None)) and not self._closed:
                self._send(to, words)

    def _send(self, to: tuple[str, ...], words: list[m.Message]) -> None:
        """What is for many readers is for all: only decided placements are."""
        parts = [to[n : n + w.READERS_MOST] for n in range(0, len(to), w.READERS_MOST)]
        if len(parts) > 1 and all(isinstance(word, m.Told) for word in words):
            parts = [()]
        for n in range(0, len(words), w.WORDS_MOST):
            said = w.Hands(tuple(words[n : n + w.WORDS_MOST]))
            for part in parts:
                self._state.send_message(w.RIDER, part, said)
