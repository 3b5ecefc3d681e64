"""The metrics that a broker exports, as Prometheus reads them.

Names, help texts and order are those that operators' dashboards and alerts go by. What differs from
case to case stands in the texts as a placeholder: ``$targets``.
"""

from __future__ import annotations

from string import Template

BROKER_METRICS = Template(
    "# HELP edge_proxy_replies_total Requests answered, by class: served, "
    "refused, failed.\n"
    "# TYPE edge_proxy_replies_total counter\n"
    "$replies"
    "# HELP edge_proxy_dispatches_total Attempts written whole to data engines.\n"
    "# TYPE edge_proxy_dispatches_total counter\n"
    "edge_proxy_dispatches_total $dispatches\n"
    "# HELP edge_proxy_concurrent Requests taken that have no final answer yet.\n"
    "# TYPE edge_proxy_concurrent gauge\n"
    "edge_proxy_concurrent $concurrent\n"
    "# HELP edge_proxy_targets Data engines in the list.\n"
    "# TYPE edge_proxy_targets gauge\n"
    "edge_proxy_targets $targets\n"
    "# HELP edge_proxy_targets_disabled Listed data engines that are left out, "
    "by hand or by choice.\n"
    "# TYPE edge_proxy_targets_disabled gauge\n"
    "edge_proxy_targets_disabled $disabled\n"
    "# HELP edge_proxy_reload_success_total Configuration files taken at SIGHUP.\n"
    "# TYPE edge_proxy_reload_success_total counter\n"
    "edge_proxy_reload_success_total $reloads_applied\n"
    "# HELP edge_proxy_reload_failure_total Configuration files turned down at "
    "SIGHUP.\n"
    "# TYPE edge_proxy_reload_failure_total counter\n"
    "edge_proxy_reload_failure_total $reloads_rejected\n"
)
IDLE_REPLIES = (
    'edge_proxy_replies_total{type="glance",status="success"} 0\n'
    'edge_proxy_replies_total{type="glance",status="overload"} 0\n'
    'edge_proxy_replies_total{type="glance",status="error"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="success"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="overload"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="error"} 0\n'
)


def metrics_of_an_idle_broker(targets: int) -> str:
    """Return the metrics of a broker without traffic whose endpoint list has so many endpoints."""
    return BROKER_METRICS.substitute(
        replies=IDLE_REPLIES,
        dispatches=0,
        concurrent=0,
        targets=targets,
        disabled=0,
        reloads_applied=0,
        reloads_rejected=0,
    )


