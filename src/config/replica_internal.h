/* Internal interface of the configuration replica. */
#ifndef FW_CONFIG_REPLICA_INTERNAL_H
#define FW_CONFIG_REPLICA_INTERNAL_H

#include "config/replica.h"
#include "config/snapshot.h"

/* How long the log holds a read while there is no new record. */
#define FW_REPLICA_READ_WAIT_US (2 * FW_SEC)
#define FW_REPLICA_READ_TIMEOUT_US (10 * FW_SEC) /* also of appends */
#define FW_REPLICA_BACKOFF_MIN_US (200 * FW_MSEC)
#define FW_REPLICA_BACKOFF_MAX_US (5 * FW_SEC)
#define FW_REPLICA_READ_RECORDS_MAX 256

/*
 * The newest complete snapshot is searched for in a window at the end of
 * stream "snapshot", which grows until it contains one.
 */
#define FW_SEARCH_READ_RECORDS_MAX 4
#define FW_SEARCH_WINDOW_RECORDS 256

/* When a snapshot is written: see snapshot_is_due in replica_snapshot.c. */
#define FW_SNAPSHOT_INTERVAL_RECORDS 500
#define FW_SNAPSHOT_AGE_MAX_US (21600 * FW_SEC)
#define FW_SNAPSHOT_CHECK_INTERVAL_US (300 * FW_SEC)
#define FW_SNAPSHOT_APPEND_PARTS_MAX 8
#define FW_SNAPSHOT_RETRY_DELAY_US (2 * FW_SEC)
/* Rows per step, which take about 1 ms, and the interval between steps. */
#define FW_SNAPSHOT_STEP_ROWS 256
#define FW_SNAPSHOT_STEP_INTERVAL_US (5 * FW_MSEC)
/* After so many restarts by changes a snapshot is written in one step. */
#define FW_SNAPSHOT_RESTARTS_MAX 5
/* Random delay, so that mostly one of several writers writes a snapshot. */
#define FW_SNAPSHOT_JITTER_MAX_US (20 * FW_SEC)

/* Staleness of the replica from which it asks peers for their state. */
#define FW_PEER_REQUEST_STALENESS_US (5 * FW_SEC)
#define FW_PEER_RESEND_INTERVAL_US (1 * FW_SEC)
/* Interval between requests to different peers once the replica is ready. */
#define FW_PEER_READY_INTERVAL_US (30 * FW_SEC)
#define FW_PEER_RETRIES_MAX 5
/* How long a snapshot for peers is kept after the last request. */
#define FW_PEER_SNAPSHOT_KEEP_US (30 * FW_SEC)

/**
 * enum fw_replica_phase - purpose of the reads.
 * @FW_REPLICA_READ_BOUNDS: get first and end offset of stream "snapshot"
 * @FW_REPLICA_SEARCH: find the newest complete snapshot
 * @FW_REPLICA_FOLLOW: follow the configuration log
 */
enum fw_replica_phase {
    FW_REPLICA_READ_BOUNDS,
    FW_REPLICA_SEARCH,
    FW_REPLICA_FOLLOW,
};

/** struct fw_replica_metrics - metrics of the replica. */
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
 * struct fw_replica_search - search for the newest complete snapshot.
 * @oldest_offset: oldest offset of the stream when the search began
 * @end_offset: end of the stream when the search began, exclusive
 * @next_offset: next offset to read
 * @window_start: first offset of the window
 * @window_records: length of the window
 * @newest: newest state found so far, or NULL
 * @newest_first: upper bound for the offset of its snapshot's first part
 */
struct fw_replica_search {
    uint64_t oldest_offset;
    uint64_t end_offset;
    uint64_t next_offset;
    uint64_t window_start;
    uint64_t window_records;
    struct fw_config_state *newest;
    uint64_t newest_first;
    struct fw_snapshot_assembler assembler;
};

