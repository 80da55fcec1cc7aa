/* Declarations private to src/idem. */
#ifndef FW_IDEM_INTERNAL_H
#define FW_IDEM_INTERNAL_H

#include "idem/idem.h"
#include "idem/record.h"
#include "idem/table.h"

/* Limit of the whole fleet, divided among regions and partitions. */
#define FW_IDEM_APPENDS_PER_S 200
#define FW_IDEM_BATCH_WINDOW_US (3 * FW_MSEC)
#define FW_IDEM_BATCH_RECORDS_MAX 256
#define FW_IDEM_READ_RECORDS_MAX 1000
/* A claim that the coordinator has not answered goes to the log directly. */
#define FW_IDEM_COORDINATOR_TIMEOUT_US (1500 * FW_MSEC)
#define FW_IDEM_CLAIM_TIMEOUT_US (4 * FW_SEC)
/* A call must be sent within this time of its claim. */
#define FW_IDEM_GRANT_TTL_US (10 * FW_SEC)
/* How long a claim waits for the outcome of an earlier attempt. */
#define FW_IDEM_OUTCOME_WAIT_US (2 * FW_SEC)
/* Reads of the stream with and without claims that wait for an outcome. */
#define FW_IDEM_POLL_INTERVAL_US (500 * FW_MSEC)
#define FW_IDEM_IDLE_POLL_INTERVAL_US (60 * FW_SEC)
#define FW_IDEM_OUTCOME_RETRY_US (2 * FW_SEC)
/* Recording an outcome is retried this long. */
#define FW_IDEM_OUTCOME_TIMEOUT_US (900 * FW_SEC)
#define FW_IDEM_BACKOFF_US (50 * FW_MSEC)
#define FW_IDEM_BACKOFF_MAX_US (10 * FW_SEC)
/* Consecutive log failures after which claims are rejected at once. */
#define FW_IDEM_BREAKER_FAILURES 4
#define FW_IDEM_MARK_INTERVAL_US (300 * FW_SEC)
/* From start until partitions are loaded ahead of the first claim. */
#define FW_IDEM_PRELOAD_DELAY_US (30 * FW_SEC)
/* Largest difference assumed between two wall clocks. */
#define FW_IDEM_CLOCK_SKEW_MS 60000

/** enum fw_idem_phase - state of a partition. */
enum fw_idem_phase {
    FW_IDEM_UNLOADED,
    FW_IDEM_LOADING,
    FW_IDEM_READY,
    FW_IDEM_APPENDING,
    FW_IDEM_READING_BACK, /* reads up to the end of an append */
};

/**
 * struct fw_idem_request - a claim or outcome to be processed by a partition.
 * @rec: record to be appended
 * @requester: peer to answer, empty for this instance
 * @op: operation number of the requester
 * @key_time_ms: time in the idempotency key, 0 for none
 * @deadline_us: the requester waits no longer than this
 * @wait_until_us: end of the wait for an earlier attempt's outcome or for
 *                 the read of its record, 0 while there is none
 * @fetch_ticket: log ticket of the read of a recorded outcome, 0 for none
 * @in_log: the record was found in the log
 * @append_sent: an append with the record may have reached the log
 */
struct fw_idem_request {
    struct fw_list link;
    struct fw_idem_record rec;
    char requester[FW_NAME_MAX];
    uint64_t op;
    int64_t key_time_ms;
    int64_t deadline_us;
    int64_t wait_until_us;
    uint64_t fetch_ticket;
    int in_log;
    int append_sent;
};

/**
 * struct fw_idem_partition - one log stream and the requests for its keys.
 * @queued: requests for the next append
 * @in_flight: requests in the append under way
 * @waiters: claims that wait for an earlier attempt's outcome, or for the read
 *           of its record
 * @ticket: of the log operation under way, 0 for none
 * @target_offset: reads go on until the table reaches it; 0 for the current
 *                 end of the stream
 * @batch_due_us: end of the batch window of @queued
 * @next_append_us: earliest time of the next append
 * @retry_us: no log operation before, after a failure
 * @failures: consecutive failures of log operations
 */
struct fw_idem_partition {
    char stream[FW_NAME_MAX];
    enum fw_idem_phase phase;
    struct fw_idem_table table;
    struct fw_list queued;
    struct fw_list in_flight;
    struct fw_list waiters;
    uint64_t ticket;
    uint64_t target_offset;
    int64_t batch_due_us;
    int64_t next_append_us;
    int64_t next_poll_us;
    int64_t next_mark_us;
    int64_t retry_us;
    int failures;
};

/** enum fw_idem_stage - state of a claim made here. */
enum fw_idem_stage {
    FW_IDEM_CLAIMING,
    FW_IDEM_ANSWERED,
    FW_IDEM_TAKEN, /* the answer was taken; if granted, may be sent once */
    FW_IDEM_SENT,
};

/**
 * struct fw_idem_call - a call claimed by this instance.
 * @local: the claim is processed by this instance, not by a coordinator
 */
struct fw_idem_call {
    struct fw_list link;
    enum fw_idem_stage stage;
    struct fw_idem_answer answer;
    struct fw_idem_claim_msg claim;
    int64_t claimed_us;
    int local;
};

