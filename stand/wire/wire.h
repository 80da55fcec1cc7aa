/*
 * Stand-in for the deployment platform in its own wire format, for tests and
 * the demo: the store, model engines and plain servers in one process and
 * event loop. platform/ implements the router's side of the same protocol.
 */
#ifndef FW_STAND_WIRE_H
#define FW_STAND_WIRE_H

#include <glib.h>
#include <stdint.h>

#include "http/server.h"

/** enum fw_wire_store_mode - how the store answers requests. */
enum fw_wire_store_mode {
    FW_WIRE_STORE_NORMAL,
    FW_WIRE_STORE_UNAVAILABLE,  /* status 503, no effect */
    FW_WIRE_STORE_UNRESPONSIVE, /* no response, no effect */
    FW_WIRE_STORE_LOST_REPLIES, /* appends take effect, connection closed */
    FW_WIRE_STORE_PARTIAL_READ, /* one read gets one record, then no response
                                 */
};

struct fw_wire_store;

/* @addr: "ip:port", port 0 for any free one. Aborts if it cannot listen. */
struct fw_wire_store *
Fw_WireStore_New(const char *addr);
void
Fw_WireStore_Free(struct fw_wire_store *s);
int
Fw_WireStore_Port(const struct fw_wire_store *s);
void
Fw_WireStore_SetMode(struct fw_wire_store *s, enum fw_wire_store_mode mode);
/* Appends a record to @topic; a @value of NULL deletes @key. */
void
Fw_WireStore_Put(struct fw_wire_store *s, const char *topic, const char *key,
                 const char *value);
/*
 * Makes reads of @topic fail with 410 for all offsets so far; the newest
 * record of each key can still be read.
 */
void
Fw_WireStore_Truncate(struct fw_wire_store *s, const char *topic);
/* Requests received, answered or not. */
int
Fw_WireStore_RequestCount(const struct fw_wire_store *s);
/* Records appended to @topic, truncated ones included. */
int
Fw_WireStore_RecordCount(const struct fw_wire_store *s, const char *topic);

/** enum fw_wire_fault - fault that a server injects into a request. */
enum fw_wire_fault {
    FW_WIRE_FAULT_NONE,
    FW_WIRE_FAULT_FULL,     /* rejects it with 503 and Not-Executed */
    FW_WIRE_FAULT_ERROR,    /* answers 500, if it is not a stream */
    FW_WIRE_FAULT_RESET,    /* runs it and closes the connection */
    FW_WIRE_FAULT_TRUNCATE, /* resets it after three events, or half a text */
    FW_WIRE_FAULT_MOVED,    /* rejects it with 421 and Not-Executed */
    FW_WIRE_FAULT_STALL,    /* starts it and never answers */
    FW_WIRE_FAULT_PARTIAL,  /* ends the response inside the fourth event */
    FW_WIRE_FAULT_UNMARKED, /* runs it and answers 408, 421, 429 or 503 in
                               turn, without Not-Executed */
    FW_WIRE_FAULT_EMPTY,    /* ends an unframed stream before its first event,
                               and others like FW_WIRE_FAULT_PARTIAL */
};

/** enum fw_wire_framing - how a server marks the end of its responses. */
enum fw_wire_framing {
    FW_WIRE_FRAMED,        /* by chunks or a length */
    FW_WIRE_CLOSE,         /* by the end of the connection */
    FW_WIRE_CLOSE_UNTYPED, /* the same, and names no Content-Type */
    FW_WIRE_FRAMINGS,
    FW_WIRE_BY_TURNS = FW_WIRE_FRAMINGS, /* each of the above in turn */
};

/**
 * struct fw_wire_opts - configuration of a server.
 * @id: name of the server, the key of its entry in the store
 * @service: service that it belongs to
 * @zone: failure domain
 * @stage: "prefill" or "decode"; "" for a plain server
 * @slots: concurrent requests; enforced by plain servers only
 * @kv_tokens: KV cache capacity of an engine
 * @event_interval_ms: time between two events of a stream
 * @prefill_tokens_per_ms: prefill rate of an engine
 * @kv_handle_ttl_ms: time after which an unclaimed KV cache is freed
 */
struct fw_wire_opts {
    const char *id;
    const char *service;
    const char *zone;
    const char *stage;
    int slots;
    int64_t kv_tokens;
    int event_interval_ms;
    int prefill_tokens_per_ms;
    int kv_handle_ttl_ms;
};

struct fw_wire_server;

