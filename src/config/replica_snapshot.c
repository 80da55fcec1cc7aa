/*
 * Writer of snapshots, from which the configuration can be restored after its
 * records have expired from the log. Several writers at once do no harm: each
 * part names its snapshot, and readers assemble each of them separately.
 */
#include <errno.h>
#include <limits.h>
#include <string.h>
#include <syslog.h>

#include "config/replica_internal.h"

void
Fw_ConfigReplica_SetSnapshotWriter(struct fw_config_replica *rep, int writer)
{
    struct fw_replica_writer *w = &rep->writer;

    if (writer == w->enabled) {
        return;
    }
    w->enabled = writer;
    w->check_due_us = 0;
    w->ticket = 0;
    w->tail_offset = 0;
    w->incomplete_end = 0;
    w->begin_due_us = 0;
    Fw_Snapshot_Free(w->snapshot);
    w->snapshot = NULL;
}

/*
 * A snapshot is due
 * - FW_SNAPSHOT_INTERVAL_RECORDS records after the last one, so that an
 *   instance reads few records at startup,
 * - when the last one is old or has expired from the log,
 * - once records expire, when it lacks more than half of those in the log,
 *   so that none expires before it is part of a snapshot.
 */
static int
snapshot_is_due(const struct fw_config_replica *rep, int64_t now_us)
{
    const struct fw_replica_writer *w = &rep->writer;
    uint64_t offset = rep->state->cfg->next_offset;
    uint64_t kept =
        offset > rep->oldest_offset ? offset - rep->oldest_offset : 0;

    if (offset <= 1) {
        return 0;
    }
    if (w->newest == 0 || offset >= w->newest + FW_SNAPSHOT_INTERVAL_RECORDS ||
        now_us >= w->newest_us + FW_SNAPSHOT_AGE_MAX_US) {
        return 1;
    }
    return rep->oldest_offset > 1 && w->newest < rep->oldest_offset + kept / 2;
}

int
Fw_ConfigReplica_StepSnapshot(struct fw_config_replica *rep,
                              struct fw_snapshot **snapshot, char prefix,
                              int *restarts)
{
    unsigned rows = *restarts < FW_SNAPSHOT_RESTARTS_MAX
                        ? FW_SNAPSHOT_STEP_ROWS
                        : UINT_MAX;
    int rc =
        *snapshot ? Fw_Snapshot_Step(*snapshot, rep->state, rows) : -ESTALE;
    char id[FW_CHANGE_ID_MAX];

    if (rc >= 0) {
        return rc;
    }
    *restarts += *snapshot != NULL;
    Fw_Snapshot_Free(*snapshot);
    /* The random part makes ids unique across writers and restarts. */
    g_snprintf(id, sizeof(id), "%c-%" G_GUINT64_FORMAT "-%08x%08x", prefix,
               rep->state->cfg->next_offset, g_rand_int(rep->rand),
               g_rand_int(rep->rand));
    *snapshot = Fw_Snapshot_Begin(rep->state, id);
    return Fw_Snapshot_Step(*snapshot, rep->state, rows);
}

/*
 * Several writers may find a snapshot due at the same time. Each waits for a
 * random delay and then reads the end of the stream again, so that mostly one
 * of them writes it.
 */
static void
delay_or_begin(struct fw_config_replica *rep, int64_t now_us)
{
    struct fw_replica_writer *w = &rep->writer;

    if (w->begin_due_us == 0) {
        w->begin_due_us =
            now_us + 1 +
            g_rand_int_range(rep->rand, 0, FW_SNAPSHOT_JITTER_MAX_US);
        w->check_due_us = w->begin_due_us - 1;
        return;
    }
    if (now_us >= w->begin_due_us) {
        w->next_part = 0;
        w->append_due_us = now_us;
        w->begin_due_us = 0;
        w->restarts = 0;
        Fw_ConfigReplica_StepSnapshot(rep, &w->snapshot, 's', &w->restarts);
    }
}

static void
append_parts(struct fw_config_replica *rep, int64_t now_us,
             struct fw_actions *out)
{
    struct fw_replica_writer *w = &rep->writer;
    unsigned n = MIN(FW_SNAPSHOT_APPEND_PARTS_MAX,
                     w->snapshot->parts->len - w->next_part);

    w->ticket = Fw_ConfigReplica_NewTicket(rep);
    w->sent_us = now_us;
    Fw_Actions_AppendLog(
        out, w->ticket, FW_STREAM_SNAPSHOT,
        (const char *const *)(w->snapshot->parts->pdata + w->next_part),
        (int)n);
}

static void
read_tail(struct fw_config_replica *rep, int64_t now_us,
          struct fw_actions *out)
{
    struct fw_replica_writer *w = &rep->writer;

    w->ticket = Fw_ConfigReplica_NewTicket(rep);
    w->sent_us = now_us;
    Fw_Actions_ReadLog(out, w->ticket, FW_STREAM_SNAPSHOT,
                       MAX(w->tail_offset, 1), 1, 0);
}