STARTUP_METRICS = (
    "# HELP edge_proxy_start_seconds Time in each stage of the start.\n"
    "# TYPE edge_proxy_start_seconds gauge\n"
    'edge_proxy_start_seconds{stage="settings"} 0.000\n'
    'edge_proxy_start_seconds{stage="list"} 0.000\n'
    'edge_proxy_start_seconds{stage="contact"} 0.000\n'
    "# HELP edge_proxy_start_share Share of the admission that is open.\n"
    "# TYPE edge_proxy_start_share gauge\n"
    "edge_proxy_start_share 0.0000\n"
)
# Of the subsystems members, limits and verdicts.
CLUSTER_METRICS = Template(
    "# HELP edge_proxy_members Other members by what they are held to be.\n"
    "# TYPE edge_proxy_members gauge\n"
    'edge_proxy_members{status="alive"} $alive\n'
    'edge_proxy_members{status="suspect"} $suspect\n'
    'edge_proxy_members{status="dead"} $dead\n'
    'edge_proxy_members{status="left"} $left\n'
    "# HELP edge_proxy_members_view_epoch Number of the view.\n"
    "# TYPE edge_proxy_members_view_epoch gauge\n"
    "edge_proxy_members_view_epoch 0\n"
    "# HELP edge_proxy_members_view_certain 1: limits go by the view.\n"
    "# TYPE edge_proxy_members_view_certain gauge\n"
    "edge_proxy_members_view_certain $certain\n"
    "# HELP edge_proxy_members_view_limits_by Brokers that limits are divided "
    "by.\n"
    "# TYPE edge_proxy_members_view_limits_by gauge\n"
    "edge_proxy_members_view_limits_by 1\n"
    "# HELP edge_proxy_members_doubt How far the broker doubts its own senses, 0 "
    "to 8.\n"
    "# TYPE edge_proxy_members_doubt gauge\n"
    "edge_proxy_members_doubt 0\n"
    "# HELP edge_proxy_members_suspicions_total Members that were suspected.\n"
    "# TYPE edge_proxy_members_suspicions_total counter\n"
    "edge_proxy_members_suspicions_total 0\n"
    "# HELP edge_proxy_members_refuted_total Suspicions of this broker that it "
    "refuted.\n"
    "# TYPE edge_proxy_members_refuted_total counter\n"
    "edge_proxy_members_refuted_total 0\n"
    "# HELP edge_proxy_members_false_suspicions_total Suspicions known to be "
    "false afterwards.\n"
    "# TYPE edge_proxy_members_false_suspicions_total counter\n"
    "edge_proxy_members_false_suspicions_total 0\n"
    "# HELP edge_proxy_members_removals_total Members that were removed.\n"
    "# TYPE edge_proxy_members_removals_total counter\n"
    "edge_proxy_members_removals_total 0\n"
    "# HELP edge_proxy_members_false_removals_total Removed members that came "
    "back.\n"
    "# TYPE edge_proxy_members_false_removals_total counter\n"
    "edge_proxy_members_false_removals_total 0\n"
    "# HELP edge_proxy_members_removal_ms_total Milliseconds from the last word "
    "of a member to its removal.\n"
    "# TYPE edge_proxy_members_removal_ms_total counter\n"
    "edge_proxy_members_removal_ms_total 0\n"
    "# HELP edge_proxy_members_bytes_in_total Bytes from members.\n"
    "# TYPE edge_proxy_members_bytes_in_total counter\n"
    "edge_proxy_members_bytes_in_total 0\n"
    "# HELP edge_proxy_members_bytes_out_total Bytes to members.\n"
    "# TYPE edge_proxy_members_bytes_out_total counter\n"
    "edge_proxy_members_bytes_out_total 0\n"
    "# HELP edge_proxy_members_flooded_total Datagrams that were not looked at, "
    "being too many.\n"
    "# TYPE edge_proxy_members_flooded_total counter\n"
    "edge_proxy_members_flooded_total 0\n"
    "# HELP edge_proxy_members_dropped_total Datagrams that changed nothing, by "
    "why.\n"
    "# TYPE edge_proxy_members_dropped_total counter\n"
    "$dropped"
    "# HELP edge_proxy_limit_ours What this broker may use of a limit, a second.\n"
    "# TYPE edge_proxy_limit_ours gauge\n"
    'edge_proxy_limit_ours{limit="orders"} $orders_available\n'
    'edge_proxy_limit_ours{limit="attempts"} $attempts_available\n'
    "# HELP edge_proxy_limit_asked What was asked of it in the last second.\n"
    "# TYPE edge_proxy_limit_asked gauge\n"
    'edge_proxy_limit_asked{limit="orders"} 0\n'
    'edge_proxy_limit_asked{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_held What of it is leased.\n"
    "# TYPE edge_proxy_limit_held gauge\n"
    'edge_proxy_limit_held{limit="orders"} $orders_leased\n'
    'edge_proxy_limit_held{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_promised By how much all may be over.\n"
    "# TYPE edge_proxy_limit_overshoot_promised gauge\n"
    'edge_proxy_limit_overshoot_promised{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_promised{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_seen By how much all were seen to be "
    "over.\n"
    "# TYPE edge_proxy_limit_overshoot_seen gauge\n"
    'edge_proxy_limit_overshoot_seen{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_seen{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_events_total What became of leases.\n"
    "# TYPE edge_proxy_limit_events_total counter\n"
    'edge_proxy_limit_events_total{event="asked"} 0\n'
    'edge_proxy_limit_events_total{event="granted"} 0\n'
    'edge_proxy_limit_events_total{event="refused"} 0\n'
    'edge_proxy_limit_events_total{event="homes_lost"} 0\n'
    'edge_proxy_limit_events_total{event="ended"} 0\n'
    'edge_proxy_limit_events_total{event="breaches"} 0\n'
    "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.\n"
    "# TYPE edge_proxy_verdicts gauge\n"
    "edge_proxy_verdicts $ejected\n"
    "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the "
    "part.\n"
    "# TYPE edge_proxy_verdict_events_total counter\n"
    'edge_proxy_verdict_events_total{event="verdicts"} 0\n'
    'edge_proxy_verdict_events_total{event="lifted"} 0\n'
    'edge_proxy_verdict_events_total{event="over_part"} 0\n'
)
METRICS_OF_A_SINGLE_BROKER = CLUSTER_METRICS.substitute(
    alive=0,
    suspect=0,
    dead=0,
    left=0,
    certain=0,
    dropped="",
    orders_available=10,
    attempts_available=10,
    orders_leased=0,
    ejected=0,
)
METRICS_WITH_OTHER_MEMBERS = CLUSTER_METRICS.substitute(
    alive=1,
    suspect=1,
    dead=1,
    left=1,
    certain=1,
    dropped='edge_proxy_members_dropped_total{why="forged"} 2\n',
    orders_available=22.5,
    attempts_available=5,
    orders_leased=12.5,
    ejected=2,
)
CELL_METRICS = (
    "# HELP larchhall_cell_replies_total Requests answered, by cell and class.\n"
    "# TYPE larchhall_cell_replies_total counter\n"
    "# HELP larchhall_cell_open Requests that hold a part of the room.\n"
    "# TYPE larchhall_cell_open gauge\n"
    'larchhall_cell_open{cell="a"} 0\n'
    'larchhall_cell_open{cell="b"} 0\n'
    "# HELP larchhall_cell_statement_bytes Bytes of their statements.\n"
    "# TYPE larchhall_cell_statement_bytes gauge\n"
    'larchhall_cell_statement_bytes{cell="a"} 0\n'
    'larchhall_cell_statement_bytes{cell="b"} 0\n'
    "# HELP larchhall_cell_engine_connections Connections to the cell's engines.\n"
    "# TYPE larchhall_cell_engine_connections gauge\n"
    'larchhall_cell_engine_connections{cell="a"} 0\n'
    'larchhall_cell_engine_connections{cell="b"} 0\n'
    "# HELP larchhall_cell_lent Requests beyond the cell's own part.\n"
    "# TYPE larchhall_cell_lent gauge\n"
    'larchhall_cell_lent{cell="a"} 0\n'
    'larchhall_cell_lent{cell="b"} 0\n'
    "# HELP larchhall_cell_engines_ready Engines that take new work.\n"
    "# TYPE larchhall_cell_engines_ready gauge\n"
    'larchhall_cell_engines_ready{cell="a"} 1\n'
    'larchhall_cell_engines_ready{cell="b"} 1\n'
    "# HELP larchhall_cell_engines_cold Those of them that are cold.\n"
    "# TYPE larchhall_cell_engines_cold gauge\n"
    'larchhall_cell_engines_cold{cell="a"} 0\n'
    'larchhall_cell_engines_cold{cell="b"} 0\n'
    "# HELP larchhall_cell_refused_for_room_total Requests refused since the "
    "cell's part was full.\n"
    "# TYPE larchhall_cell_refused_for_room_total counter\n"
    'larchhall_cell_refused_for_room_total{cell="a"} 0\n'
    'larchhall_cell_refused_for_room_total{cell="b"} 0\n'
    "# HELP larchhall_cell_moves Moves on record, by stage.\n"
    "# TYPE larchhall_cell_moves gauge\n"
    "# HELP larchhall_cell_called_in_total Requests on loan that were called in.\n"
    "# TYPE larchhall_cell_called_in_total counter\n"
    "larchhall_cell_called_in_total 0\n"
    "# HELP larchhall_cell_map_epoch Epoch of the map in force.\n"
    "# TYPE larchhall_cell_map_epoch gauge\n"
    "larchhall_cell_map_epoch 3\n"
)
