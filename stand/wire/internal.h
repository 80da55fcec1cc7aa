/* Shared by the files of stand/wire. */
#ifndef FW_STAND_WIRE_INTERNAL_H
#define FW_STAND_WIRE_INTERNAL_H

#include "base/limits.h"
#include "stand/wire/wire.h"

#define FW_STRIDE 72 /* tokens in one event */

/** struct run - a request that is being worked on. */
struct run {
    struct fw_wire_server *server;
    struct fw_http_caller *caller;
    guint timer;
    int piece;
    int pieces;
    int64_t tokens;
    int prefill;
    char id[FW_ID_MAX];
    enum fw_wire_fault fault;
};

/** struct held - a reservation or a KV cache. */
struct held {
    int64_t tokens;
    int64_t until_us;
};

struct fw_wire_server {
    struct fw_http_server *http;
    struct fw_wire_store *store;
    struct fw_wire_opts opts;
    char id[FW_NAME_MAX];
    char service[FW_NAME_MAX];
    char zone[FW_NAME_MAX];
    char stage[16];
    char addr[FW_URL_MAX];
    GHashTable *holds;
    GHashTable *handles;
    GList *runs;
    GString *last_head;
    enum fw_wire_fault fault;
    int faults;
    int faulted;
    int begun;
    int64_t used;
    int64_t orders;
    int64_t fence;
    int64_t switch_us;
    int draining;
    int beat;
    unsigned next_name;
};

/* Engines of this process by address, since KV caches move between them. */
extern GHashTable *Fw_Wire_Engines;

/* server.c */
void
Fw_Wire_Register(struct fw_wire_server *s);
/* Field @name as a new string, empty when it is missing. */
char *
Fw_Wire_Field(const struct fw_http_head *h, const char *name);
/* Tokens of the entries of @t that live; the others are dropped. */
int64_t
Fw_Wire_SumOf(GHashTable *t, int64_t now);
/* Keeps @tokens in @in for @ms. Return: its new name. */
char *
Fw_Wire_Keep(struct fw_wire_server *s, GHashTable *in, int64_t tokens, int ms);

/* run.c */
void
Fw_Wire_Begin(struct fw_wire_server *s, struct fw_http_caller *c,
              const struct fw_http_head *h);
void
Fw_Wire_RunEnd(struct run *r);
void
Fw_Wire_NotRun(struct fw_http_caller *c, int status);

/* calls.c */
/* The engine's own calls. Return: 0 when this is none of them. */
int
Fw_Wire_Call(struct fw_wire_server *s, struct fw_http_caller *c,
             const struct fw_http_head *h, GBytes *body);

#endif
