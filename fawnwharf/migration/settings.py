"""Settings of migrations. Durations are milliseconds of whoever counts them, shares parts of one."""

from typing import Annotated

from msgspec import Meta, Struct

Wait = Annotated[float, Meta(gt=0.0, le=3_600_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class Settings(Struct, frozen=True):
    """One value for a fleet: replicas count on coordinators' waits, so all have to use the same."""

    wait_ms: Wait = 300.0  # keepers' words count for so long after the ask, as grants of calls do
    again_ms: Wait = 400.0  # before what was not answered is said again
    tries: Annotated[int, Meta(ge=1, le=20)] = 4  # rounds of asking keepers, at each of the two steps
    stage_ms: Wait = 5_000.0  # for copies to stand and the context to be acknowledged
    give_up_ms: Wait = 5_000.0  # the longest give-up of any class: no call is under way for longer
    settle_ms: Wait = 15_000.0  # by then all is settled, or left to the next mover
    lapse_ms: Wait = 15_000.0  # what is staged and not used stands for so long
    still_ms: Wait = 60_000.0  # a session without a call for so long is over
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1  # by which clocks' rates may differ
    sessions: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # that a keeper or a front end knows
    unload: bool = True  # old copies are unloaded once nobody uses them; else they lapse

    @property
    def stretch(self) -> float:
        """By what a duration of one clock grows so that it is over by any other clock within the skew."""
        return 1.0 + 2.0 * self.skew

    @property
    def window_ms(self) -> float:
        """After this time every placement in use was reported again.

        Front ends do so each quarter of `still_ms`.
        """
        return (self.still_ms + self.wait_ms) * self.stretch


class DrainSettings(Struct, frozen=True):
    """How a zone is emptied, and how soon a session may move again."""

    at_once: Annotated[int, Meta(ge=1, le=10_000)] = 32  # hand-overs under way
    starts_per_s: Annotated[float, Meta(gt=0.0)] = 100.0  # new ones, of the fleet's fetches
    burst: Annotated[int, Meta(ge=1)] = 16
    least_left_ms: Wait = 2_000.0  # one that is likely to end sooner is left to end
    cost_ms: Wait = 400.0  # of a hand-over, as usual; above the time left to it, it does not begin
    dear: Annotated[float, Meta(ge=0.0)] = 1.0  # cost for worth: above that it is not worth moving
    dwell_ms: Wait = 10_000.0  # at a home before it may move again, but in haste
    dwell_most_ms: Wait = 160_000.0  # each return within `bounce_ms` doubles the dwell up to this
    bounce_ms: Wait = 60_000.0
    margin: Annotated[float, Meta(ge=0.0)] = 0.15  # by what a site has to be better, as a part of the worse
    tries: Annotated[int, Meta(ge=1, le=10)] = 3  # of one session, each to another site where there is one
    memory: Annotated[int, Meta(ge=1)] = 100_000  # sessions whose last moves are known
    within_ms: Wait = 30_000.0  # for a site to be emptied; what is left by then ends where it is
    per_unit: Annotated[float, Meta(gt=0.0)] = 200.0  # sessions from elsewhere that a unit of scorers takes
    cost: Annotated[float, Meta(ge=0.0)] = 0.02  # of a move, in the worth of a mean call
    sure: Share = 0.9  # a move that is expected with less chance is staged at the most
