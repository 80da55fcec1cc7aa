/* The fold's state, shared inside src/config only. */
#ifndef FW_CONFIG_FOLD_INTERNAL_H
#define FW_CONFIG_FOLD_INTERNAL_H

#include "config/fold.h"
#include "config/snapshot.h"

#define FW_REPLICA_READ_WAIT_US                                               \
    (2 * FW_SEC) /* the log holds a read back so long */
#define FW_REPLICA_READ_TIMEOUT_US                                            \
    (10 * FW_SEC) /* a read without answer is given up */
#define FW_REPLICA_BACKOFF_MIN_US (200 * FW_MSEC)
#define FW_REPLICA_BACKOFF_MAX_US (5 * FW_SEC)
#define FW_REPLICA_READ_RECORDS_MAX 256 /* records asked for at once */

/* The newest whole snapshot is looked for in a window before the end that
 * grows until one is found. */
#define FW_SEARCH_READ_RECORDS_MAX 4
#define FW_SEARCH_WINDOW_RECORDS 256

/* When the writer appends a snapshot, see snap_due in fold_write.c. */
#define FW_SNAPSHOT_INTERVAL_RECORDS 500
#define FW_SNAPSHOT_AGE_MAX_US (21600 * FW_SEC)
#define FW_SNAPSHOT_CHECK_INTERVAL_US (300 * FW_SEC)
#define FW_SNAPSHOT_APPEND_PARTS_MAX 8 /* parts in one append */
#define FW_SNAPSHOT_RETRY_DELAY_US (2 * FW_SEC)
/* Rows written at once, about a millisecond's work, and the pause between. */
#define FW_SNAPSHOT_STEP_ROWS 256
#define FW_SNAPSHOT_STEP_INTERVAL_US (5 * FW_MSEC)
#define FW_SNAPSHOT_RESTARTS_MAX                                              \
    5 /* by changes, then it is written in one go */
#define FW_SNAPSHOT_JITTER_MAX_US                                             \
    (20 * FW_SEC) /* between writers of the regions */

/* Peers are asked once the log has been silent for so long. */
#define FW_PEER_REQUEST_STALENESS_US (5 * FW_SEC)
#define FW_PEER_RESEND_INTERVAL_US (1 * FW_SEC)
#define FW_PEER_READY_INTERVAL_US                                             \
    (30 * FW_SEC) /* between peers, once configured */
#define FW_PEER_RETRIES_MAX 5
#define FW_PEER_SNAPSHOT_KEEP_US (30 * FW_SEC)

/** enum fw_replica_phase - what the reads are for. */
enum fw_replica_phase {
    FW_REPLICA_READ_BOUNDS, /* where stream "snapshot" begins and ends */
    FW_REPLICA_SEARCH,      /* its newest whole snapshot */
    FW_REPLICA_FOLLOW,      /* the records after it */
};

/** struct fw_replica_metrics - counters of the fold. */
struct fw_replica_metrics {
    struct fw_metric offset;
    struct fw_metric verdicts[4]; /* by enum fw_change_verdict */
    struct fw_metric read_failures;
    struct fw_metric adopted_log;
    struct fw_metric adopted_peer;
    struct fw_metric snap_refused;
    struct fw_metric snap_written;
    struct fw_metric gap;
};

/**
 * struct fw_replica_search - search for the newest whole snapshot.
 * @oldest_offset, @end_offset: of the stream, when the search began
 * @next_offset: next offset to read
 * @window_start: where the window began
 * @window_records: its length
 * @newest: newest whole one so far, or NULL
 * @newest_first: offset of its first part, at most
 */
struct fw_replica_search {
    uint64_t oldest_offset;
    uint64_t end_offset;
    uint64_t next_offset;
    uint64_t window_start;
    uint64_t window_records;
    struct fw_state *newest;
    uint64_t newest_first;
    struct fw_snap_collector assembler;
};

/**
 * struct fw_replica_writer - this instance as writer of snapshots.
 * @enabled: it is the one that writes
 * @newest: offset of the newest whole snapshot known in the log, 0 for none
 * @newest_us: when it was seen first
 * @newest_first: offset of its first part
 * @incomplete_end: end of the stream when its last part was seen to be no last
 * one
 * @check_due_us: when the stream's end is looked at next
 * @tail_offset: offset to look at, 0: ask for the bounds first
 * @ticket: of the read or append under way, 0 for none
 * @sent_us: when it was sent
 * @snapshot: snapshot being appended, or NULL; @next_part: its next part
 * @append_due_us: when the next group may go
 * @restarts: how often a change came while it was written
 * @begin_due_us: when a snapshot that is due is begun, 0 while none is
 */