/** enum fw_wire_event - what happened to a request at a server. */
enum fw_wire_event {
    FW_WIRE_ARRIVED,  /* received, of any kind */
    FW_WIRE_STARTED,  /* run, other than a prefill */
    FW_WIRE_REJECTED, /* answered 503 or 421 and not run */
};

/* @id: the request's id, empty for a control request */
typedef void
fw_wire_observer(void *ctx, const char *server, enum fw_wire_event event,
                 const char *id);

/* Registers the server in @store. Aborts if it cannot listen on @addr. */
struct fw_wire_server *
Fw_WireServer_New(struct fw_wire_store *store, const char *addr,
                  const struct fw_wire_opts *opts);
/*
 * As above, but registers it under the address of a proxy before it only, once
 * Fw_WireServer_Advertise() names it: calls to its own would pass the proxy
 * by.
 */
struct fw_wire_server *
Fw_WireServer_NewBehindProxy(struct fw_wire_store *store, const char *addr,
                             const struct fw_wire_opts *opts);
void
Fw_WireServer_Free(struct fw_wire_server *s);
/* Calls @fn for each event of the server. */
void
Fw_WireServer_SetObserver(struct fw_wire_server *s, fw_wire_observer *fn,
                          void *ctx);
/* Registers the server under another address, that of a proxy before it. */
void
Fw_WireServer_Advertise(struct fw_wire_server *s, const char *addr);
/* The address that it listens on; owned by @s. */
const char *
Fw_WireServer_Addr(const struct fw_wire_server *s);
/* Injects @fault into the next @n requests other than prefills. */
void
Fw_WireServer_SetFault(struct fw_wire_server *s, enum fw_wire_fault fault,
                       int n);
/* How the server frames its runs; FW_WIRE_FRAMED at first. */
void
Fw_WireServer_SetFraming(struct fw_wire_server *s,
                         enum fw_wire_framing framing);
/* All responses of the server name @limit; NULL for none. */
void
Fw_WireServer_SetLimit(struct fw_wire_server *s, const char *limit);
/*
 * Rejects all requests with 503 and asks for @rest seconds of rest; NULL to
 * accept them again.
 */
void
Fw_WireServer_SetRest(struct fw_wire_server *s, const char *rest);
/* Rejects one of @one_of runs, as a full server does; 0 for none. */
void
Fw_WireServer_SetRejects(struct fw_wire_server *s, int one_of);
/* All responses of the server say that it is leaving. */
void
Fw_WireServer_SetLeaving(struct fw_wire_server *s);
/* Nonzero once a fault has been injected. */
int
Fw_WireServer_FaultTriggered(const struct fw_wire_server *s);
/* Registers the server as draining; it still accepts requests. */
void
Fw_WireServer_SetDraining(struct fw_wire_server *s);
/* Deletes the server's entry; it still accepts requests. */
void
Fw_WireServer_Unregister(struct fw_wire_server *s);
/* Requests started so far. */
int
Fw_WireServer_StartedCount(const struct fw_wire_server *s);
/* Requests of any kind that arrived in [@from_us, @to_us). */
int
Fw_WireServer_ArrivedCount(const struct fw_wire_server *s, int64_t from_us,
                           int64_t to_us);
/* The most of these within any @window_us from @from_us on. */
int
Fw_WireServer_MostArrived(const struct fw_wire_server *s, int64_t from_us,
                          int64_t window_us);
/*
 * The most that arrived in [t + @from_us, t + @to_us), t an arrival at
 * @since_us or later.
 */
int
Fw_WireServer_MostArrivedAfter(const struct fw_wire_server *s,
                               int64_t since_us, int64_t from_us,
                               int64_t to_us);
/* Requests in progress. */
int
Fw_WireServer_ActiveCount(const struct fw_wire_server *s);
/* Whether the request with this id is in progress, other than a prefill. */
int
Fw_WireServer_IsRunning(const struct fw_wire_server *s, const char *id);
/* KV tokens of requests in progress and of reservations. */
int64_t
Fw_WireServer_UsedKvTokens(const struct fw_wire_server *s);
/* Prefilled KV caches that are not claimed or expired. */
int
Fw_WireServer_KvHandleCount(const struct fw_wire_server *s);
const char *
Fw_WireServer_Stage(const struct fw_wire_server *s);
/* Head of the request started last, as received; owned by @s. */
const char *
Fw_WireServer_LastRequestHead(const struct fw_wire_server *s);

/*
 * Routing configuration of tests and the demo, as JSON that the caller frees.
 * @keys: API keys as comma-separated JSON strings
 */
char *
Fw_Wire_MakeConfig(int version, const char *keys);

#endif
