/* Shared by the files of src/relayd. */
#ifndef FW_RELAYD_INTERNAL_H
#define FW_RELAYD_INTERNAL_H

#include <gio/gio.h>
#include <syslog.h>

#include "http/client.h"
#include "http/events.h"
#include "platform/platform.h"
#include "relayd/relayd.h"

/** struct fw_caller_rec - a caller's request as the shell holds it. */
struct fw_caller_rec {
    uint64_t id;
    struct fw_http_caller *caller;
    const struct fw_http_head *head; /* of its connection */
    GBytes *body;
    char request_id[FW_ID_MAX];
    uint64_t passing; /* xid whose response goes to it, 0 for none */
};

/**
 * struct fw_up_rec - a call to an upstream.
 * @call: the caller's request or 0
 * @fields: header lines for the caller, @length of the body or -1
 * @body: what is kept of the response
 * @begun: the core knows of the response, its bytes go through
 * @done: the response is whole
 * @part_us: when the last part of a passed response came, 0 for none
 */
struct fw_up_rec {
    struct fw_relayd *d;
    uint64_t xid;
    uint64_t call;
    enum fw_rl_upstream_kind kind;
    char request_id[FW_ID_MAX];
    struct fw_exchange *x;
    struct fw_rl_upstream_response ans;
    GString *fields;
    int64_t length;
    GByteArray *body;
    int whole;
    int begun;
    int done;
    struct fw_event_count events;
    int64_t part_us;
};

struct fw_relayd {
    struct fw_relayd_opts opts;
    char *settings_path;
    int64_t settings_mtime_us;
    int64_t settings_us; /* when that was last looked at */
    struct fw_relay *relay;
    struct fw_pool *pool;
    struct fw_http_server *callers;
    struct fw_http_server *ready;
    struct fw_http_server *metrics;
    struct fw_http_server *handover; /* to other instances */
    GSocket *peers;
    GSource *peers_source;
    struct fw_rl_outbox mail;
    struct fw_metric digests_unsent;
    struct fw_metric sent;
    struct fw_metric sent_bytes;
    struct fw_metric received;
    struct fw_histogram gap_s;
    GHashTable *by_caller; /* struct fw_http_caller to fw_caller_rec */
    GHashTable *by_call;   /* id to fw_caller_rec */
    GHashTable *ups;       /* xid to fw_up_rec */
    GQueue failed;         /* xids of calls that could not be begun */
    uint64_t last_call;
    struct fw_store *store;
    GSource *timer;
    guint signals[3];
    int64_t ticked_us;
    int64_t drain_us;
    int over;
};

/* relayd.c */
/* A request that broke a limit or the protocol; of struct fw_http_ops. */
void
Fw_Relayd_Malformed(void *ctx, int status, const char *why);

/* up.c */
void
Fw_Up_AddMetrics(struct fw_relayd *d);
void
Fw_Up_Start(struct fw_relayd *d, const struct fw_rl_upstream_call *c);
void
Fw_Up_Stop(struct fw_relayd *d, uint64_t xid);
void
Fw_Up_Free(gpointer rec);
/* Hands what came of @rec's response to the caller, and what follows. */
void
Fw_Up_Pass(struct fw_up_rec *rec, struct fw_caller_rec *to);

/* acts.c */
/* Carries out what the core wants, and what follows from that. */
void
Fw_Relayd_CarryOut(struct fw_relayd *d, struct fw_rl_actions *acts);

/* store.c */
struct fw_store *
Fw_Store_New(struct fw_relayd *d);
void
Fw_Store_Free(struct fw_store *s);
void
Fw_Store_Tick(struct fw_store *s, int64_t now_us);
/* Claims the order role at the end of its topic. */
void
Fw_Store_Claim(struct fw_store *s, uint64_t end);

/* store_take.c */
/*
 * Hands the core what the records @got of @topic say, and keeps them in
 * @newest unless that is NULL.
 */
void
Fw_Store_Take(struct fw_relayd *d, enum fw_topic topic, GHashTable *newest,
              const struct fw_records *got, struct fw_rl_actions *acts);

/* peers.c */
int
Fw_Peer_Listen(struct fw_relayd *d);
/* Sends what other instances should get by now. */
void
Fw_Peer_Send(struct fw_relayd *d);
void
Fw_Peer_Close(struct fw_relayd *d);

/* status.c */
int
Fw_Status_Listen(struct fw_relayd *d);
/* Is @path what was asked for? */
int
Fw_Status_AsksFor(const struct fw_http_head *h, const char *path);

/* handover.c */
int
Fw_Handover_Listen(struct fw_relayd *d);

#endif