struct fw_replica_writer {
    int enabled;
    uint64_t newest;
    int64_t newest_us;
    uint64_t newest_first;
    uint64_t incomplete_end;
    int64_t check_due_us;
    uint64_t tail_offset;
    uint64_t ticket;
    int64_t sent_us;
    struct fw_snap_text *snapshot;
    unsigned next_part;
    int64_t append_due_us;
    int64_t begin_due_us;
    int restarts;
};

/**
 * struct fw_replica_peer - state from and for peers.
 * @name, @addr: who is asked, empty for nobody
 * @snapshot_id: snapshot being taken, empty before its first part
 * @offset: of that snapshot
 * @served: last snapshot made for others, kept until @served_until_us
 */
struct fw_replica_peer {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char snapshot_id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    unsigned next_part;
    int64_t request_sent_us;
    int retries;
    struct fw_snap_collector assembler;
    struct fw_snap_text *served;
    int served_restarts;
    int64_t served_until_us;
};

/**
 * struct fw_fold - see fold.h.
 * @read_ticket: of the read under way, 0 for none
 * @read_sent_us: when it was sent
 * @read_due_us: when the next may be sent
 * @last_success_us: when the last read that succeeded was sent
 * @oldest_offset: oldest record that the configuration log still has
 * @gap: the log no longer has the record after ours
 */
struct fw_fold {
    char instance[FW_NAME_MAX];
    GRand *rand;
    struct fw_state *state;
    int ready;
    enum fw_replica_phase phase;
    uint64_t seq;
    uint64_t read_ticket;
    int64_t read_sent_us;
    int64_t read_due_us;
    int64_t last_success_us;
    int64_t backoff_us;
    uint64_t oldest_offset;
    int gap;
    struct fw_replica_search search;
    struct fw_replica_writer writer;
    struct fw_replica_peer peer;
    struct fw_replica_metrics metrics;
};

uint64_t
Fw_ConfigReplica_NewTicket(struct fw_fold *f);
/**
 * Fw_ConfigReplica_StepSnapshot - goes on with a snapshot of what is in force.
 * @snapshot: begun under @prefix when it points to NULL, or anew when a change
 *        came between
 * @restarts: counts those
 *
 * Return: nonzero when it is whole.
 */
int
Fw_ConfigReplica_StepSnapshot(struct fw_fold *f, struct fw_snap_text **text,
                              char prefix, int *restarts);
/* Sends the next read later, and later again after each failure. */
void
Fw_ConfigReplica_BackOff(struct fw_fold *f, int64_t now_us);
/**
 * Fw_ConfigReplica_Install - puts @state in force if it is newer; frees it
 * otherwise.
 *
 * Return: nonzero when it is in force now.
 */
int
Fw_ConfigReplica_Install(struct fw_fold *f, struct fw_state *st,
                         const char *source, struct fw_actions *out);

/* fold_find.c */
void
Fw_ConfigReplica_StartSearch(struct fw_fold *f);
void
Fw_ConfigReplica_SendSearchRead(struct fw_fold *f, struct fw_actions *out);
void
Fw_ConfigReplica_OnSearchRecords(struct fw_fold *f,
                                 const struct fw_log_records *r,
                                 int64_t now_us, struct fw_actions *out);

/* fold_write.c */
void
Fw_ConfigReplica_TickWriter(struct fw_fold *f, int64_t now_us,
                            struct fw_actions *out);
void
Fw_ConfigReplica_OnWriterRecords(struct fw_fold *f,
                                 const struct fw_log_records *r,
                                 int64_t now_us);
void
Fw_ConfigReplica_OnWriterAppended(struct fw_fold *f,
                                  const struct fw_log_appended *a,
                                  int64_t now_us);

/* fold_peer.c */
void
Fw_ConfigReplica_TickPeer(struct fw_fold *f, int64_t now_us,
                          struct fw_actions *out);
void
Fw_ConfigReplica_ResetPeer(struct fw_fold *f);

#endif
