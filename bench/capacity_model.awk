# Computes the figures of docs/CAPACITY.md from the lines of capacity.sh:
# "computed NAME VALUE UNIT" and, where there is a target,
# "verdict NAME VALUE TARGET UNIT met|not_met". A line that the model needs and
# that was not measured ends it with an error.

$1 == "slope" {
    intercept[$2] = $3
    slope[$2] = $4
    next
}
NF == 4 {
    value[$1, $2] = $3
}

function need(found, what) {
    if (!found) {
        print "not measured: " what > "/dev/stderr"
        failed = 1
        exit 1
    }
}
function at(name, size) {
    need((name, size) in value, name " at " size)
    return value[name, size]
}
function per(name) {
    need(name in slope, "slope of " name)
    return slope[name]
}
function line(name, size) {
    return intercept[name] + per(name) * size
}
function computed(name, v, unit) {
    printf "computed %s %.4g %s\n", name, v, unit
}
function verdict(name, v, target, unit) {
    printf "verdict %s %.4g %g %s %s\n", name, v, target, unit, \
        v <= target ? "met" : "not_met"
}

END {
    if (failed)
        exit 1
    # Sizes of design section 1.6; accounts and keys are an assumption.
    daemons = 2600
    centres = 8
    members = daemons / centres
    targets = 5700
    groups = 1900
    accounts = 2000
    statements = 3e6 / daemons
    connections = 5.5e6 / daemons
    changes = 5100 / 86400
    # Constants of the code.
    probe_rate = 10
    probe_busy_rate = 500
    observed = 3
    poll = 2
    pollers = 3
    shards = 16
    lease_tick = 10
    account_tick = 20
    ping = 5
    list_entry_bytes = 100
    list_bytes_per_s = 6000
    degree = 8

    owned = targets / daemons
    computed("targets_per_daemon", owned, "targets")

    # Pool owner and observer.
    probes = owned * observed * probe_rate
    probe_bytes = (at("fleet_idle_probe_sent_bytes", 6) \
        + at("fleet_idle_probe_received_bytes", 6)) / at("fleet_idle_probes", 6)
    computed("probes_idle", probes, "1/s/daemon")
    computed("probe_bytes", probe_bytes, "bytes")
    computed("probe_idle_kb", probes * probe_bytes / 1e3, "KB/s/daemon")
    computed("probes_at_one_target", observed * probe_rate, "1/s")
    computed("probes_all", targets * observed * probe_rate, "1/s")
    # Size of the groups_ lines: targets at 12 daemons.
    target_cpu = per("groups_idle_cpu") * 12
    computed("owned_target_cpu", target_cpu, "ms/s")
    computed("owned_targets_cpu", owned * target_cpu, "ms/s/daemon")
    probe_cpu = target_cpu / (per("groups_idle_probes") * 12)
    computed("probe_cpu", probe_cpu * 1e3, "us")
    # Writes wait at the owner of the primary only, one target in three, and
    # for one replica.
    probes_busy = probes + owned / observed * (probe_busy_rate - probe_rate)
    computed("probes_busy", probes_busy, "1/s/daemon")
    computed("probe_busy_kb", probes_busy * probe_bytes / 1e3, "KB/s/daemon")
    computed("probe_busy_cpu", probes_busy * probe_cpu, "ms/s/daemon")
    base_cpu = line("groups_idle_cpu", 0)
    computed("base_cpu", base_cpu, "ms/s/daemon")

    # Membership. The base holds the pings, which do not grow with members.
    rank = line("member_rank", members)
    computed("member_rank", rank, "us")
    computed("member_owner", line("member_owner", members), "us")
    list_cpu = line("member_list", daemons) \
        / ((daemons + targets) * list_entry_bytes / list_bytes_per_s)
    # Pings, ticks and polls of one daemon among many, as measured.
    member_cpu = members * per("members_cpu") + list_cpu / 1e3
    computed("member_cpu", member_cpu, "ms/s/daemon")
    computed("lease_rank_uncached", shards * lease_tick * rank / 1e3,
        "ms/s/daemon")
    computed("reconcile_cpu",
        targets / centres * line("member_owner", members) / 1e3,
        "ms/change_of_members")
    list_kb = list_bytes_per_s / 1e3
    computed("list_kb", list_kb, "KB/s/daemon")
    list_interval = (daemons + targets) * list_entry_bytes / list_bytes_per_s
    computed("list_reads", daemons / list_interval, "1/s")
    other_kb = (at("fleet_idle_peer_sent_bytes", 48) \
        + at("fleet_idle_peer_received_bytes", 48)) / 1e3
    computed("peer_idle_kb", other_kb, "KB/s/daemon")

    # Configuration.
    body = at("config_bytes_2000_accounts", 5700)
    parse = at("config_parse_2000_accounts", 5700) / 1e3
    computed("config_body", body / 1e6, "MB")
    computed("config_stall", parse, "ms/change")
    patch = at("config_patch_bytes_2000_accounts", 5700)
    computed("config_patch", patch, "bytes/change")
    # Daemons inside the tree also make the patch, once for each change.
    config_cpu = changes * (parse \
        + at("config_hash_2000_accounts", 5700) / 1e3 \
        + at("config_patch_apply_2000_accounts", 5700) / 1e3 \
        + at("config_patch_make_2000_accounts", 5700) / 1e3)
    computed("config_cpu", config_cpu, "ms/s/daemon")
    config_kb = changes * patch / 1e3
    computed("config_leaf_kb", config_kb, "KB/s/daemon")
    computed("config_inner_kb", config_kb * (1 + degree), "KB/s/daemon")
    # Pollers read the whole body from the object store.
    poller_kb = changes * body / 1e3
    computed("config_poller_kb", poller_kb, "KB/s/poller")
    computed("config_memory",
        at("config_memory_2000_accounts", 5700) / 1024, "MB/version")
    computed("config_poll_reads", centres * pollers * poll, "1/s")
    # Each level parses before it passes on; the two polls of 500 ms are at
    # the pollers. An instance that was behind still gets the whole body,
    # which takes 8 transfers of a level over 1 Gbit/s.
    levels = 3
    transfer = degree * body * 8 / 1e9 * 1e3
    change_ms = 500 + levels * (parse + transfer)
    computed("config_spread", change_ms, "ms")
    computed("config_confirm_asks", members - 1, "calls/change/data_centre")

    # Limiter.
    leases = shards * centres
    computed("lease_writes", leases, "1/s")
    computed("lease_reads", leases * 2, "1/s")
    idle_read = per("accounts_idle_store_GET__table_") / 3
    computed("share_read_idle_measured", idle_read,
        "1/s/account/data_centre")
    share_idle = accounts * centres * idle_read
    # The tick of 20 ms makes 160 of POLL_USED_MS.
    share_used = accounts * centres / 0.16
    computed("share_reads_idle", share_idle, "1/s")
    computed("share_reads_used", share_used, "1/s")
    # Ask and reply. With two instances in a data centre, half of the asks go to
    # the instance itself.
    ask_bytes = per("accounts_idle_peer_sent_bytes") \
        / per("accounts_idle_limiter_asks") / 0.5
    computed("ask_bytes", ask_bytes, "bytes")
    other_reads = leases + centres * pollers * poll + daemons / list_interval
    computed("other_store_reads", other_reads, "1/s")
    computed("accounts_max_idle", (2000 - other_reads) / centres / idle_read,
        "accounts")
    computed("accounts_max_used", (2000 - other_reads) * 0.16 / centres,
        "accounts")
    # The leases' reads when idle are those that do not grow with accounts.
    computed("share_read_load_measured", (at("fleet_load_store_GET__table_", 6) \
        - intercept["accounts_idle_store_GET__table_"]) / 8 / 3,
        "1/s/account/data_centre")
    computed("accounts_max_asks", 30e3 / 5 / ask_bytes, "accounts/daemon")
    computed("share_writes", accounts * centres / 60, "1/s")
    computed("asks_used", accounts * 5, "1/s/daemon")
    computed("asks_used_kb", accounts * 5 * ask_bytes / 1e3, "KB/s/daemon")
    computed("asks_at_limiter", accounts * 5 * members / shards, "1/s/limiter")
    computed("limit_tick_cpu", account_tick * at("limit_tick", 2000) / 1e3,
        "ms/s/daemon")
    computed("limit_tick_held_cpu", 250 * at("limit_tick", 2000) / 1e3,
        "ms/s/daemon")
    computed("lease_scan_before",
        lease_tick * at("limiter_scan_shard", 2000) / 1e3, "ms/s/shard")

    # Entry.
    computed("statements", statements, "1/s/daemon")
    load_answers = at("fleet_load_answers", 6)
    statement_cpu = (at("fleet_load_cpu", 6) - at("fleet_idle_cpu", 6)) \
        / load_answers
    computed("statement_cpu_light_load", statement_cpu, "ms")
    computed("statement_cores", statements * statement_cpu / 1e3,
        "cores/daemon")
    computed("connections", connections, "1/daemon")
    connection_mb = connections * per("connection_memory") / 1024
    computed("connection_memory", connection_mb, "MB/daemon")

    memory = at("fleet_idle_memory", 48) / 1024 + connection_mb \
        + 2 * at("config_memory_2000_accounts", 5700) / 1024 \
        + 3 * body / 1e6
    control_cpu = base_cpu + owned * target_cpu + member_cpu + config_cpu \
        + account_tick * at("limit_tick", 2000) / 1e3
    control_kb = probes * probe_bytes / 1e3 + list_kb + other_kb + config_kb

    verdict("control_cpu_idle", control_cpu / 10, 3.4, "%")
    verdict("control_cpu_busy_groups",
        (control_cpu + (probes_busy - probes) * probe_cpu) / 10, 3.4, "%")
    verdict("memory", memory, 256, "MB")
    verdict("control_kb_idle", control_kb, 30, "KB/s")
    verdict("control_kb_idle_without_bodies", control_kb - config_kb, 30,
        "KB/s")
    verdict("control_kb_inner", control_kb + degree * config_kb, 30, "KB/s")
    verdict("control_kb_poller", control_kb + poller_kb, 30, "KB/s")
    verdict("config_change", change_ms, 3000, "ms")
    verdict("config_change_600_kb_measured_48", at("fleet_large_change_max", 48),
        3000, "ms")
    verdict("primary_change_measured_48", at("fleet_primary_change", 48),
        5000, "ms")
    verdict("store_reads_accounts_idle", share_idle + other_reads, 2000, "1/s")
    verdict("store_reads_accounts_used", share_used + other_reads, 2000, "1/s")
    # A row, an audit record and the trail's tail for each step of a change.
    records = 3 + centres
    computed("audit_records", changes * records, "1/s")
    verdict("store_writes", leases + accounts * centres / 60 \
        + daemons / 300 + changes * records * 3, 500, "1/s")
    verdict("statement_cores", statements * statement_cpu / 1e3, 1, "cores")
}
