#!/usr/bin/env python3
"""Starts the proxy repeatedly and measures the duration of each phase of its start and the processor time.

bench/starts.py FRONT [TIMES [LOADS]]: LOADS busy processes run in parallel. The endpoint list service answers; the
stores in its list refuse connections.
"""
import json, os, selectors, signal, socket, subprocess, sys, tempfile, threading, time

program, repetitions, load_processes = sys.argv[1], int((sys.argv[2:] or [100])[0]), int((sys.argv[3:] or [0])[0])
config = json.load(open(os.path.join(os.path.dirname(__file__), "..", "example", "config.json")))
service = socket.create_server(("127.0.0.1", 0), backlog=64)
list_json = json.dumps(config["known"] | {"version": 1}).encode()


def answer(client):
    with client:
        while client.recv(65536):
            client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(list_json) + list_json)
            time.sleep(0.2)


def serve():
    while True:
        threading.Thread(target=answer, args=(service.accept()[0],), daemon=True).start()


def start_proxy(path):
    start_time = time.monotonic()
    child = subprocess.Popen([program], env={"LB_CONFIG": path}, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL)
    durations, log, is_terminating = {}, b"", False
    with selectors.DefaultSelector() as ready:
        ready.register(child.stderr, selectors.EVENT_READ)
        while True:
            if not ready.select(20):
                child.send_signal(signal.SIGABRT)
                return durations | {"hung": 20.0}, log
            data = os.read(child.stderr.fileno(), 65536)
            if not data:
                break
            log += data
            for name, text in (("first line", b"\n"), ("listening", b"listening port="), ("ready", b"phase=serving")):
                if text in log:
                    durations.setdefault(name, time.monotonic() - start_time)
            if "ready" in durations and not is_terminating:
                is_terminating, terminated_at = True, time.monotonic()
                child.send_signal(signal.SIGTERM)
    _, status, usage = os.wait4(child.pid, 0)
    child.returncode = status
    durations["exit after SIGTERM"] = time.monotonic() - terminated_at if is_terminating else 20.0
    durations["processor time"] = usage.ru_utime + usage.ru_stime
    if status != 0 or not is_terminating:
        durations["hung"] = 20.0
    return durations, log


threading.Thread(target=serve, daemon=True).start()
config["discovery"], config["listen"] = "127.0.0.1:%d" % service.getsockname()[1], "127.0.0.1:0"
busy_processes = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(load_processes)]
durations_by_phase, hung = {}, 0
with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
    json.dump(config, file), file.flush()
    try:
        for _ in range(repetitions):
            durations, log = start_proxy(file.name)
            if "hung" in durations:
                hung += 1
                print("a start that hung or ended otherwise:", durations, log.decode(errors="replace"))
            for name, duration in durations.items():
                durations_by_phase.setdefault(name, []).append(duration * 1000)
    finally:
        for process in busy_processes:
            process.kill(), process.wait()
print("%d starts, %d busy processes beside: %d hung" % (repetitions, load_processes, hung))
for name, values in durations_by_phase.items():
    values.sort()
    print("%-20s median %7.1f  99 in 100 %7.1f  most %7.1f ms" % (name, values[len(values) // 2],
                                                              values[len(values) * 99 // 100], values[-1]))
