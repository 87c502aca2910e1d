"""Later pages of a bounded read while the replicas apply the log slowly. See claim.txt."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standin  # noqa: E402

# mandal-usage-db: usage-view may be 200 ms old, and what counts on sockets is 50 ms more.
BOUND_S, SLACK_S = 0.2, 0.05
MEMBERS = 5                    # "A bank has about 5 to 7 members."
SHIP_S = 0.008                 # "A replica gets the log after 2.1 to 15 ms"
APPLY_USE = 0.55               # "one thread, which is busy 48 to 62% of the time"
SLOWER, SLOW_FOR_S = 12, 12.0  # "3.5 to 16 times more slowly for 9.7 to 21 s"
REPORT_S = 0.15                # reports are "refreshed every 110 to 250 ms"
QUIET_S, AFTER_S = 3.0, 2.0
PAGES = 3
PAGE_GAP_S = 0.3               # the client's pause between two pages

SETTINGS = {
    "classes": [
        {"name": "usage-view", "repeat": "repeatable", "slo": 600000, "deadline": 2500000, "worth": 2.0,
         "late_worth": 0.0},
        {"name": "usage-filing", "repeat": "by_key", "key_scope": "cell", "repeat_window": 5000000,
         "slo": 600000, "deadline": 5000000, "worth": 4.0, "late_worth": 0.5},
    ],
    "extra": {"read_level": ["lag_bound", "mutate"], "lag_allowed": [200000, 0], "origin_time": 0,
              "role_in_list": "trailing", "answers_stamped": True, "checks": "none", "tokens": "kept",
              "report_x0": "position_in_seconds_after_zero", "report_x1": "1_from_a_primary"},
    "failure_domains": ["ahmedabad"],
    "siblings": 3,
    "tick": 5000,
    "membership_mode": "automatic",
    "report": {"fields": ["x0", "x1"], "how": "probe"},
    "limits": {"connect_timeout": 250000, "keepalive": 15000000, "max_attempts": 6,
               "max_retry_after": 2000000, "may_cancel": True, "parallel_tries": True, "probes": True,
               "retry_after": True},
    "obligations": {"ask_every": 10000000, "cold_from": 0.21, "fall_multiple": 4, "ramp_time": 18000000,
                    "tip_after": 1500000, "stop_sending_within": 1000000, "grace_to_answer": 20000},
    "prices": {"probe": 0.04},
    "realms": [],
}

# The door for Cassandra's protocol; stores tell in it what they tell in PostgreSQL's.
HCL = """
cassandra {
  listen = "127.0.0.1:CQL_PORT"
  probes = true
  map {
    keyspace = "weather"
    kinds    = ["read"]
    workload = "usage-view"
    group    = 1
  }
  map {
    keyspace = "weather"
    kinds    = ["write"]
    workload = "usage-filing"
    group    = 1
  }
}
"""


class Bank:
    """A primary and its replicas. A store's data is told by its position: the time up to which it has all
    commits. A row's value is the position at which it was read."""

    def __init__(self, record):
        self.record = record
        self.stores = [standin.CqlStore(self, "host-%d" % n) for n in range(MEMBERS)]
        self.slow_from = self.slow_until = None
        self.reports = {}
        self.served = {}  # statement id -> (store, age of its data when the statement had arrived)

    async def start(self):
        for store in self.stores:
            await store.start()

    def is_primary(self, store):
        return store is self.stores[0]

    def position(self, store, at):
        """A replica applies the log with one thread; while that is slow it falls behind, then catches up."""
        if self.is_primary(store):
            return at
        if self.slow_from is None or at < self.slow_from:
            return at - SHIP_S
        rate = 1 / (APPLY_USE * SLOWER)
        begun = self.slow_from - SHIP_S
        if at < self.slow_until:
            return begun + rate * (at - self.slow_from)
        reached = begun + rate * (self.slow_until - self.slow_from)
        return min(at - SHIP_S, reached + (at - self.slow_until) / APPLY_USE)

    def usage(self, store):
        at, report = self.reports.get(store.name, (0, ""))
        if time.time() - at >= REPORT_S:
            at = time.time()
            report = "x0=%.6f,x1=%d" % (self.position(store, at), self.is_primary(store))
            self.reports[store.name] = (at, report)
        return report

    async def answer(self, store, statement):
        position = self.position(store, statement.arrived)
        age = statement.arrived - position
        name = statement.payload.get("id", "?")
        page = int(statement.page or b"1")
        self.record.line("%s runs %s page %d, data %.0f ms old" % (store.name, name, page, age * 1000))
        await asyncio.sleep(0.03)
        told = {"server_role": "writer" if self.is_primary(store) else "reader",
                "commit_clock": str(int(position * 1000))}
        if statement.is_write():
            if not self.is_primary(store):
                told["turned"] = "role"
                return told, standin.ERROR, standin.error_body(0x1000, "no primary", b"\0\1\0\0\0\1\0\0\0\0")
            return told, standin.RESULT, standin.VOID_BODY
        self.served[name] = (store.name, age)
        pages = PAGES if "paged" in statement.text else 1
        following = str(page + 1).encode() if page < pages else None
        return told, standin.RESULT, standin.rows_body("%.0f" % (position * 1000), following)


