#!/usr/bin/env python3
"""Plays random days on the bench: the trials of part one that found no fault.

Usage: trials.py BENCH SITE_FILE REPOSITORY OUT FIRST COUNT [mixed]

BENCH is the bench's program and REPOSITORY a scratch copy of this repository, whose journal gets the
entries. The day of each number from FIRST on is written to OUT with its report. The days draw from
all kinds and variants that the bench lists for the site. With "mixed" they are longer, have more
entries and mostly end with a final fault.
"""
import json
import os
import random
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

ZONES = {"mandi-lb": ["pkc-a", "pkc-b", "pkc-c"], "falzwerk-lb": ["halle-a", "halle-b", "halle-c", "qs-labor"]}
JOBS = 7


def between(r, low, high):
    return round(r.uniform(low, high), 2)


def fault(r, site):
    zone = r.choice(ZONES[site])
    kinds = [
        lambda: dict(kind="node_kill", share=between(r, .1, .35), for_s=between(r, 1, 3.5), how=r.choice(["", "power", "meet", "drain meet"])),
        lambda: dict(kind="node_kill", on="core", count=1, for_s=between(r, 1, 3.5), how=r.choice(["leader", "power leader", "leader race drain", "meet drain"])),
        lambda: dict(kind="herd_kill", share=r.choice([.55, .6, 1.0]), for_s=between(r, .5, 2), how=r.choice(["", "power"])),
        lambda: dict(kind="zone_cut", zone=zone, for_s=between(r, 1, 6), how=r.choice(["", "reset", "refuse", "drop", "meet", "refuse meet", "reset meet"])),
        lambda: dict(kind="core_cut", count=1, for_s=between(r, 1, 5.5), how=r.choice(["", "reset", "refuse", "all", "near", "one_way", "seeds", "both", "lure", "relieve", "leader race", "all refuse", "split"])),
        lambda: dict(kind="node_cut", share=r.choice([.17, .35]), for_s=between(r, 1, 12), how=r.choice(["", "all", "servers", "reset", "refuse", "all refuse", "servers refuse", "servers reborn", "meet", "all meet"])),
        lambda: dict(kind="platform_down", for_s=between(r, .5, 4.9), how=r.choice(["silent", "busy", "reset", "silent lapse", "busy lapse", "reset lapse"])),
        lambda: dict(kind="platform_down", for_s=between(r, .5, 4), x=between(r, 1, 9), how="restored"),
        lambda: dict(kind="platform_down", for_s=between(r, 2, 9), share=.35, how="nodes " + r.choice(["busy", "many", "reset", "", "leader"]) + r.choice([" revoke", " meet", " revoke meet", ""])),
        lambda: dict(kind="platform_slow", x=60, for_s=4.5),
        lambda: dict(kind="platform_lost", x=.35, for_s=4.5, how=r.choice(["", "late"])),
        lambda: dict(kind="platform_compact", x=between(r, 1, 6), for_s=between(r, 3, 13), how=r.choice(["", "drain"])),
        lambda: dict(kind="replace_with_reuse", share=between(r, .1, .25), how=r.choice(["", "dark"])),
        lambda: dict(kind="after_ack_kill", for_s=between(r, 1, 3), how=r.choice(["", "kill", "timed"])),
        lambda: dict(kind="zone_loss", zone=zone),
        lambda: dict(kind="clock_step", x=2000, share=.3, for_s=between(r, 2, 6), how=r.choice(["", "back", "ahead"])),
        lambda: dict(kind="reset_conns", share=between(r, .1, 1), x=between(r, .5, 1)),
        lambda: dict(kind="node_slow", share=.15, x=5.5, for_s=5.5),
        lambda: dict(kind="node_freeze", on="core", count=r.choice([1, 2]), for_s=between(r, .3, 4)),
    ]
    if site == "mandi-lb":
        kinds += 2 * [lambda: dict(kind="cold_return", zone=zone, for_s=between(r, .5, 4.5), how=r.choice(["", "dark"]))]
        kinds += [
            lambda: dict(kind="one_way", zone=zone, for_s=between(r, 1, 5.5), how=r.choice(["", "all", "all in"])),
            lambda: dict(kind="srv_slow", share=.16, x=5, for_s=6.5),
        ]
    return r.choice(kinds)()


