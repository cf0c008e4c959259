"""Case 2: a few replies of the ledger are followed by a second copy. Each run must get the reply to its own call."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One caller for each of three members asks one request after another. A call takes 0.1 s, within the brief's range.
MEMBERS, EACH, LEDGER_S = ["sinar-grafika", "mitra-cetak", "karya-print"], 40, 0.1
# One reply in twenty is followed by a copy, 60 ms behind it.
COPY_EACH, COPY_AFTER_S = 20, 0.06


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
    copy_after = (lambda n: COPY_AFTER_S if n % COPY_EACH == 4 else None) if TROUBLE else None
    ledger = st.ledger(record, LEDGER_S, copy_after)
    port = st.free_port()
    conf = st.config("n1", port, agent.address, st.directory(record).address, ledger.address, st.cetak(), 3200)
    node = st.Process(site, "n1", conf, st.free_port())
    if not node.wait_ready():
        print("the node is not ready")
        return 2
    answers = []

    def ask_all(member):
        caller = st.Caller(port, record, "caller of " + member)
        for i in range(EACH):
            # A read of its own subject: no other request may share its result.
            token = "%s-order-%d" % (member, i)
            fields = st.fields(project=member, lookup=st.ref())
            n = caller.ask("quote", fields, b"10 1 " + token.encode())
            answers.append((token,) + caller.wait(n, 15)[:2])

    threads = [st.spawn(ask_all, member) for member in MEMBERS]
    limit = time.monotonic() + 90
    for t in threads:
        t.join(max(0.0, limit - time.monotonic()))
    served = [(token, result) for token, word, result in answers if word == "ok"]
    if len(answers) < len(MEMBERS) * EACH or len(served) < len(answers) // 2:
        print("%d requests of %d were served" % (len(served), len(answers)))
        return 2
    wrong, foreign = 0, 0
    for token, result in served:
        if result != ("done %s reply-to-%s-call1" % (token, token)).encode():
            wrong += 1
            foreign += ("reply-to-" + token.split("-order-")[0]).encode() not in result
            record.say("request %s was served with %r: the reply to another request's call" % (token, result))
    text = "%d of %d served requests got a result made with the reply to another request's call" % (wrong, len(served))
    text += ", %d of them another member's" % foreign
    record.say(text)
    print(text)
    return 1 if wrong else 0


st.run_case(main)
