"""Messages of the session parts on the logs of state. Values, checked as they come in.

A line has at most `WORDS_MOST` messages on migrations for the same readers, or a front end's status.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.migration import messages as m
from fawnwharf.zones.settings import Name

RIDER = "sessions"
WORDS_MOST = 64
READERS_MOST = 16  # named by one line; what is for more goes to all

Count = m.Count


class Hands(Struct, frozen=True, tag="hands"):
    """Messages on migrations."""

    words: Annotated[tuple[m.Message, ...], Meta(max_length=WORDS_MOST)]


class Answer(Struct, frozen=True):
    """The outcome of one move that operators asked for."""

    org: str
    row: str
    why: str
    site: str = ""  # where it is at home by the last word
    number: Count = 0
    over: bool = False


class Status(Struct, frozen=True, tag="status"):
    """A front end's status, for operators and for coordinators."""

    known: Count = 0  # sessions in use here
    elsewhere: Count = 0  # of these, at home at another site
    kept: Count = 0  # homes kept for the fleet
    keeps: bool = False
    sure: bool = False
    hands: Annotated[dict[str, Count], Meta(max_length=16)] = {}  # under way, by step
    draining: Annotated[dict[str, Count], Meta(max_length=64)] = {}  # sites that are emptied, what waits
    staged: Count = 0  # functions staged here for sessions to come
    counts: Annotated[dict[str, Count], Meta(max_length=96)] = {}
    ended: Annotated[dict[str, Count], Meta(max_length=96)] = {}  # hand-overs, by cause
    foreseen: Annotated[dict[str, Count], Meta(max_length=96)] = {}  # by foresight: ordered, used, in vain
    wish: Count = 0  # number of the last wishes taken
    drained: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()  # by operators' word
    answers: Annotated[tuple[Answer, ...], Meta(max_length=1_000)] = ()


Word = Hands | Status


def word_from(data: Any) -> Word:
    """Parse a message; raises msgspec.ValidationError for what no correct member sends."""
    return msgspec.convert(data, Word)