def plan(r, site):
    zone = r.choice(ZONES[site])
    return r.choice([
        lambda: dict(kind="release", share=between(r, .2, .5), x=1.0, gap_s=between(r, .78, 1.2)),
        lambda: dict(kind="replace_with_reuse", share=between(r, .1, .25), how="drain"),
        lambda: dict(kind="scale_in", share=between(r, .1, .16), how=r.choice(["", "spot", "reclaim"])),
        lambda: dict(kind="roll_term", share=between(r, .3, 1), x=1.0, gap_s=between(r, 1.2, 2.0), how=r.choice(["", "remove", "busy", "leader"])),
        lambda: dict(kind="add_nodes", share=between(r, .3, 1)),
        lambda: dict(kind="hup", share=.6, gap_s=between(r, .3, 2)),
        lambda: dict(kind="config_change", how=r.choice(["route", "timeout", "idle", "weights"])),
        lambda: dict(kind="config_storm", for_s=4.0, gap_s=between(r, .1, .4)),
        lambda: dict(kind="big_config", count=350),
        lambda: dict(kind="evacuate", zone=zone, for_s=between(r, 1.5, 9), how=r.choice(["", "", "warm"])),
    ])()


def closing(r):
    if r.random() < .4:
        return ""
    kind = r.choice(["power_off_all", "kill_all", "wipe_after_ack"])
    return 'closing = { kind = "%s", down_s = %s%s }\n' % (kind, between(r, .5, 2), r.choice(["", ', how = "all"', ', how = "timed"', ""]))


def entries(list_):
    return "".join("  { %s },\n" % ", ".join("%s = %s" % (k, json.dumps(v)) for k, v in e.items()) for e in list_)


def day(number, site, mixed):
    r = random.Random(number)
    length = r.choice([34, 41, 60]) if mixed else 34
    start = between(r, 3, 12) if mixed else between(r, 4, 18)
    faults = r.choice([2, 3, 4, 6] if mixed else [0, 1, 1, 2, 2, 3])
    plans = r.choice([1, 2, 3, 5] if mixed else [0, 1, 1, 2, 3])
    if faults + plans == 0:
        faults = 1
    spread = r.choice([3, 10, length - 14, length - 14] if mixed else [.5, 2, 5, 9])
    drawn = [[], []]
    for list_, draw, count in ((drawn[0], fault, faults), (drawn[1], plan, plans)):
        for _ in range(count):
            e = draw(r, site)
            e["at"] = round(start + r.uniform(0, spread), 2)
            list_.append(e)
    end = closing(r) if mixed else ""
    return '[[day]]\nname = "f%d"\nlength_s = %d\n%splan = [\n%s]\nfaults = [\n%s]\n' % (number, length, end, entries(drawn[1]), entries(drawn[0]))


def play(bench, site_file, repository, out, number, mixed):
    site = os.path.basename(site_file).removesuffix(".toml")
    path = "%s/%s-%d" % (out, site, number)
    with open(path + ".toml", "w") as f:
        f.write(day(number, site, mixed))
    p = subprocess.run([bench, "run", site_file, path + ".toml", "--seed", str(number % 7 + 1), "--jobs", "1", "--report", path + ".json",
                        "--why", "review trial on a scratch copy: random day"], cwd=repository, capture_output=True, text=True)
    try:
        with open(path + ".json") as f:
            report = json.load(f)
    except OSError:
        return "%d: not played: %s" % (number, p.stdout[-200:])
    found = report["breaks"], report["fault"], report["exits_n"]
    return "%d: %s %s" % (number, found, report["first"]) if any(found) else None


def main():
    bench, site_file, repository, out, first, count = sys.argv[1:7]
    os.makedirs(out, exist_ok=True)
    with ThreadPoolExecutor(JOBS) as pool:
        numbers = range(int(first), int(first) + int(count))
        for line in pool.map(lambda n: play(bench, site_file, repository, out, n, len(sys.argv) > 7), numbers):
            if line:
                print(line, flush=True)


if __name__ == "__main__":
    main()
