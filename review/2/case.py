"""Case 2: the serving process stands still for a moment while the process that replaces it starts. A keyed write must run once
on the node, whichever of its two processes gets the tries."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRIALS = 4
# The serving process stands still until the new one is ready, which takes 0.8 s, and for so long at the most.
STILL_S = 1.5
WRITES = 6


def main():
    record = st.Record(os.path.join(HERE, "record.txt"))
    broken = 0
    for trial in range(TRIALS):
        site = st.Site(record)
        try:
            result = play(record, site, trial)
        finally:
            site.close()
        if result is None:
            return 2
        broken += result
    record.say("broken in %d of %d trials" % (broken, TRIALS))
    print("broken in %d of %d trials" % (broken, TRIALS))
    record.close()
    return 1 if broken else 0


def play(record, site, trial):
    """One replacement of the process. 1 if a write ran twice within its window, 0 if none did, None if it couldn't run."""
    port = st.free_port()
    lookup, ledger = st.directory(record), st.ledger(record)
    agents = [st.Agent(record, "agent of old"), st.Agent(record, "agent of new")]

    def start(name, agent):
        conf = st.config("n1", port, agent.address, lookup.address, ledger.address, st.tramites(), 3700)
        return st.Process(site, name, conf, st.free_port())

    record.say("trial %d" % trial)
    old = start("old", agents[0])
    if not old.wait_ready():
        print("the old process is not ready")
        return None
    time.sleep(0.3)
    # Writes that end well. Their callers' connections are reset before they have read the answers, so they try again.
    writes = []
    for i in range(WRITES):
        w = {"replay": st.replay(), "body": b"40 0 exp-%d-%d" % (trial, i)}
        writes.append(w)
        caller = st.Caller(port, record, "caller %d" % i)
        first = st.fields(replay=w["replay"], allow="10000")
        n = caller.ask("expediente", first, w["body"])
        word, result, _ = caller.wait(n, 8)
        w["first"] = (word, result)
        caller.reset()
    if any(w["first"][0] != "ok" for w in writes):
        print("a first try was not served: %s" % [w["first"] for w in writes])
        return None
    if TROUBLE:
        old.signal(signal.SIGSTOP)
    new = start("new", agents[1])
    is_ready = new.wait_ready(STILL_S if TROUBLE else 6)
    if TROUBLE:
        old.signal(signal.SIGCONT)
    if not (is_ready or new.wait_ready(6)):
        print("the new process is not ready")
        return None
    time.sleep(0.5)
    old.signal(signal.SIGTERM)
    # The platform kills the old process 3.7 s after the notice; it ends before that by itself.
    record.say("the old process ended with status %s" % old.ended(3.7))
    # The further tries come within the window, to the node's one address.
    tries = []
    for i, w in enumerate(writes):
        caller = st.Caller(port, record, "caller %d again" % i)
        again = st.fields(replay=w["replay"], allow="10000", dup="1")
        tries.append((caller, caller.ask("expediente", again, w["body"])))
    for (caller, n), w in zip(tries, writes):
        w["again"] = caller.wait(n, 9)[0]
    twice = 0
    for w in writes:
        runs = [sum(1 for _, _, body in a.starts if body == w["body"]) for a in agents]
        record.say("write %s: answers %s, %s; runs by the old process %d, by the new %d" % (
            w["replay"], w["first"][0], w["again"], runs[0], runs[1]))
        twice += sum(runs) > 1
    record.say("trial %d: %d of %d writes ran twice within their window" % (trial, twice, WRITES))
    return 1 if twice else 0


st.run_case(main)
