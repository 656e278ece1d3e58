"""What a process knows of numbers and ids goes over to the process that replaces it."""

import pytest
from processes import Site

CALL_ID = "00c0ffee00c0ffee"


@pytest.fixture
def site():
    made = Site(scorers=2)
    yield made
    made.close()


def replaced(site):
    """Replace the process; the clients' idle connections go over."""
    old = site.processes[-1]
    new = site.begin()
    site.until_ready(new)
    site.end(old)
    return new


def asked(site, caller, seqid=None, body=b"", **fields):
    """Make a call, under another number where one is given; returns the kind of its answer."""
    if seqid is not None:
        caller.seqid = seqid - 1
    caller.ask(before=body, **fields)
    number = caller.seqid
    before = caller.seen[number]
    site.until(lambda: caller.seen[number] > before or caller.ended, "it is answered")
    return caller.kinds().get(number) if caller.seen[number] > before else "closed"


def runs(site):
    return sum(frame.id.hex() == CALL_ID for scorer in site.scorers for _, frame in scorer.runs)


def test_numbers_go_on_over_a_replacement(site):
    site.until_ready(site.begin())
    caller = site.served()
    site.served(caller)
    replaced(site)
    assert asked(site, caller) == "answer"
    assert asked(site, caller, seqid=10) == "answer"


@pytest.mark.parametrize("seqid", [1, 2])
def test_a_number_that_the_old_process_answered_is_not_used_again(site, seqid):
    site.until_ready(site.begin())
    caller = site.served()
    site.served(caller)
    replaced(site)
    assert asked(site, caller, seqid=seqid) == "closed"


@pytest.mark.parametrize("op", ["view", "settle"])
def test_an_id_with_another_content_is_refused_by_the_new_process(site, op):
    site.until_ready(site.begin())
    assert asked(site, site.caller(op=op), body=b"first", call=CALL_ID) == "answer"
    replaced(site)
    assert asked(site, site.caller(op=op), body=b"another", call=CALL_ID) == "exception"
    assert runs(site) == 1


def test_what_ran_at_the_old_process_and_must_not_run_twice_fails_at_the_new_one(site):
    site.until_ready(site.begin())
    first = site.caller(op="settle")
    frame = first.frame(call=CALL_ID)
    first.sock.sendall(frame)
    site.until(lambda: first.seen[1], "it is answered")
    replaced(site)
    again = site.caller(op="settle")
    again.bodies = dict(first.bodies)
    again.sock.sendall(frame)  # the same content, on another connection
    site.until(lambda: again.seen[1], "the repeat is answered")
    assert again.kinds() == {1: "broken"}
    assert runs(site) == 1


def test_a_retry_with_a_new_id_under_its_key_is_served_by_the_new_process(site):
    site.until_ready(site.begin())
    assert asked(site, site.caller(op="save"), dedupe="key-1") == "answer"
    replaced(site)
    assert asked(site, site.caller(op="save"), dedupe="key-1") == "answer"
