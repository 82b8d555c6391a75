#!/usr/bin/env python3
"""Credit that the servers of a service allow during a shortage, as a share of the credit asked for.

Serves the most urgent class first and the others with the capacity that is left, without any
queueing, rejects or delays, so it is an upper bound for the days deploy/days/shortage-*.toml.

    shortage-bound.py --slots 240 --lost 0.3 --lost-from 5 --lost-to 14 \
        --class urgent:325:72:2:6:12:3 --class feeds:1138:55:1:6:12:3 --length 24

A class is NAME:REQUESTS_PER_S:WORK_MS:CREDIT:BURST_FROM_S:BURST_TO_S:BURST_FACTOR, the most urgent
first; work is that of a server of the usual speed.
"""
import argparse


def parse_class(text):
    name, *numbers = text.split(":")
    return (name, *map(float, numbers))


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--slots", type=float, required=True, help="slots of all servers of the service")
    p.add_argument("--lost", type=float, default=0, help="share of the slots that is lost")
    p.add_argument("--lost-from", type=float, default=0, help="seconds")
    p.add_argument("--lost-to", type=float, default=0, help="seconds")
    p.add_argument("--length", type=float, default=24, help="length of the day in seconds")
    p.add_argument("--class", dest="classes", action="append", type=parse_class, required=True)
    a = p.parse_args()
    step = 0.1
    asked, served = {c[0]: 0.0 for c in a.classes}, {c[0]: 0.0 for c in a.classes}
    t = 0.0
    while t < a.length:
        free = a.slots * (1 - (a.lost if a.lost_from <= t < a.lost_to else 0))
        for name, rate, work_ms, credit, start, end, factor in a.classes:
            needed = rate * (factor if start <= t < end else 1) * work_ms / 1000
            used = min(needed, free)
            free -= used
            asked[name] += step * credit * needed * 1000 / work_ms
            served[name] += step * credit * used * 1000 / work_ms
        t += step
    for name in asked:
        print(f"{name:12} {served[name] / asked[name]:.3f}")
    print(f"{'all':12} {sum(served.values()) / sum(asked.values()):.3f}")


if __name__ == "__main__":
    main()
