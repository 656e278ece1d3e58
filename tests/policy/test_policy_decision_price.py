"""The price of a decision: it must not grow with the calls that wait for the same function.

Counted in function calls of the interpreter, so that the result is the same on any machine.
"""

import sys

from bench import Drive

FEW, MANY = 20, 200
MOST_TIMES = 2.0  # the price with ten times the calls


def price_with(waiting: int) -> int:
    """Function calls that the arrival of one more call takes, with so many that wait for the function."""
    drive = Drive()
    for number in range(waiting):
        drive.ask(f"r{number}")
    count = 0

    def note(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(note)
    try:
        drive.ask("one more")
    finally:
        sys.setprofile(None)
    return count


def test_one_more_call_costs_the_same_whatever_waits():
    assert price_with(MANY) <= MOST_TIMES * price_with(FEW)
