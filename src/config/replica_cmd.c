/* Follows the configuration log with one long-polling read at a time. */
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "config/replica_internal.h"
#include "core/types.h"

static void
add_metrics(struct fw_config_replica *rep, struct fw_metrics *metrics)
{
    static const struct fw_metric definitions[] = {
        {.name = "fw_config_version",
         .help = "Offset of the last configuration record in force here.",
         .is_gauge = 1},
        {.name = "fw_config_accepted_total",
         .help = "Configuration records accepted."},
        {.name = "fw_config_conflict_total",
         .help = "Configuration records made on a version not in force."},
        {.name = "fw_config_invalid_total",
         .help = "Configuration records refused as invalid."},
        {.name = "fw_config_duplicate_total",
         .help = "Configuration records with an id seen before."},
        {.name = "fw_config_read_failures_total",
         .help = "Reads of the configuration log that failed."},
        {.name = "fw_config_adopted_log_total",
         .help = "States taken from a snapshot in the log."},
        {.name = "fw_config_adopted_peer_total",
         .help = "States taken from a peer while the log was down."},
        {.name = "fw_config_snapshots_refused_total",
         .help = "Snapshot parts that were cut, corrupt or out of order."},
        {.name = "fw_config_snapshots_written_total",
         .help = "Whole snapshots appended by this instance."},
        {.name = "fw_config_gap",
         .help = "1 while the log lacks the record after ours.",
         .is_gauge = 1},
    };
    struct fw_replica_metrics *m = &rep->metrics;
    struct fw_metric *const targets[] = {
        &m->offset,       &m->verdicts[0],   &m->verdicts[1], &m->verdicts[2],
        &m->verdicts[3],  &m->read_failures, &m->adopted_log, &m->adopted_peer,
        &m->snap_refused, &m->snap_written,  &m->gap,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(definitions); i++) {
        *targets[i] = definitions[i];
        if (metrics) {
            Fw_Metrics_Add(metrics, targets[i]);
        }
    }
}

struct fw_config_replica *
Fw_ConfigReplica_New(const char *instance, uint32_t seed,
                     struct fw_metrics *metrics, int64_t now_us)
{
    struct fw_config_replica *rep = g_new0(struct fw_config_replica, 1);

    g_strlcpy(rep->instance, instance, sizeof(rep->instance));
    rep->rand = g_rand_new_with_seed(seed);
    rep->state = Fw_ConfigState_New();
    rep->last_success_us = now_us;
    rep->read_due_us = now_us;
    rep->backoff_us = FW_REPLICA_BACKOFF_MIN_US;
    add_metrics(rep, metrics);
    Fw_ConfigReplica_StartSearch(rep);
    return rep;
}

void
Fw_ConfigReplica_Free(struct fw_config_replica *rep)
{
    if (!rep) {
        return;
    }
    Fw_ConfigState_Free(rep->state);
    Fw_ConfigState_Free(rep->search.newest);
    Fw_Snapshot_Reset(&rep->search.assembler);
    Fw_Snapshot_Free(rep->writer.snapshot);
    Fw_ConfigReplica_ResetPeer(rep);
    Fw_Snapshot_Free(rep->peer.served);
    g_rand_free(rep->rand);
    g_free(rep);
}

uint64_t
Fw_ConfigReplica_NewTicket(struct fw_config_replica *rep)
{
    return Fw_Owner_MakeId(FW_OWNER_CONFIG, ++rep->seq);
}

/*
 * A snapshot or a peer's state may be older than the current one. Installing
 * it would revert changes, for example make withdrawn keys valid again.
 */
int
Fw_ConfigReplica_Install(struct fw_config_replica *rep,
                         struct fw_config_state *st, const char *source,
                         struct fw_actions *out)
{
    char version[24];

    if (st->cfg->next_offset <= rep->state->cfg->next_offset &&
        !FW_FAULT("config-adopt-older")) {
        Fw_ConfigState_Free(st);
        return 0;
    }
    Fw_ConfigState_Free(rep->state);
    rep->state = st;
    rep->gap = 0;
    rep->metrics.gap.value = 0;
    rep->metrics.offset.value = (int64_t)st->cfg->next_offset - 1;
    if (strcmp(source, "log") == 0) {
        rep->metrics.adopted_log.value++;
    }
    else {
        rep->metrics.adopted_peer.value++;
    }
    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               st->cfg->next_offset - 1);
    Fw_Actions_Note(out, LOG_NOTICE, "config_adopted", "source", source,
                    "version", version, NULL);
    return 1;
}

static void
log_result(uint64_t offset, const struct fw_change_result *res,
           struct fw_actions *out)
{
    int severity = res->verdict == FW_CHANGE_ACCEPTED ? LOG_INFO : LOG_WARNING;
    char offset_text[24];

    g_snprintf(offset_text, sizeof(offset_text), "%" G_GUINT64_FORMAT, offset);
    Fw_Actions_Note(out, severity, "config_change", "offset", offset_text,
                    "id", res->id, "who", res->author, "verdict",
                    Fw_Change_VerdictName(res->verdict), "why",
                    res->error.text, NULL);
}

