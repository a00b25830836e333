# Computes the values of docs/CAPACITY.md from the output of capacity.sh:
# "computed NAME VALUE UNIT" and, for values with a target,
# "verdict NAME VALUE TARGET UNIT met|not_met". Exits with an error if a
# measurement that the model needs is missing.

$1 == "slope" {
    intercept[$2] = $3
    slope[$2] = $4
    next
}
NF == 4 {
    value[$1, $2] = $3
}

function require(found, what) {
    if (!found) {
        print "not measured: " what > "/dev/stderr"
        failed = 1
        exit 1
    }
}
function measured(name, size) {
    require((name, size) in value, name " at " size)
    return value[name, size]
}
function slope_of(name) {
    require(name in slope, "slope of " name)
    return slope[name]
}
function predict(name, size) {
    return intercept[name] + slope_of(name) * size
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
    # Sizes of docs/design.md 1.6; the number of accounts is assumed.
    daemons = 2600
    centres = 8
    members = daemons / centres
    targets = 5700
    groups = 1900
    accounts = 2000
    statements = 3e6 / daemons
    connections = 5.5e6 / daemons
    changes = 5100 / 86400
    # Constants of the daemon.
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

    # Pool owners and observers.
    probes = owned * observed * probe_rate
    probe_bytes = (measured("fleet_idle_probe_sent_bytes", 6) \
        + measured("fleet_idle_probe_received_bytes", 6)) \
        / measured("fleet_idle_probes", 6)
    computed("probes_idle", probes, "1/s/daemon")
    computed("probe_bytes", probe_bytes, "bytes")
    computed("probe_idle_kb", probes * probe_bytes / 1e3, "KB/s/daemon")
    computed("probes_at_one_target", observed * probe_rate, "1/s")
    computed("probes_all", targets * observed * probe_rate, "1/s")
    # The groups_ measurements vary the number of targets at 12 daemons.
    target_cpu = slope_of("groups_idle_cpu") * 12
    computed("owned_target_cpu", target_cpu, "ms/s")
    computed("owned_targets_cpu", owned * target_cpu, "ms/s/daemon")
    probe_cpu = target_cpu / (slope_of("groups_idle_probes") * 12)
    computed("probe_cpu", probe_cpu * 1e3, "us")
    # Only the owner of a primary, one target in three, waits for the
    # acknowledgement of writes, and only by one replica.
    probes_busy = probes + owned / observed * (probe_busy_rate - probe_rate)
    computed("probes_busy", probes_busy, "1/s/daemon")
    computed("probe_busy_kb", probes_busy * probe_bytes / 1e3, "KB/s/daemon")
    computed("probe_busy_cpu", probes_busy * probe_cpu, "ms/s/daemon")
    base_cpu = predict("groups_idle_cpu", 0)
    computed("base_cpu", base_cpu, "ms/s/daemon")

    # Membership. base_cpu includes the pings, whose rate does not grow with the
    # number of members.
    rank = predict("member_rank", members)
    computed("member_rank", rank, "us")
    computed("member_owner", predict("member_owner", members), "us")
    list_cpu = predict("member_list", daemons) \
        / ((daemons + targets) * list_entry_bytes / list_bytes_per_s)
    # The measured cost of pings, ticks and polls of one daemon among many, and
    # the computed cost of reading the list of members.
    member_cpu = members * slope_of("members_cpu") + list_cpu / 1e3
    computed("member_cpu", member_cpu, "ms/s/daemon")
    computed("lease_rank_uncached", shards * lease_tick * rank / 1e3,
        "ms/s/daemon")
    computed("reconcile_cpu",
        targets / centres * predict("member_owner", members) / 1e3,
        "ms/change_of_members")
    list_kb = list_bytes_per_s / 1e3
    computed("list_kb", list_kb, "KB/s/daemon")
    list_interval = (daemons + targets) * list_entry_bytes / list_bytes_per_s
    computed("list_reads", daemons / list_interval, "1/s")
    peer_idle_kb = (measured("fleet_idle_peer_sent_bytes", 48) \
        + measured("fleet_idle_peer_received_bytes", 48)) / 1e3
    computed("peer_idle_kb", peer_idle_kb, "KB/s/daemon")

    # Configuration.
    body = measured("config_bytes_2000_accounts", 5700)
    parse_ms = measured("config_parse_2000_accounts", 5700) / 1e3
    computed("config_body", body / 1e6, "MB")
    computed("config_stall", parse_ms, "ms/change")
    patch = measured("config_patch_bytes_2000_accounts", 5700)
    computed("config_patch", patch, "bytes/change")
    # Inner nodes of the distribution tree also make the patch, once per change.
    config_cpu = changes * (parse_ms \
        + measured("config_hash_2000_accounts", 5700) / 1e3 \
        + measured("config_patch_apply_2000_accounts", 5700) / 1e3 \
        + measured("config_patch_make_2000_accounts", 5700) / 1e3)
    computed("config_cpu", config_cpu, "ms/s/daemon")
    config_kb = changes * patch / 1e3
    computed("config_leaf_kb", config_kb, "KB/s/daemon")
    computed("config_inner_kb", config_kb * (1 + degree), "KB/s/daemon")
    # Pollers read the whole configuration from the object store.
    poller_kb = changes * body / 1e3
    computed("config_poller_kb", poller_kb, "KB/s/poller")
    computed("config_memory",
        measured("config_memory_2000_accounts", 5700) / 1024, "MB/version")
    computed("config_poll_reads", centres * pollers * poll, "1/s")
    # Each level parses the configuration before it forwards it; only pollers
    # wait for a poll, 2 per second. An instance that lacks the previous version
    # gets the whole body: 8 transfers per level over 1 Gbit/s.
    levels = 3
    transfer_ms = degree * body * 8 / 1e9 * 1e3
    change_ms = 500 + levels * (parse_ms + transfer_ms)
    computed("config_spread", change_ms, "ms")
    computed("config_confirm_asks", members - 1, "calls/change/data_centre")

    # Limiter.
    leases = shards * centres
    computed("lease_writes", leases, "1/s")
    computed("lease_reads", leases * 2, "1/s")
    share_read_rate = slope_of("accounts_idle_store_GET__table_") / 3
    computed("share_read_idle_measured", share_read_rate,
        "1/s/account/data_centre")
    share_idle = accounts * centres * share_read_rate
    # The 20 ms tick rounds the poll interval POLL_USED_MS up to 160 ms.
    share_used = accounts * centres / 0.16
    computed("share_reads_idle", share_idle, "1/s")
    computed("share_reads_used", share_used, "1/s")
    # Request and reply. With two instances in a data centre, half of the
    # requests go to the instance itself and send no bytes.
    ask_bytes = slope_of("accounts_idle_peer_sent_bytes") \
        / slope_of("accounts_idle_limiter_asks") / 0.5
    computed("ask_bytes", ask_bytes, "bytes")
    other_store_reads = leases + centres * pollers * poll \
        + daemons / list_interval
    computed("other_store_reads", other_store_reads, "1/s")
    computed("accounts_max_idle",
        (2000 - other_store_reads) / centres / share_read_rate, "accounts")
    computed("accounts_max_used", (2000 - other_store_reads) * 0.16 / centres,
        "accounts")
    # The intercept is the idle reads of the leases, which do not grow with the
    # number of accounts.
    computed("share_read_load_measured",
        (measured("fleet_load_store_GET__table_", 6) \
        - intercept["accounts_idle_store_GET__table_"]) / 8 / 3,
        "1/s/account/data_centre")
    computed("accounts_max_asks", 30e3 / 5 / ask_bytes, "accounts/daemon")
    computed("share_writes", accounts * centres / 60, "1/s")
    computed("asks_used", accounts * 5, "1/s/daemon")
    computed("asks_used_kb", accounts * 5 * ask_bytes / 1e3, "KB/s/daemon")
    computed("asks_at_limiter", accounts * 5 * members / shards, "1/s/limiter")
    computed("limit_tick_cpu",
        account_tick * measured("limit_tick", 2000) / 1e3, "ms/s/daemon")
    computed("limit_tick_held_cpu", 250 * measured("limit_tick", 2000) / 1e3,
        "ms/s/daemon")
    computed("lease_scan_before",
        lease_tick * measured("limiter_scan_shard", 2000) / 1e3, "ms/s/shard")

    # Entry.
    computed("statements", statements, "1/s/daemon")
    load_answers = measured("fleet_load_answers", 6)
    statement_cpu = (measured("fleet_load_cpu", 6) \
        - measured("fleet_idle_cpu", 6)) / load_answers
    computed("statement_cpu_light_load", statement_cpu, "ms")
    computed("statement_cores", statements * statement_cpu / 1e3,
        "cores/daemon")
    computed("connections", connections, "1/daemon")
    connection_mb = connections * slope_of("connection_memory") / 1024
    computed("connection_memory", connection_mb, "MB/daemon")

    memory = measured("fleet_idle_memory", 48) / 1024 + connection_mb \
        + 2 * measured("config_memory_2000_accounts", 5700) / 1024 \
        + 3 * body / 1e6
    control_cpu = base_cpu + owned * target_cpu + member_cpu + config_cpu \
        + account_tick * measured("limit_tick", 2000) / 1e3
    control_kb = probes * probe_bytes / 1e3 + list_kb + peer_idle_kb \
        + config_kb

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
    verdict("config_change_600_kb_measured_48",
        measured("fleet_large_change_max", 48), 3000, "ms")
    verdict("primary_change_measured_48", measured("fleet_primary_change", 48),
        5000, "ms")
    verdict("store_reads_accounts_idle", share_idle + other_store_reads, 2000,
        "1/s")
    verdict("store_reads_accounts_used", share_used + other_store_reads, 2000,
        "1/s")
    # Each step of a change writes a row, an audit record and the tail of the
    # audit trail.
    records = 3 + centres
    computed("audit_records", changes * records, "1/s")
    verdict("store_writes", leases + accounts * centres / 60 \
        + daemons / 300 + changes * records * 3, 500, "1/s")
    verdict("statement_cores", statements * statement_cpu / 1e3, 1, "cores")
}
