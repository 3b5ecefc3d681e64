"""Scripts that use every directive of the operators' file, and the values read from them."""

from __future__ import annotations

from typing import Any

ALL_ARGUMENTS = """
epoch(7)
cell("a", weight = 2, engines = ["s-1"], zones = ["east"], models = ["std"], least = 2, most = 5,
     share = 0.5)
cell(name = "b")
tenant("acme", cell = "a")
tenant(name = "beta", cells = ["a", "b"], key = "route")
default_cell(name = "b")
moves(propose = 1, warm = 2, settle = 3, watch = 4, switched = 5, drain = 6, lost = 7)
deadlines(learn = True, margin_ms = 11, least_margin_ms = 3, most_margin_ms = 90,
          margin_share = 0.9, count_from = "first", half_close = "answer", slow_reader = 20)
further_attempts(share = 0.3, burst = 12, by_tenant = False, first = 0.5, least_ms = 50)
further_class("glance", share = 0.1, burst = 2)
logs(format = "json", stories = 0.25)
start(list_connects = 1, list_wait = 2, engine_probes = 3, engine_connects = 4, accepts = 5,
      contact_part = 0.6, contact_wait = 7, floor = 0.8, ramp = 9, last_list = "/tmp/last",
      last_list_age = 10, installation = "golden")
members("127.0.0.1:7946", key_file = "/tmp/keys", installation = "golden",
        advertise = "10.0.0.4:7946", seeds = ["10.0.0.5:7946"], seeds_file = "/tmp/seeds",
        interval = 2, sync = 20, part = 0.25, settle = 6, forget = 500)
limit("orders", kind = "tenant", rate = 50)
limit("engines", kind = "work")
limit("attempts", kind = "further", rate = 10)
limit("new", kind = "connects", rate = 20)
limits(lease = 3, promise = 5, drift = 0.02, guaranteed = 0.3, told = 2)
verdicts(observers = 4, failures = 3, age = 9, part = 0.4, hold = 6, most_hold = 50, told = 0.25)
"""
ALL_ARGUMENTS_READ: dict[str, Any] = {
    "map": {
        "epoch": 7,
        "cells": (
            {
                "name": "a",
                "weight": 2.0,
                "engines": ("s-1",),
                "zones": ("east",),
                "models": ("std",),
                "least": 2,
                "most": 5,
                "share": 0.5,
            },
            {
                "name": "b",
                "weight": 1.0,
                "engines": (),
                "zones": (),
                "models": (),
                "least": 1,
                "most": 0,
                "share": 0.0,
            },
        ),
        "default": "b",
        "tenants": [
            {"name": "acme", "cells": ("a",), "key": ""},
            {"name": "beta", "cells": ("a", "b"), "key": "route"},
        ],
        "timing": {
            "propose": 1_000_000_000,
            "warm": 2_000_000_000,
            "settle": 3_000_000_000,
            "watch": 4_000_000_000,
            "switched": 5_000_000_000,
            "drain": 6_000_000_000,
            "lost": 7_000_000_000,
        },
    },
    "digest": "a537afd97ac99895",
    "deadlines": [
        True,
        {"start": 11_000_000, "least": 3_000_000, "most": 90_000_000, "share": 0.9},
        "first",
        "answer",
        20_000_000_000,
        {
            "share": 0.3,
            "burst": 12.0,
            "classes": (("glance", 0.1, 2.0),),
            "by_tenant": False,
            "first": 0.5,
            "least": 50_000_000,
        },
    ],
    "logs": ["json", 0.25],
    "start": [
        1.0,
        2_000_000_000,
        3.0,
        4.0,
        5.0,
        0.6,
        7_000_000_000,
        0.8,
        9_000_000_000,
        "/tmp/last",
        10_000_000_000,
        "golden",
    ],
    "members": [
        "127.0.0.1:7946",
        "10.0.0.4:7946",
        ("10.0.0.5:7946",),
        "/tmp/seeds",
        "/tmp/keys",
        "golden",
        2_000_000_000,
        20_000_000_000,
        0.25,
        6_000_000_000,
        500_000_000_000,
        False,
    ],
    "shares": [
        3_000_000_000,
        5_000_000_000,
        0.02,
        0.3,
        2_000_000_000,
        (
            {"name": "orders", "kind": "tenant", "rate": 50.0},
            {"name": "engines", "kind": "work", "rate": 0.0},
            {"name": "attempts", "kind": "further", "rate": 10.0},
            {"name": "new", "kind": "connects", "rate": 20.0},
        ),
    ],
    "verdicts": [4, 3, 9_000_000_000, 0.4, 6_000_000_000, 50_000_000_000, 250_000_000],
}
DEFAULT_ARGUMENTS = """
cell("a")
moves()
deadlines()
further_attempts()
logs()
start()
members("127.0.0.1:7946", "/tmp/keys", "golden")
limit("orders")
limits()
verdicts()
"""
DEFAULT_ARGUMENTS_READ: dict[str, Any] = {
    "map": {
        "epoch": 0,
        "cells": (
            {
                "name": "a",
                "weight": 1.0,
                "engines": (),
                "zones": (),
                "models": (),
                "least": 1,
                "most": 0,
                "share": 0.0,
            },
        ),
        "default": "a",
        "tenants": [],
        "timing": {
            "propose": 10_000_000_000,
            "warm": 30_000_000_000,
            "settle": 1_000_000_000,
            "watch": 2_000_000_000,
            "switched": 10_000_000_000,
            "drain": 60_000_000_000,
            "lost": 500_000_000,
        },
    },
    "digest": "2db08e2e01dba9bb",
    "deadlines": [
        False,
        {"start": 10_000_000, "least": 2_000_000, "most": 100_000_000, "share": 0.99},
        "last",
        "left",
        30_000_000_000,
        {
            "share": 0.2,
            "burst": 10.0,
            "classes": (),
            "by_tenant": True,
            "first": 1.0,
            "least": 100_000_000,
        },
    ],
    "logs": ["text", 0.0],
    "start": [
        50.0,
        10_000_000_000,
        20.0,
        100.0,
        200.0,
        0.5,
        2_000_000_000,
        0.1,
        8_000_000_000,
        "",
        3_600_000_000_000,
        "",
    ],
    "members": [
        "127.0.0.1:7946",
        "",
        (),
        "",
        "/tmp/keys",
        "golden",
        1_000_000_000,
        30_000_000_000,
        0.3333333333333333,
        5_000_000_000,
        600_000_000_000,
        False,
    ],
    "shares": [
        4_000_000_000,
        6_000_000_000,
        0.01,
        0.2,
        1_000_000_000,
        ({"name": "orders", "kind": "tenant", "rate": 0.0},),
    ],
    "verdicts": [3, 2, 10_000_000_000, 0.3, 5_000_000_000, 60_000_000_000, 500_000_000],
}