/**
 * struct fw_replica_writer - writer of snapshots.
 * @enabled: nonzero if this instance writes snapshots
 * @newest: configuration offset of the newest complete snapshot in the log, 0
 *          if there is none
 * @newest_us: when that snapshot was found or written
 * @newest_first: offset of its first part in stream "snapshot"
 * @incomplete_end: end of the stream when it was last seen to end in an
 *                  incomplete snapshot
 * @check_due_us: when to read the last record of the stream next
 * @tail_offset: offset of that record, 0 if the end is not known yet
 * @ticket: ticket of the pending read or append, 0 for none
 * @sent_us: when it was sent
 * @snapshot: snapshot being written or appended, or NULL
 * @next_part: index of its next part to append
 * @append_due_us: when the next step or append is due
 * @begin_due_us: when to begin a snapshot that is due, 0 if none is due
 * @restarts: how often changes made the snapshot start anew
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
    struct fw_snapshot *snapshot;
    unsigned next_part;
    int64_t append_due_us;
    int64_t begin_due_us;
    int restarts;
};

/**
 * struct fw_replica_peer - state transfer from and to peers.
 * @name: peer that the state is requested from, empty for none
 * @addr: its address
 * @snapshot_id: snapshot being received, empty before its first part
 * @offset: unused
 * @next_part: index of the next part to request
 * @request_sent_us: when the last request was sent
 * @retries: requests sent again since the last part arrived
 * @served: snapshot for other instances, or NULL
 * @served_restarts: how often changes made it start anew
 * @served_until_us: when it is dropped
 */
struct fw_replica_peer {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char snapshot_id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    unsigned next_part;
    int64_t request_sent_us;
    int retries;
    struct fw_snapshot_assembler assembler;
    struct fw_snapshot *served;
    int served_restarts;
    int64_t served_until_us;
};

/**
 * struct fw_config_replica - see replica.h.
 * @state: the replicated state
 * @ready: see Fw_ConfigReplica_IsReady
 * @seq: number of the last ticket
 * @read_ticket: ticket of the pending read, 0 for none
 * @read_sent_us: when it was sent
 * @read_due_us: when the next read is due
 * @last_success_us: when the last successful read of the configuration log was
 *                   sent; initially the time of creation
 * @backoff_us: delay after the next failed read, before jitter
 * @oldest_offset: oldest record that the configuration log still has
 * @gap: nonzero while the log lacks the next record, which has expired
 */
struct fw_config_replica {
    char instance[FW_NAME_MAX];
    GRand *rand;
    struct fw_config_state *state;
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

/* Returns a new ticket for a read or an append. */
uint64_t
Fw_ConfigReplica_NewTicket(struct fw_config_replica *rep);
/**
 * Fw_ConfigReplica_StepSnapshot - writes the next rows of a snapshot.
 * @snapshot: the snapshot; one is begun if it points to NULL, and begun anew
 *            if the state has changed
 * @prefix: first letter of the id of a new snapshot
 * @restarts: incremented when the snapshot is begun anew
 *
 * Return: nonzero when the snapshot is complete.
 */
int
Fw_ConfigReplica_StepSnapshot(struct fw_config_replica *rep,
                              struct fw_snapshot **snapshot, char prefix,
                              int *restarts);
/* Delays the next read, exponentially with each failure. */
void
Fw_ConfigReplica_BackOff(struct fw_config_replica *rep, int64_t now_us);
/**
 * Fw_ConfigReplica_Install - replaces the state by @state if that is newer.
 * @state: new state, freed if it is not newer
 * @source: "log" or "peer", for log and metrics
 *
 * Return: nonzero if @state was installed.
 */
int
Fw_ConfigReplica_Install(struct fw_config_replica *rep,
                         struct fw_config_state *state, const char *source,
                         struct fw_actions *out);

/* replica_search.c */
void
Fw_ConfigReplica_StartSearch(struct fw_config_replica *rep);
void
Fw_ConfigReplica_SendSearchRead(struct fw_config_replica *rep,
                                struct fw_actions *out);
void
Fw_ConfigReplica_OnSearchRecords(struct fw_config_replica *rep,
                                 const struct fw_log_records *r,
                                 int64_t now_us, struct fw_actions *out);

/* replica_snapshot.c */
void
Fw_ConfigReplica_TickWriter(struct fw_config_replica *rep, int64_t now_us,
                            struct fw_actions *out);
void
Fw_ConfigReplica_OnWriterRecords(struct fw_config_replica *rep,
                                 const struct fw_log_records *r,
                                 int64_t now_us);
void
Fw_ConfigReplica_OnWriterAppended(struct fw_config_replica *rep,
                                  const struct fw_log_appended *a,
                                  int64_t now_us);

/* replica_peer.c */
void
Fw_ConfigReplica_TickPeer(struct fw_config_replica *rep, int64_t now_us,
                          struct fw_actions *out);
void
Fw_ConfigReplica_ResetPeer(struct fw_config_replica *rep);

#endif
