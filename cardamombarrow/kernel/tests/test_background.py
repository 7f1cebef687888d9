"""Background threads run again after an error."""

from cardamombarrow.kernel import background


def test_a_thread_that_fails_is_counted_and_run_again():
    # Guards against duties, orders or claims that nobody does any more after
    # one error, while the process goes on.
    runs = []

    def run():
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("endpoint")

    thread = background.supervised_thread(run, "fails-twice")
    thread.start()
    thread.join(timeout=30.0)
    assert not thread.is_alive()
    assert len(runs) == 3
    assert background.failure_counts()["fails-twice"] == 2
