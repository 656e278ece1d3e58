"""The price of a decision: it must not grow with the calls that wait for the same function.

Counted in function calls of the interpreter, so that the result is the same on any machine.
"""

import sys

from bench import Drive

FEW, MANY = 20, 200
MAX_RATIO = 2.0  # the price with ten times the calls


def calls_of_one_arrival(waiting: int) -> int:
    """Function calls that the arrival of one more call takes, with so many that wait for the function."""
    driver = Drive()
    for number in range(waiting):
        driver.ask(f"r{number}")
    count = 0

    def count_call(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(count_call)
    try:
        driver.ask("one more")
    finally:
        sys.setprofile(None)
    return count


def test_one_more_call_costs_the_same_whatever_waits():
    assert calls_of_one_arrival(MANY) <= MAX_RATIO * calls_of_one_arrival(FEW)
