/*
 * Test harness for one to three nodes, with the log, the list of instances and
 * messages between peers in memory, and upstream calls answered by the test.
 * The effects that callers and upstreams would see are recorded in a
 * transcript, a line each. It labels upstreams P1, D1, S1 and so on in order
 * of their first use, so that it doesn't depend on which one the router
 * prefers.
 */
#ifndef FW_TESTS_NODE_HARNESS_H
#define FW_TESTS_NODE_HARNESS_H

#include <glib.h>

#include "explore/memlog.h"
#include "node/node.h"

#define FW_HARNESS_NODES_MAX 3

/** enum harness_reply_mode - who answers upstream calls of one kind. */
enum harness_reply_mode {
    FW_HARNESS_AUTO, /* the harness, with success */
    FW_HARNESS_HOLD, /* the test */
};

/** struct harness_call - an upstream call that the test has to answer. */
struct harness_call {
    struct fw_list link;
    int node;
    struct fw_up_start up; /* its pointers dangle: the action is freed */
};

/** struct harness_delivery - an event that is due later; see harness.c. */
struct harness_delivery;

/**
 * struct harness - the nodes and their environment.
 * @wake_us: next tick of each node
 * @dead: killed nodes; they handle no events
 * @partitioned: nodes that exchange no messages with their peers
 * @exited: nodes that have drained and exited
 * @log_down: appends and reads of the log fail
 * @deliveries: struct harness_delivery
 * @calls: struct harness_call
 * @held_ids: engine-side ids; FW_UP_LIST_REQUESTS reports the first one
 * @held_attached: that id's owner is connected, see struct fw_up_request_list
 * @labels: upstream to its label
 * @transcript: recorded since the last Fw_Harness_ExpectTranscript
 */
struct harness {
    int n_nodes;
    struct fw_node *nodes[FW_HARNESS_NODES_MAX];
    int64_t wake_us[FW_HARNESS_NODES_MAX];
    int dead[FW_HARNESS_NODES_MAX];
    int partitioned[FW_HARNESS_NODES_MAX];
    int exited[FW_HARNESS_NODES_MAX];
    int64_t now_us;
    int log_down;
    struct fw_memlog log;
    struct fw_list deliveries;
    struct fw_list calls;
    enum harness_reply_mode reply_modes[FW_UP_SERVICE + 1];
    GPtrArray *held_ids;
    unsigned char held_attached;
    const char *load_models;
    GHashTable *labels;
    GString *transcript;
};

struct harness *
Fw_Harness_New(int nodes);
void
Fw_Harness_Free(struct harness *h);

/* Appends a record with the JSON @items to the configuration log. */
void
Fw_Harness_Configure(struct harness *h, const char *items);
/* Runs the nodes for @us of simulated time. */
void
Fw_Harness_Run(struct harness *h, int64_t us);

/* Opens a completion with key "key-a" of team "a". */
void
Fw_Harness_Post(struct harness *h, int node, uint64_t call,
                const char *request_id, const char *prompt,
                int64_t max_tokens);
void
Fw_Harness_PostWithKey(struct harness *h, int node, uint64_t call,
                       const char *key, const char *request_id,
                       const char *prompt, int64_t max_tokens);
void
Fw_Harness_CallService(struct harness *h, int node, uint64_t call,
                       const char *method, const char *path,
                       const char *idem_key, const char *body);
void
Fw_Harness_Close(struct harness *h, int node, uint64_t call);
void
Fw_Harness_Drain(struct harness *h, int node);
void
Fw_Harness_Kill(struct harness *h, int node);

/* The oldest waiting call of @kind; fails the test when there is none. */
struct harness_call *
Fw_Harness_FindCall(struct harness *h, enum fw_up_kind kind);
/* Answer a waiting call; all but Fw_Harness_SendPiece free @c. */
void
Fw_Harness_SendPiece(struct harness *h, struct harness_call *c, int64_t index,
                     const char *text);
void
Fw_Harness_CompleteCall(struct harness *h, struct harness_call *c,
                        int64_t tokens);
void
Fw_Harness_FailCall(struct harness *h, struct harness_call *c, enum fw_ran ran,
                    int status, int err);

/* Hands @ev to @node and performs the resulting actions. */
void
Fw_Harness_Step(struct harness *h, int node, const struct fw_event *ev);

/* harness_record.c */
/* Adds a line to the transcript. */
void
Fw_Harness_Record(struct harness *h, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void
Fw_Harness_RecordUpstreamCall(struct harness *h, const struct fw_up_start *up);
void
Fw_Harness_RecordCallerAction(struct harness *h, const struct fw_action *a);
/* The label of @upstream in the transcript. */
const char *
Fw_Harness_Label(struct harness *h, const char *upstream);
const char *
Fw_Harness_KindName(enum fw_up_kind kind);
/* Fails the test unless the transcript equals @lines; then clears it. */
void
Fw_Harness_ExpectTranscript(struct harness *h, const char *lines);

#endif
