/* Client of the platform's store; shared by its files. */
#ifndef FW_RELAYD_STORE_INTERNAL_H
#define FW_RELAYD_STORE_INTERNAL_H

#include "relayd/relayd_internal.h"

/**
 * enum fw_store_op - requests to the store.
 * @FW_STORE_OP_NEWEST: a page of the newest record of each key
 * @FW_STORE_OP_READ: the records from an offset on
 * @FW_STORE_OP_APPEND: a new record
 */
enum fw_store_op {
    FW_STORE_OP_NEWEST,
    FW_STORE_OP_READ,
    FW_STORE_OP_APPEND,
};

/**
 * struct fw_topic_client - keeps one topic up to date and appends to it. At
 * most one request is in flight.
 * @op: the next request, or the one in flight
 * @exchange: the request in flight, or NULL
 * @status, @body: of the response
 * @charged: charge of @body
 * @age_us: of a snapshot of the configuration: when its source knew it to be
 *          the newest, before the response; -1 if unknown
 * @sent_us: when the latest request was sent
 * @first_sent_us: when the request was sent whose response, with those of the
 *                 pages that followed, was applied last
 * @deadline_us: when the request in flight times out
 * @next_request_us: earliest time of the next request
 * @next_offset: first offset not read yet
 * @snapshot_end: offset at which reading continues after the newest records
 * @last_key: last key of the latest page of newest records
 * @paging: a page of newest records was read and more follow
 * @wait_us: how long the store may hold a read open for a new record
 * @interval_us: time between reads
 * @append_value: value to append, NULL for none
 * @append_key: its key
 * @append_offset: append only at this offset, UINT64_MAX for any
 * @peer_addr: instance that a snapshot is requested from; empty for the store
 * @force_store: a snapshot request failed: the next request goes to the store
 * @snapshot: for other instances, NULL for a topic without one
 */
struct fw_topic_client {
    struct fw_store_client *store;
    enum fw_store_topic topic;
    enum fw_store_op op;
    struct fw_exchange *exchange;
    int status;
    int64_t age_us;
    GByteArray *body;
    size_t charged;
    int64_t sent_us;
    int64_t first_sent_us;
    int64_t deadline_us;
    int64_t next_request_us;
    uint64_t next_offset;
    uint64_t snapshot_end;
    char last_key[FW_STORE_KEY_MAX];
    int paging;
    int64_t wait_us;
    int64_t interval_us;
    char *append_value;
    char append_key[FW_ID_MAX];
    uint64_t append_offset;
    char peer_addr[FW_URL_MAX];
    int force_store;
    struct fw_peer_snapshot *snapshot;
};

/** enum fw_store_outcome - outcomes of requests to the store. */
enum fw_store_outcome {
    FW_STORE_OUTCOME_OK,
    FW_STORE_OUTCOME_REFUSED,    /* unexpected status */
    FW_STORE_OUTCOME_UNREADABLE, /* malformed body */
    FW_STORE_OUTCOME_LOST,       /* timeout or connection failure */
    FW_STORE_OUTCOME_COUNT,
};

#define FW_STORE_OP_COUNT (FW_STORE_OP_APPEND + 1)

/**
 * struct fw_store_client - client of the store, one part per topic.
 * @is_registered: the list of instances has this one, with its present address
 * @unreachable_since_us: time of the first failure since the store last
 *                        answered, 0 while it answers
 * @requests: counters by operation and outcome
 */
struct fw_store_client {
    struct fw_relayd *d;
    struct fw_topic_client config;
    struct fw_topic_client servers;
    struct fw_topic_client instances;
    struct fw_topic_client leader;
    int is_registered;
    int64_t unreachable_since_us;
    struct fw_metric requests[FW_STORE_OP_COUNT][FW_STORE_OUTCOME_COUNT];
    struct fw_metric unreachable_ms;
};

/* store_metrics.c */
/* Counts the latest request of @tc. */
void
Fw_StoreClient_CountRequest(struct fw_topic_client *tc,
                            enum fw_store_outcome outcome);
