/*
 * Stand-ins for the users' platform in its own wire form: the store, model
 * engines and plain servers, all in one process and loop. For tests and the
 * demo; see platform/ for the same words on the product's side.
 */
#ifndef FW_STAND_WIRE_H
#define FW_STAND_WIRE_H

#include <glib.h>
#include <stdint.h>

#include "http/server.h"

/** enum fw_wire_store_mode - how the store behaves. */
enum fw_wire_store_mode {
    FW_WIRE_STORE_WELL,
    FW_WIRE_STORE_BUSY,   /* 503, nothing done */
    FW_WIRE_STORE_SILENT, /* no answers, nothing done */
    FW_WIRE_STORE_LOSING, /* appends are done, their answers lost */
};

struct fw_wire_store;

struct fw_wire_store *
Fw_WireStore_New(const char *addr);
void
Fw_WireStore_Free(struct fw_wire_store *s);
int
Fw_WireStore_Port(const struct fw_wire_store *s);
void
Fw_WireStore_SetMode(struct fw_wire_store *s, enum fw_wire_store_mode mode);
/* The operator or a server writes; @value NULL drops the key. */
void
Fw_WireStore_Put(struct fw_wire_store *s, const char *topic, const char *key,
                 const char *value);
/* The oldest records of @topic go; the newest of each key stays readable. */
void
Fw_WireStore_Forget(struct fw_wire_store *s, const char *topic);
/* Calls answered or not so far. */
int
Fw_WireStore_Calls(const struct fw_wire_store *s);
/* Records of @topic. */
int
Fw_WireStore_Count(const struct fw_wire_store *s, const char *topic);

/** enum fw_wire_fault - what a server does to the next request it runs. */
enum fw_wire_fault {
    FW_WIRE_OK,
    FW_WIRE_FULL,  /* refuses it, says that it did not run */
    FW_WIRE_FAIL,  /* 500 */
    FW_WIRE_RESET, /* runs it and loses the answer */
    FW_WIRE_BREAK, /* breaks a stream off after three events */
    FW_WIRE_MOVED, /* another server has the address */
    FW_WIRE_STALL, /* never answers */
};

/** struct fw_wire_opts - one server; @stage "" for a plain one. */
struct fw_wire_opts {
    const char *id;
    const char *service;
    const char *zone;
    const char *stage;
    int slots;
    int64_t kv_tokens;
    int piece_ms;    /* between two events of a stream */
    int read_per_ms; /* tokens of a prompt read in a millisecond */
    int handle_ms;   /* life of a KV cache that nobody takes */
};

struct fw_wire_server;

/* Registers itself in @store; @addr as "127.0.0.1:0". */
struct fw_wire_server *
Fw_WireServer_New(struct fw_wire_store *store, const char *addr,
                  const struct fw_wire_opts *opts);
void
Fw_WireServer_Free(struct fw_wire_server *s);
/* For the next @n requests that it would run. */
void
Fw_WireServer_SetFault(struct fw_wire_server *s, enum fw_wire_fault fault,
                       int n);
/* Has it done something wrong as told? */
int
Fw_WireServer_Faulted(const struct fw_wire_server *s);
void
Fw_WireServer_SetDraining(struct fw_wire_server *s);
/* Requests begun, requests under way, tokens held, caches not taken. */
int
Fw_WireServer_Runs(const struct fw_wire_server *s);
int
Fw_WireServer_Active(const struct fw_wire_server *s);
int64_t
Fw_WireServer_Held(const struct fw_wire_server *s);
int
Fw_WireServer_Handles(const struct fw_wire_server *s);
const char *
Fw_WireServer_Stage(const struct fw_wire_server *s);
/* Head of the last request that it began to run, as it came. */
const char *
Fw_WireServer_LastHead(const struct fw_wire_server *s);

/* A configuration with the routes and keys that tests and demo use. */
char *
Fw_Wire_Config(int version, const char *keys);

#endif
