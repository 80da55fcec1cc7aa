/* Shared by the files that follow the platform's store. */
#ifndef FW_RELAYD_STORE_INTERNAL_H
#define FW_RELAYD_STORE_INTERNAL_H

#include "relayd/relayd_internal.h"

/** enum fw_step - what a follower asks for next. */
enum fw_step {
    FW_STEP_NEWEST,
    FW_STEP_READ,
    FW_STEP_APPEND,
};

/**
 * struct fw_follow - one topic.
 * @from: next offset to read
 * @after: last key of the newest records read so far
 * @page_end: where reading goes on after the newest records
 * @wait_us: how long a read may wait for a record
 * @every_us: pause between two reads
 * @value: what is appended, NULL when nothing is
 * @peer: instance that the newest records are asked of; "" for the store
 * @must: a peer has failed to give them: the store is asked
 * @newest: for other instances: key to its newest record
 */
struct fw_follow {
    struct fw_store *store;
    enum fw_topic topic;
    enum fw_step step;
    struct fw_exchange *x;
    int status;
    GByteArray *body;
    int64_t sent_us;
    int64_t until_us;
    int64_t next_us;
    uint64_t from;
    uint64_t page_end;
    char after[FW_ID_MAX];
    int paging;
    int64_t wait_us;
    int64_t every_us;
    char *value;
    uint64_t at;
    char peer[FW_URL_MAX];
    int must;
    GHashTable *newest;
};

/** enum fw_outcome - of a call to the store. */
enum fw_outcome {
    FW_OUTCOME_OK,
    FW_OUTCOME_REFUSED,    /* another status than one that says something */
    FW_OUTCOME_UNREADABLE, /* an answer that can't be decoded */
    FW_OUTCOME_LOST,       /* no answer, or the connection failed */
    FW_OUTCOMES,
};

#define FW_STEPS (FW_STEP_APPEND + 1)

/**
 * struct fw_store - the store as this instance sees it.
 * @calls: by what was asked and what became of it
 * @lost_us: since when nothing was heard, 0 if well
 */
struct fw_store {
    struct fw_relayd *d;
    struct fw_follow rules;
    struct fw_follow servers;
    struct fw_follow members;
    struct fw_follow lead;
    int64_t lost_us;
    struct fw_metric calls[FW_STEPS][FW_OUTCOMES];
    struct fw_metric age_ms;
};

/* store_count.c */
/* What became of the call that @f has made. */
void
Fw_Store_Count(struct fw_follow *f, enum fw_outcome outcome);
void
Fw_Store_AddCounts(struct fw_store *s, struct fw_metrics *m);

/* store_answer.c */
/* What was asked last for @f has an answer, in @f->status and @f->body. */
void
Fw_Follow_Ended(struct fw_follow *f);
/* It has none, for the reason @why. */
void
Fw_Follow_Failed(struct fw_follow *f, const char *why);

/* handover.c */
/* Records by key; see Fw_Handover_Keep. */
GHashTable *
Fw_Handover_New(void);
void
Fw_Handover_Keep(GHashTable *newest, const struct fw_record *rec);
/* The records, and the offset @end up to which they are the newest. */
void
Fw_Handover_Write(GHashTable *newest, uint64_t end, GByteArray *out);
void
Fw_Handover_WriteAsk(enum fw_topic topic, const char *addr, GString *head);
/* Return: 0 or -EBADMSG; @out is to be cleared in any case. */
int
Fw_Handover_Read(const void *data, size_t len, struct fw_records *out);

#endif