async def case(record, trouble):
    bank = Bank(record)
    await bank.start()
    entries = [{"id": store.name, "addr": "127.0.0.1:%d" % store.port,
                "addrs": {"cassandra": "127.0.0.1:%d" % store.port}, "zone": "ahmedabad", "kind": "five-core",
                "cell": 1, "state": "up", "weight": 1.0, "started_ms": 0,
                "access": "writer" if bank.is_primary(store) else "reader"} for store in bank.stores]
    discovery = standin.EndpointListServer(entries)
    await discovery.start()
    front = standin.Front(record, "n1", discovery.port, discovery.known(), SETTINGS, HCL)
    await front.start()
    broken, counts, tasks = [], {"first": 0, "later": 0, "failed": 0}, []
    try:
        await front.ready()
        client = await standin.CqlClient.connect(front.cql_port)
        begun = time.time()
        number = 0

        async def ask(text, fields, kind, page=None):
            nonlocal number
            number += 1
            name = "%s-%d" % (kind, number)
            payload = dict(fields, id=name, d="5000" if kind == "write" else "2500", cluster="1")
            asked = client.ask(text, payload, page_size=100 if kind != "write" else None, page=page)
            answer = await asyncio.wait_for(asked, 3.5)
            if answer.value is None:
                counts["failed"] += kind != "write"
                record.line("%s was answered with %s" % (name, answer))
                return answer
            if kind == "write":
                return answer
            counts[kind] += 1
            store, age = bank.served[name]
            record.line("%s was answered from %s, data %.0f ms old" % (name, store, age * 1000))
            if age > BOUND_S + SLACK_S:
                broken.append("%s was answered by %s from data that was %.0f ms old when it arrived there; "
                              "usage-view allows 200 ms" % (name, store, age * 1000))
            return answer

        async def paged():
            text = "SELECT payload FROM weather.paged WHERE ref = 'a'"
            answer = await ask(text, {"c": "usage-view"}, "first")
            while answer.next_page is not None:
                await asyncio.sleep(PAGE_GAP_S)
                answer = await ask(text, {"c": "usage-view"}, "later", answer.next_page)

        async def single():
            await ask("SELECT payload FROM weather.entries WHERE ref = 'b'", {"c": "usage-view"}, "first")

        async def write(key):
            await ask("INSERT INTO weather.entries (ref, payload) VALUES ('b', 'x')",
                      {"c": "usage-filing", "k": key, "session": key}, "write")

        if trouble:
            bank.slow_from, bank.slow_until = begun + QUIET_S, begun + QUIET_S + SLOW_FOR_S
            record.line("the replicas apply the log %d times more slowly from %.3f s on, for %.1f s"
                        % (SLOWER, bank.slow_from - record.begun, SLOW_FOR_S))
        step = 0
        while time.time() < begun + QUIET_S + SLOW_FOR_S + AFTER_S:
            tasks.append(asyncio.ensure_future(single()))
            if step % 4 == 0:
                tasks.append(asyncio.ensure_future(paged()))
            if step % 10 == 0:
                tasks.append(asyncio.ensure_future(write("%016x" % step)))
            step += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        client.close()
    finally:
        await front.end()
    record.say("answered with a row: %d first pages, %d later pages; other answers to reads: %d"
               % (counts["first"], counts["later"], counts["failed"]))
    if not counts["later"]:
        raise standin.CannotRun("no later page was answered")
    late = sum(line.startswith("later-") for line in broken)
    record.say("answers from data older than the bound: %d first pages, %d later pages"
               % (len(broken) - late, late))
    return broken


standin.main(case, FOLDER)
