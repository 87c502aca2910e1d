#!/usr/bin/env python3
"""Starts the front again and again and tells how long each step takes, and the processor time of it all.

bench/starts.py FRONT [TIMES [LOADS]]: LOADS busy processes run beside it. The list's service answers, its stores refuse.
"""
import json, os, selectors, signal, socket, subprocess, sys, tempfile, threading, time

front, times, loads = sys.argv[1], int((sys.argv[2:] or [100])[0]), int((sys.argv[3:] or [0])[0])
config = json.load(open(os.path.join(os.path.dirname(__file__), "..", "example", "config.json")))
service = socket.create_server(("127.0.0.1", 0), backlog=64)
roster = json.dumps(config["known"] | {"version": 1}).encode()


def answer(client):
    with client:
        while client.recv(65536):
            client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(roster) + roster)
            time.sleep(0.2)


def serve():
    while True:
        threading.Thread(target=answer, args=(service.accept()[0],), daemon=True).start()


def start(path):
    begun = time.monotonic()
    child = subprocess.Popen([front], env={"LB_CONFIG": path}, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL)
    at, log, told = {}, b"", False
    with selectors.DefaultSelector() as ready:
        ready.register(child.stderr, selectors.EVENT_READ)
        while True:
            if not ready.select(20):
                child.send_signal(signal.SIGABRT)
                return at | {"hung": 20.0}, log
            got = os.read(child.stderr.fileno(), 65536)
            if not got:
                break
            log += got
            for name, word in (("first line", b"\n"), ("listening", b"listening port="), ("ready", b"phase=serving")):
                if word in log:
                    at.setdefault(name, time.monotonic() - begun)
            if "ready" in at and not told:
                told, asked = True, time.monotonic()
                child.send_signal(signal.SIGTERM)
    _, status, used = os.wait4(child.pid, 0)
    child.returncode = status
    at["exit after SIGTERM"] = time.monotonic() - asked if told else 20.0
    at["processor time"] = used.ru_utime + used.ru_stime
    if status != 0 or not told:
        at["hung"] = 20.0
    return at, log


threading.Thread(target=serve, daemon=True).start()
config["discovery"], config["listen"] = "127.0.0.1:%d" % service.getsockname()[1], "127.0.0.1:0"
busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(loads)]
seen, bad = {}, 0
with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
    json.dump(config, file), file.flush()
    try:
        for _ in range(times):
            at, log = start(file.name)
            if "hung" in at:
                bad += 1
                print("a start that hung or ended otherwise:", at, log.decode(errors="replace"))
            for name, took in at.items():
                seen.setdefault(name, []).append(took * 1000)
    finally:
        for b in busy:
            b.kill(), b.wait()
print("%d starts, %d busy processes beside: %d hung" % (times, loads, bad))
for name, all_of in seen.items():
    all_of.sort()
    print("%-20s median %7.1f  99 in 100 %7.1f  most %7.1f ms" % (name, all_of[len(all_of) // 2],
                                                              all_of[len(all_of) * 99 // 100], all_of[-1]))