/* Applies the records from the next offset on and skips older ones. */
static void
apply_records(struct fw_config_replica *rep, const struct fw_log_records *r,
              struct fw_actions *out)
{
    for (int i = 0; i < r->n; i++) {
        struct fw_change_result res;
        uint64_t offset = r->first_offset + (uint64_t)i;

        if (offset != rep->state->cfg->next_offset) {
            continue;
        }
        Fw_ConfigState_Apply(rep->state, r->records[i], &res);
        rep->metrics.verdicts[res.verdict].value++;
        log_result(offset, &res, out);
    }
    rep->metrics.offset.value = (int64_t)rep->state->cfg->next_offset - 1;
}

void
Fw_ConfigReplica_BackOff(struct fw_config_replica *rep, int64_t now_us)
{
    /* Jitter, so that instances don't retry all at once. */
    rep->read_due_us =
        now_us + g_rand_int_range(rep->rand, (gint32)(rep->backoff_us / 2),
                                  (gint32)(rep->backoff_us * 3 / 2));
    rep->backoff_us = MIN(rep->backoff_us * 2, FW_REPLICA_BACKOFF_MAX_US);
}

static void
read_failed(struct fw_config_replica *rep, int64_t now_us)
{
    rep->metrics.read_failures.value++;
    Fw_ConfigReplica_BackOff(rep, now_us);
}

/*
 * Records expired from the log before they were read. The current state is
 * kept until a snapshot or a peer provides a newer one.
 */
static void
enter_gap(struct fw_config_replica *rep, const struct fw_log_records *r,
          int64_t now_us, struct fw_actions *out)
{
    if (!rep->gap) {
        Fw_Actions_Note(out, LOG_ERR, "config_gap", NULL);
    }
    rep->gap = 1;
    rep->metrics.gap.value = 1;
    rep->oldest_offset = r->oldest_offset;
    Fw_ConfigReplica_StartSearch(rep);
    Fw_ConfigReplica_BackOff(rep, now_us);
}

static void
follow_log(struct fw_config_replica *rep, const struct fw_log_records *r,
           int64_t now_us, struct fw_actions *out)
{
    uint64_t next = rep->state->cfg->next_offset;

    if (MAX(r->first_offset, r->oldest_offset) > next &&
        r->end_offset > next) {
        enter_gap(rep, r, now_us, out);
        return;
    }
    rep->gap = 0;
    rep->metrics.gap.value = 0;
    rep->oldest_offset = r->oldest_offset;
    rep->backoff_us = FW_REPLICA_BACKOFF_MIN_US;
    rep->read_due_us = now_us;
    apply_records(rep, r, out);
    if (rep->state->cfg->next_offset >= r->end_offset) {
        rep->ready = 1;
    }
}

static void
on_read(struct fw_config_replica *rep, const struct fw_log_records *r,
        int64_t now_us, struct fw_actions *out)
{
    rep->read_ticket = 0;
    if (r->err) {
        read_failed(rep, now_us);
        return;
    }
    if (rep->phase != FW_REPLICA_FOLLOW) {
        Fw_ConfigReplica_OnSearchRecords(rep, r, now_us, out);
        return;
    }
    rep->last_success_us = r->sent_us;
    follow_log(rep, r, now_us, out);
}

void
Fw_ConfigReplica_OnRecords(struct fw_config_replica *rep,
                           const struct fw_log_records *r, int64_t now_us,
                           struct fw_actions *out)
{
    if (rep->read_ticket && r->ticket == rep->read_ticket) {
        on_read(rep, r, now_us, out);
    }
    else if (rep->writer.ticket && r->ticket == rep->writer.ticket) {
        Fw_ConfigReplica_OnWriterRecords(rep, r, now_us);
    }
    Fw_ConfigReplica_Tick(rep, now_us, out);
}

void
Fw_ConfigReplica_OnAppended(struct fw_config_replica *rep,
                            const struct fw_log_appended *a, int64_t now_us,
                            struct fw_actions *out)
{
    if (rep->writer.ticket && a->ticket == rep->writer.ticket) {
        Fw_ConfigReplica_OnWriterAppended(rep, a, now_us);
    }
    Fw_ConfigReplica_Tick(rep, now_us, out);
}

static void
send_read(struct fw_config_replica *rep, int64_t now_us,
          struct fw_actions *out)
{
    rep->read_ticket = Fw_ConfigReplica_NewTicket(rep);
    rep->read_sent_us = now_us;
    if (rep->phase != FW_REPLICA_FOLLOW) {
        Fw_ConfigReplica_SendSearchRead(rep, out);
        return;
    }
    Fw_Actions_ReadLog(out, rep->read_ticket, FW_STREAM_CONFIG,
                       rep->state->cfg->next_offset,
                       FW_REPLICA_READ_RECORDS_MAX, FW_REPLICA_READ_WAIT_US);
}

void
Fw_ConfigReplica_Tick(struct fw_config_replica *rep, int64_t now_us,
                      struct fw_actions *out)
{
    if (rep->read_ticket &&
        now_us >= rep->read_sent_us + FW_REPLICA_READ_TIMEOUT_US) {
        rep->read_ticket = 0;
        read_failed(rep, now_us);
    }
    if (!rep->read_ticket && now_us >= rep->read_due_us) {
        send_read(rep, now_us, out);
    }
    Fw_Actions_Wake(out, rep->read_ticket
                             ? rep->read_sent_us + FW_REPLICA_READ_TIMEOUT_US
                             : rep->read_due_us);
    Fw_ConfigReplica_TickPeer(rep, now_us, out);
    Fw_ConfigReplica_TickWriter(rep, now_us, out);
}