void
Fw_StoreClient_AddMetrics(struct fw_store_client *s, struct fw_metrics *m);

/*
 * presence_record.c: records of the instances that one of them sees, in the
 * topic of the registrations.
 */
/* JSON of the hashes in @seen, which the caller frees. */
char *
Fw_Presence_ToJson(const GArray *seen);
/* Key of the record that the instance @name publishes. */
void
Fw_Presence_Key(const char *name, char *key, size_t size);
/* The publisher's name, a part of @key, or NULL for a registration. */
const char *
Fw_Presence_Publisher(const char *key);
/* Return: the hashes, which the caller frees, or NULL for an invalid record.
 */
GArray *
Fw_Presence_Parse(const void *data, size_t len);

/*
 * crash_record.c: records about crashes, in the topic of the registrations.
 * @now_us: the time of the core; @wall_us: the same by the calendar
 */
int
Fw_CrashRecord_IsKey(const char *key);
void
Fw_CrashRecord_Key(const struct fw_rl_crash_record *rec, char *key,
                   size_t size);
/* Value of the record, which the caller frees; empty if it is deleted. */
char *
Fw_CrashRecord_Value(const struct fw_rl_crash_record *rec, int64_t now_us,
                     int64_t wall_us);
/* Return: 0, or -EBADMSG if @rec can't be read. */
int
Fw_CrashRecord_Parse(const struct fw_store_record *rec, int64_t now_us,
                     int64_t wall_us, struct fw_rl_crash_record *out);

/* store_response.c */
/* Handles the response in @tc->status and @tc->body. */
void
Fw_TopicClient_OnResponse(struct fw_topic_client *tc);
/* Name of the topic, for the log. */
const char *
Fw_TopicClient_Label(const struct fw_topic_client *tc);
/* Frees the body of the response. */
void
Fw_TopicClient_DropBody(struct fw_topic_client *tc);
/* Handles a request that got no response; @why: the reason, for the log. */
void
Fw_TopicClient_OnFailure(struct fw_topic_client *tc, const char *why);

/*
 * peer_snapshot.c: the newest record of each key of a topic, which instances
 * request from one another.
 */
/* Header field of a snapshot: age of the configuration in microseconds. */
#define FW_PEER_AGE_FIELD "Configuration-Age-Us"

struct fw_peer_snapshot *
Fw_PeerSnapshot_New(void);
void
Fw_PeerSnapshot_Free(struct fw_peer_snapshot *s);
/* Removes all records, to be followed by the newest ones as of @end. */
void
Fw_PeerSnapshot_Begin(struct fw_peer_snapshot *s, uint64_t end);
int
Fw_PeerSnapshot_Contains(const struct fw_peer_snapshot *s, const char *key);
/*
 * Replaces the record of the key of @rec, or removes it when the value is
 * NULL. Records older than the one present are ignored.
 */
void
Fw_PeerSnapshot_Update(struct fw_peer_snapshot *s,
                       const struct fw_store_record *rec);
/*
 * Appends the records from the offset @since on, deletions included, to @out,
 * or all records if not all deletions since then are known. @end: all records
 * before this offset were applied.
 */
void
Fw_PeerSnapshot_Encode(struct fw_peer_snapshot *s, uint64_t since,
                       uint64_t end, GByteArray *out);
/*
 * Writes a request for the records of @topic from the offset @since on, 0 for
 * all, for the instance at @addr.
 */
void
Fw_PeerSnapshot_WriteRequest(enum fw_store_topic topic, uint64_t since,
                             const char *addr, GString *head);
/*
 * Return: 0 or -EBADMSG. @since: receives the offset from which on there are
 * records, 0 if all are there. @out must be cleared with
 * Fw_Platform_ClearStoreResponse, after an error too.
 */
int
Fw_PeerSnapshot_Decode(const void *data, size_t len, uint64_t *since,
                       struct fw_store_response *out);

#endif
