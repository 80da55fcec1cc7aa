/*
 * A harness for nodes: one to three cores stepped side by side, with a log, a
 * list and peers in memory, and upstreams that answer as a script says. What
 * callers and upstreams see is written down line by line. Upstreams are
 * written as P1, D1, S1 in the order in which they are first used, so that a
 * script says "another engine" and not which one the router prefers.
 */
#ifndef FW_TESTS_NODE_HARNESS_H
#define FW_TESTS_NODE_HARNESS_H

#include <glib.h>

#include "explore/memlog.h"
#include "node/node.h"

#define FW_HARNESS_NODES 3

/** enum harness_answer - how upstream calls of one kind are answered. */
enum harness_answer {
    FW_HARNESS_AUTO, /* at once and well */
    FW_HARNESS_HOLD, /* kept until the script answers */
};

/** struct harness_call - an upstream call that waits for the script. */
struct harness_call {
    struct fw_list link;
    int node;
    struct fw_up_start up; /* prompt and bodies referenced */
};

/** struct harness_mail - a peer message, a log or list answer under way. */
struct harness_mail;

struct harness {
    int n;
    struct fw_node *nodes[FW_HARNESS_NODES];
    int64_t wake_us[FW_HARNESS_NODES];
    int dead[FW_HARNESS_NODES];
    int cut[FW_HARNESS_NODES]; /* its peers don't reach it */
    int exited[FW_HARNESS_NODES];
    int64_t now_us;
    int log_down;
    struct fw_memlog log;
    struct fw_list mail;
    struct fw_list calls; /* struct harness_call */
    enum harness_answer answers[FW_UP_SERVICE + 1];
    GPtrArray *held;        /* ids reported by FW_UP_HELD */
    unsigned char attached; /* their owner's connection is open */
    const char *load_models;
    GHashTable *labels; /* upstream to "P1", "D2": order of appearance */
    GString *seen;
};

struct harness *
Fw_Harness_New(int nodes);
void
Fw_Harness_Free(struct harness *b);

/* A record for the configuration log, as if an operator had appended it. */
void
Fw_Harness_Configure(struct harness *b, const char *items);
/* Runs all that is due until @us have passed. */
void
Fw_Harness_Run(struct harness *b, int64_t us);

/* A completion of @prompt with key "key-a" (team "a"). */
void
Fw_Harness_Post(struct harness *b, int node, uint64_t call,
                const char *request_id, const char *prompt,
                int64_t max_tokens);
void
Fw_Harness_PostKey(struct harness *b, int node, uint64_t call, const char *key,
                   const char *request_id, const char *prompt,
                   int64_t max_tokens);
void
Fw_Harness_Service(struct harness *b, int node, uint64_t call,
                   const char *method, const char *path, const char *idem_key,
                   const char *body);
void
Fw_Harness_Close(struct harness *b, int node, uint64_t call);
void
Fw_Harness_Drain(struct harness *b, int node);
void
Fw_Harness_Kill(struct harness *b, int node);

/* The oldest held call of @kind; fails the test when there is none. */
struct harness_call *
Fw_Harness_Call(struct harness *b, enum fw_up_kind kind);
/* Answers a held call; DONE and FAILED end it. */
void
Fw_Harness_Piece(struct harness *b, struct harness_call *c, int64_t index,
                 const char *text);
void
Fw_Harness_Done(struct harness *b, struct harness_call *c, int64_t tokens);
void
Fw_Harness_Fail(struct harness *b, struct harness_call *c, enum fw_ran ran,
                int status, int err);
/* For the harness's own files. */
void
Fw_Harness_Step(struct harness *b, int node, const struct fw_event *ev);
/* harness_see.c */
void
Fw_Harness_See(struct harness *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void
Fw_Harness_SeeUp(struct harness *b, const struct fw_up_start *up);
void
Fw_Harness_SeeCaller(struct harness *b, const struct fw_action *a);
/* "P1" and the like, by order of appearance. */
const char *
Fw_Harness_Label(struct harness *b, const char *upstream);
const char *
Fw_Harness_KindName(enum fw_up_kind kind);
/* Compares what was seen since the last call, then forgets it. */
void
Fw_Harness_Expect(struct harness *b, const char *lines);

#endif