void
Fw_ConfigReplica_TickWriter(struct fw_config_replica *rep, int64_t now_us,
                            struct fw_actions *out)
{
    struct fw_replica_writer *w = &rep->writer;

    if (!w->enabled || !rep->ready || rep->gap) {
        return;
    }
    if (w->ticket && now_us >= w->sent_us + FW_REPLICA_READ_TIMEOUT_US) {
        w->ticket = 0;
        w->append_due_us = now_us + FW_SNAPSHOT_RETRY_DELAY_US;
    }
    if (w->ticket) {
        Fw_Actions_Wake(out, w->sent_us + FW_REPLICA_READ_TIMEOUT_US);
        return;
    }
    if (!w->snapshot && now_us >= w->check_due_us) {
        read_tail(rep, now_us, out);
        return;
    }
    if (!w->snapshot && !snapshot_is_due(rep, now_us)) {
        w->begin_due_us = 0;
    }
    else if (!w->snapshot) {
        delay_or_begin(rep, now_us);
    }
    if (w->snapshot && w->snapshot->writer) {
        Fw_ConfigReplica_StepSnapshot(rep, &w->snapshot, 's', &w->restarts);
        w->append_due_us =
            now_us + (w->snapshot->writer ? FW_SNAPSHOT_STEP_INTERVAL_US : 0);
    }
    if (w->snapshot && !w->snapshot->writer && now_us >= w->append_due_us) {
        append_parts(rep, now_us, out);
        return;
    }
    Fw_Actions_Wake(out, w->snapshot ? w->append_due_us : w->check_due_us);
    if (w->begin_due_us) {
        Fw_Actions_Wake(out, w->begin_due_us);
    }
}

/* Evaluates the last record of the stream: does it complete a snapshot? */
static void
check_tail(struct fw_config_replica *rep, const struct fw_log_records *r,
           int64_t now_us)
{
    struct fw_replica_writer *w = &rep->writer;
    struct fw_snapshot_header header;

    if (Fw_Snapshot_ParseHeader(r->records[0], &header) == 0 &&
        header.part + 1 == header.n_parts) {
        if (header.offset > w->newest || r->oldest_offset > w->newest_first) {
            w->newest = header.offset;
            w->newest_us = now_us;
            w->newest_first = r->first_offset + 1 - header.n_parts;
        }
    }
    else if (w->incomplete_end == r->end_offset) {
        /* No part was added since the last check: the writer failed. */
        w->newest = 0;
    }
    else {
        /* Another writer may be at work: wait for its snapshot. */
        w->incomplete_end = r->end_offset;
        if (w->begin_due_us) {
            w->begin_due_us = now_us + FW_SNAPSHOT_CHECK_INTERVAL_US + 1;
        }
    }
    if (r->oldest_offset > w->newest_first) {
        w->newest = 0;
    }
}

void
Fw_ConfigReplica_OnWriterRecords(struct fw_config_replica *rep,
                                 const struct fw_log_records *r,
                                 int64_t now_us)
{
    struct fw_replica_writer *w = &rep->writer;

    w->ticket = 0;
    if (r->err) {
        w->check_due_us = now_us + FW_SNAPSHOT_RETRY_DELAY_US;
        return;
    }
    if (r->end_offset <= r->oldest_offset) {
        w->newest = 0;
        w->tail_offset = 0;
        w->check_due_us = now_us + FW_SNAPSHOT_CHECK_INTERVAL_US;
        return;
    }
    if (r->n < 1 || r->first_offset + 1 != r->end_offset) {
        w->tail_offset = r->end_offset - 1;
        w->check_due_us = now_us;
        return;
    }
    check_tail(rep, r, now_us);
    w->check_due_us = now_us + FW_SNAPSHOT_CHECK_INTERVAL_US;
}

void
Fw_ConfigReplica_OnWriterAppended(struct fw_config_replica *rep,
                                  const struct fw_log_appended *a,
                                  int64_t now_us)
{
    struct fw_replica_writer *w = &rep->writer;

    w->ticket = 0;
    if (!w->snapshot) {
        return;
    }
    if (a->err) {
        /* The append may have taken effect. Readers ignore repeated parts. */
        w->append_due_us = now_us + FW_SNAPSHOT_RETRY_DELAY_US;
        return;
    }
    if (w->next_part == 0) {
        w->newest_first = a->first_offset;
    }
    w->next_part += MIN(FW_SNAPSHOT_APPEND_PARTS_MAX,
                        w->snapshot->parts->len - w->next_part);
    if (w->next_part < w->snapshot->parts->len) {
        return;
    }
    w->newest = w->snapshot->header.offset;
    w->newest_us = now_us;
    rep->metrics.snap_written.value++;
    Fw_Snapshot_Free(w->snapshot);
    w->snapshot = NULL;
}
