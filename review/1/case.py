"""Case 1: the link to the render farm agent breaks behind a launch, and a notice on the new link arrives in pieces. A write
must run once."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRIALS = 12
# The time between the two pieces; the run takes 100 ms and so ends between them.
PIECES_APART_S = 0.18


def main():
    record = st.Record(os.path.join(HERE, "record.txt"))
    site = st.Site(record)
    try:
        return play(record, site)
    finally:
        site.close()
        record.close()


def play(record, site):
    agent = st.Agent(record)
    port = st.free_port()
    conf = st.config("n1", port, agent.address, st.directory(record).address, st.ledger(record).address, st.cetak(), 3200)
    node = st.Process(site, "n1", conf, st.free_port())
    if not node.wait_ready():
        print("the node is not ready")
        return 2
    target = {"ref": None, "link": None}

    def on_launch(agent, rid):
        # The link breaks at once; the launch has arrived and its run has started.
        if rid == target["ref"] and target["link"] is None:
            target["link"] = agent.links + 1
            agent.break_link()

    def on_sample(agent, number, tag, answer):
        # The answer to the first question on the new link comes in two pieces. The run ends between them.
        if target["link"] != number:
            return False
        target["link"] = 0
        with agent.lock:
            record.say("agent: answers sample %s, the first piece" % tag)
            agent.hold(number, answer[:12], answer[12:], PIECES_APART_S)
        return True

    if TROUBLE:
        agent.on_launch, agent.on_sample = on_launch, on_sample
    caller = st.Caller(port, record)
    broken = []
    for i in range(TRIALS):
        fields = st.fields(project="sinar-grafika")
        target.update(ref=fields["ref"], link=None)
        n = caller.ask("book-job", fields, b"100 0 job-%d" % i)
        word, result, _ = caller.wait(n, 10)
        time.sleep(0.4)
        runs = agent.runs_of(fields["ref"])
        record.say("trial %d: ref=%s answer=%s runs=%d" % (i, fields["ref"], word, runs))
        if word in ("late", "none"):
            record.say("trial %d: no answer" % i)
            broken.append(i)
        if runs > 1:
            broken.append(i)
    record.say("broken in %d of %d trials" % (len(set(broken)), TRIALS))
    print("broken in %d of %d trials" % (len(set(broken)), TRIALS))
    return 1 if broken else 0


st.run_case(main)
