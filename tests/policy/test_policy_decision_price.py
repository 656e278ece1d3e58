"""The cost of a decision must not grow with the number of calls queued for the same function.

The cost is counted in Python function calls, so that the result is the same on any machine.
"""

import sys

from bench import Drive

FEW, MANY = 20, 200
MAX_RATIO = 2.0  # of the cost with ten times as many queued calls


def calls_of_one_arrival(waiting: int) -> int:
    """The number of Python function calls for one arrival, with `waiting` calls queued for the function."""
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