/** struct fw_idem_pending_outcome - outcome without acknowledgement. */
struct fw_idem_pending_outcome {
    struct fw_list link;
    struct fw_idem_outcome_msg msg;
    int64_t created_us;
    int64_t sent_us;
    int attempts;
};

struct fw_idem {
    const struct fw_self *self;
    const struct fw_fleet *fleet;
    int n_partitions;
    struct fw_idem_partition *partitions;
    uint64_t seq;
    int64_t start_us;
    int64_t next_preload_us;
    int next_preload;
    struct fw_list calls;
    struct fw_list outcomes;
    struct fw_metric opened;
    struct fw_metric unavailable;
    struct fw_metric too_old;
    struct fw_metric appends;
    struct fw_metric records;
    struct fw_metric lost_answers;
    struct fw_metric loads;
};

/* idem_query.c */
/* Wall-clock time in milliseconds, by the boot time and the run time. */
int64_t
Fw_Idem_WallMs(const struct fw_idem *c, int64_t now_us);
struct fw_idem_partition *
Fw_Idem_FindPartition(struct fw_idem *c, const char *digest);
/* Return: the member of this region that coordinates @p, or NULL. */
const struct fw_member *
Fw_Idem_Coordinator(const struct fw_idem *c,
                    const struct fw_idem_partition *p);
/* Number of regions with members, at least 1. Every region has a coordinator
 * of its own for each partition. */
int
Fw_Idem_CountRegions(const struct fw_idem *c);
/* Delay before a rejected caller should retry, with jitter. */
int64_t
Fw_Idem_RetryAfter(const struct fw_idem *c, const struct fw_idem_partition *p,
                   uint64_t op, int64_t now_us);
/* Nonzero when no record of a key with the time @key_time_ms, 0 for none, can
 * have been deleted. */
int
Fw_Idem_IsKeyRetained(const struct fw_idem *c, const struct fw_idem_table *t,
                      int64_t key_time_ms, int64_t now_us);
/* Return: wall-clock time in milliseconds embedded in @key, 0 for none. */
int64_t
Fw_Idem_ParseKeyTime(const char *key);

/* claim_cmd.c */
/* Return: a new number for a message or a log operation. */
uint64_t
Fw_Idem_NewOp(struct fw_idem *c);
void
Fw_Idem_OnClaimReply(struct fw_idem *c, struct fw_idem_claim_reply *reply,
                     int64_t now_us, struct fw_actions *out);
void
Fw_Idem_OnOutcomeAck(struct fw_idem *c, uint64_t op);
void
Fw_Idem_TickCalls(struct fw_idem *c, int64_t now_us, struct fw_actions *out);

/* partition_cmd.c; @from is empty for requests of this instance. */
void
Fw_Idem_OnClaim(struct fw_idem *c, const char *from,
                const struct fw_idem_claim_msg *m, int64_t now_us,
                struct fw_actions *out);
/* Takes a reference to the body of @msg. */
void
Fw_Idem_OnOutcome(struct fw_idem *c, const char *from,
                  const struct fw_idem_outcome_msg *msg, int64_t now_us,
                  struct fw_actions *out);
/* Starts the next log operation of @p that is due, if none is under way. */
void
Fw_Idem_RunPartition(struct fw_idem *c, struct fw_idem_partition *p,
                     int64_t now_us, struct fw_actions *out);
/* Delays further log operations after a failure, with exponential backoff. */
void
Fw_Idem_BackOff(struct fw_idem *c, struct fw_idem_partition *p,
                int64_t now_us);
void
Fw_Idem_FreeRequest(struct fw_idem_request *rq);

/* partition_read.c */
void
Fw_Idem_StartRead(struct fw_idem *c, struct fw_idem_partition *p,
                  struct fw_actions *out);
void
Fw_Idem_FinishAppend(struct fw_idem *c, struct fw_idem_partition *p,
                     const struct fw_log_appended *appended, int64_t now_us,
                     struct fw_actions *out);
void
Fw_Idem_FinishRead(struct fw_idem *c, struct fw_idem_partition *p,
                   const struct fw_log_records *r, int64_t now_us,
                   struct fw_actions *out);

/* decide_cmd.c */
/* Answers and frees @rq, or makes it wait for the first attempt's outcome. */
void
Fw_Idem_Decide(struct fw_idem *c, struct fw_idem_partition *p,
               struct fw_idem_request *rq, int64_t now_us,
               struct fw_actions *out);
/* Decides waiting claims anew from the current table. */
void
Fw_Idem_DecideWaiters(struct fw_idem *c, struct fw_idem_partition *p,
                      int64_t now_us, struct fw_actions *out);
/* Answers @rq as unavailable, or as outcome unknown if another attempt has
 * begun, and frees it. */
void
Fw_Idem_Reject(struct fw_idem *c, struct fw_idem_partition *p,
               struct fw_idem_request *rq, int64_t now_us,
               struct fw_actions *out);
/* Answers @rq with the outcome in @r, or as outcome unknown if @r does not
 * have it, and frees it. */
void
Fw_Idem_FinishFetch(struct fw_idem *c, struct fw_idem_partition *p,
                    struct fw_idem_request *rq, const struct fw_log_records *r,
                    int64_t now_us, struct fw_actions *out);

#endif
