"""Completes messages on migrations with what this front end knows of their sessions. Pure."""

from msgspec.structs import replace

from fawnwharf.migration import messages as m
from fawnwharf.session_types import Session
from fawnwharf.sessions.known import Known, copies
from fawnwharf.sessions.moves import Moves


def filled(now_ms: float, message: m.Message, known: Known, moves: Moves, number: int) -> m.Message:
    """A message to be sent, with what is known of its session where it has room for that.

    `number` is that of the list of members.
    """
    if isinstance(message, m.Met):
        return replace(message, facts=known.facts(now_ms, message.home.session))
    if isinstance(message, m.Receive):
        return replace(message, facts=known.best(now_ms, message.session))
    if isinstance(message, m.Piece):
        held = tuple(replace(one, away=moves.source(one.session)) for one in message.held)
        return replace(message, held=held)
    if isinstance(message, m.MayLetGo):
        return replace(message, list=number)
    return message


def context_of(
    now_ms: float, session: Session, known: Known, spent: tuple[tuple[str, int], ...]
) -> m.Context:
    """The context of a session, as this front end saw it; `spent` is what it counted of the quota."""
    facts = known.facts(now_ms, session)
    return m.Context(facts.rate if facts else 0.0, copies(facts), spent)


def with_copies(now_ms: float, given: m.Given, known: Known) -> m.Given:
    """A received context, with as many copies as the calls known here need."""
    more = max(given.context.copies, copies(known.best(now_ms, given.session)))
    return replace(given, context=replace(given.context, copies=more))
