/*
 * Search for the newest complete snapshot in the log.
 *
 * It runs at startup and when the log lacks the next record. More than one
 * window may be needed, when the stream ends in incomplete snapshots of a
 * writer that failed.
 */
#include <errno.h>
#include <syslog.h>

#include "config/replica_internal.h"

void
Fw_ConfigReplica_StartSearch(struct fw_config_replica *rep)
{
    struct fw_replica_search *s = &rep->search;

    rep->phase = FW_REPLICA_READ_BOUNDS;
    Fw_Snapshot_Reset(&s->assembler);
    Fw_ConfigState_Free(s->newest);
    s->newest = NULL;
    s->window_records = FW_SEARCH_WINDOW_RECORDS;
}

void
Fw_ConfigReplica_SendSearchRead(struct fw_config_replica *rep,
                                struct fw_actions *out)
{
    uint64_t from =
        rep->phase == FW_REPLICA_READ_BOUNDS ? 1 : rep->search.next_offset;
    int max =
        rep->phase == FW_REPLICA_READ_BOUNDS ? 1 : FW_SEARCH_READ_RECORDS_MAX;

    Fw_Actions_ReadLog(out, rep->read_ticket, FW_STREAM_SNAPSHOT, from, max,
                       0);
}

static void
open_window(struct fw_replica_search *s)
{
    s->window_start = s->end_offset > s->window_records
                          ? s->end_offset - s->window_records
                          : 1;
    s->window_start = MAX(s->window_start, s->oldest_offset);
    s->next_offset = s->window_start;
    Fw_Snapshot_Reset(&s->assembler);
}

static void
read_parts(struct fw_config_replica *rep, const struct fw_log_records *r,
           struct fw_actions *out)
{
    struct fw_replica_search *s = &rep->search;

    for (int i = 0; i < r->n; i++) {
        struct fw_config_state *st = NULL;
        struct fw_snapshot_header header;
        int rc = Fw_Snapshot_Feed(&s->assembler, r->records[i], &st, NULL);

        if (rc == -EBADMSG &&
            r->first_offset + (uint64_t)i != s->window_start) {
            rep->metrics.snap_refused.value++;
            Fw_Actions_Note(out, LOG_NOTICE, "snapshot_refused", NULL);
        }
        if (rc != 1) {
            continue;
        }
        if (s->newest && s->newest->cfg->next_offset >= st->cfg->next_offset) {
            Fw_ConfigState_Free(st);
            continue;
        }
        Fw_ConfigState_Free(s->newest);
        s->newest = st;
        Fw_Snapshot_ParseHeader(r->records[i], &header);
        s->newest_first = r->first_offset + (uint64_t)i + 1 - header.n_parts;
    }
}

static void
install_newest(struct fw_config_replica *rep, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_replica_search *s = &rep->search;

    rep->writer.newest = s->newest->cfg->next_offset;
    rep->writer.newest_us = now_us;
    rep->writer.newest_first = s->newest_first;
    Fw_ConfigReplica_Install(rep, s->newest, "log", out);
    s->newest = NULL;
    Fw_Snapshot_Reset(&s->assembler);
    rep->phase = FW_REPLICA_FOLLOW;
}

static void
end_window(struct fw_config_replica *rep, int64_t now_us,
           struct fw_actions *out)
{
    struct fw_replica_search *s = &rep->search;

    if (s->newest) {
        install_newest(rep, now_us, out);
        return;
    }
    if (s->window_start > s->oldest_offset) {
        s->window_records *= 4;
        open_window(s);
        return;
    }
    rep->phase = FW_REPLICA_FOLLOW;
}

void
Fw_ConfigReplica_OnSearchRecords(struct fw_config_replica *rep,
                                 const struct fw_log_records *r,
                                 int64_t now_us, struct fw_actions *out)
{
    struct fw_replica_search *s = &rep->search;

    if (rep->phase == FW_REPLICA_READ_BOUNDS) {
        s->oldest_offset = MAX(r->oldest_offset, 1);
        s->end_offset = r->end_offset;
        open_window(s);
        rep->phase = FW_REPLICA_SEARCH;
    }
    else {
        read_parts(rep, r, out);
        /* Records may have expired since the search began. */
        s->next_offset =
            r->n > 0 ? r->first_offset + (uint64_t)r->n : s->end_offset;
    }
    if (s->next_offset >= s->end_offset) {
        end_window(rep, now_us, out);
    }
}
