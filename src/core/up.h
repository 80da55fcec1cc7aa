/*
 * Calls to upstreams ("up" for short) and their results. The I/O shell
 * encodes them, see io/engine_wire.h; docs/PROTOCOLS.md describes the
 * protocol.
 */
#ifndef FW_CORE_UP_H
#define FW_CORE_UP_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

/** enum fw_up_kind - type of an upstream call. */
enum fw_up_kind {
    FW_UP_PREFILL,       /* compute the KV cache of a prompt */
    FW_UP_IMPORT,        /* fetch a KV cache from a prefill engine */
    FW_UP_DECODE,        /* generate from an imported KV cache, streamed */
    FW_UP_RESUME,        /* stream a running decode again from an index on */
    FW_UP_CANCEL,        /* free the resources of a request */
    FW_UP_LOAD_REPORT,   /* get a load report */
    FW_UP_LIST_REQUESTS, /* list the requests that hold memory */
    FW_UP_CACHE_EVENTS,  /* get prefix cache events from a sequence number */
    FW_UP_ORDER,   /* load or unload a model or adapter, or set the role */
    FW_UP_SERVICE, /* call a plain service */
};

/**
 * struct fw_up_prefill - prefill of a prompt.
 * @request: id of the request on the engine
 * @prompt: complete text; reference owned by the action
 */
struct fw_up_prefill {
    char request[FW_ID_MAX];
    char team[FW_NAME_MAX];
    char model[FW_NAME_MAX];
    char adapter[FW_NAME_MAX];
    GBytes *prompt;
    int priority;
};

/**
 * struct fw_up_import - makes a decode engine fetch a KV cache.
 * @kv: id of the KV cache on the prefill engine
 * @from_url: base URL of the prefill engine
 * @tokens: size of the KV cache in tokens
 */
struct fw_up_import {
    char request[FW_ID_MAX];
    char kv[FW_ID_MAX];
    char from_url[FW_URL_MAX];
    int64_t tokens;
};

/**
 * struct fw_up_decode - decode and resume.
 * @from_index: index of the first token to send; tokens are numbered from 0
 *              over the whole request, also across a repeated prefill
 */
struct fw_up_decode {
    char request[FW_ID_MAX];
    char kv[FW_ID_MAX];
    int64_t max_tokens;
    int64_t from_index;
};

struct fw_up_cancel {
    char request[FW_ID_MAX];
};

struct fw_up_cache {
    uint64_t from_seq;
};

/** enum fw_order_op - operation of an order. */
enum fw_order_op {
    FW_ORDER_LOAD_MODEL,
    FW_ORDER_UNLOAD_MODEL,
    FW_ORDER_LOAD_ADAPTER,
    FW_ORDER_UNLOAD_ADAPTER,
    FW_ORDER_SET_ROLE,
};

/**
 * struct fw_up_order - an order with a fencing token.
 * @fence: fencing token: offset of the log record that gave the sender its
 *         role
 * @ttl_us: the upstream discards the order when it is older than this
 */
struct fw_up_order {
    uint64_t fence;
    enum fw_order_op op;
    char model[FW_NAME_MAX];
    char version[FW_NAME_MAX];
    char adapter[FW_NAME_MAX];
    char role[FW_NAME_MAX];
    int64_t ttl_us;
};

/**
 * struct fw_up_service - a call to a plain service.
 * @at_most_once: send at most once: on a new connection, without a retry by
 *                the HTTP library
 */
struct fw_up_service {
    char request[FW_ID_MAX];
    char team[FW_NAME_MAX];
    char idem_key[FW_ID_MAX];
    char method[16];
    char *path; /* with query, owned by the action */
    char content_type[64];
    GBytes *body; /* may be NULL; reference owned by the action */
    int at_most_once;
};

/**
 * struct fw_up_start - starts an upstream call.
 * @op: id chosen by the core, unique in this process
 * @upstream: name of the upstream
 * @url: base URL of the upstream
 * @idle_timeout_us: longest time without data from the upstream before the
 *                   call fails; 0 for a default
 */
struct fw_up_start {
    uint64_t op;
    enum fw_up_kind kind;
    char upstream[FW_NAME_MAX];
    char url[FW_URL_MAX];
    int64_t idle_timeout_us;
    union {
        struct fw_up_prefill prefill;
        struct fw_up_import import;
        struct fw_up_decode decode;
        struct fw_up_cancel cancel;
        struct fw_up_cache cache;
        struct fw_up_order order;
        struct fw_up_service service;
    } u;
};

/**
 * enum fw_up_phase - progress of a call.
 * @FW_UP_TOKEN: one output token; repeated
 * @FW_UP_DONE: the call has succeeded and is over
 * @FW_UP_FAILED: the call has failed and is over
 */
enum fw_up_phase {
    FW_UP_TOKEN,
    FW_UP_DONE,
    FW_UP_FAILED,
};

/**
 * struct fw_up_kv - result of a prefill.
 * @kv: id of the KV cache on the engine
 * @tokens: prompt tokens
 * @cached_tokens: prompt tokens found in the prefix cache
 * @ttl_us: time until the engine frees the KV cache
 */
struct fw_up_kv {
    char kv[FW_ID_MAX];
    int64_t tokens;
    int64_t cached_tokens;
    int64_t ttl_us;
};

/** struct fw_up_token - one output token; @text lives for this step only. */
struct fw_up_token {
    int64_t index;
    const char *text;
};

struct fw_up_end {
    int64_t tokens; /* total number of output tokens */
    char reason[16];
};

#define FW_UP_MODELS_MAX 16
#define FW_MODELREF_MAX (2UL * FW_NAME_MAX)

/**
 * struct fw_up_report - load report of an engine.
 * @age_us: age of the report's values when it was sent
 * @slots: decode slots
 * @busy_slots: decode slots in use
 * @queued_tokens: tokens waiting in the queue
 * @kv_used: memory in use for KV caches, in tokens
 * @kv_total: memory for KV caches, in tokens; 0 when unknown
 * @draining: nonzero while the engine is draining
 * @models: loaded models: "model@version" or "model@version+adapter"
 */
struct fw_up_report {
    int64_t age_us;
    int slots;
    int busy_slots;
    int64_t queued_tokens;
    int64_t kv_used;
    int64_t kv_total;
    int draining;
    char role[16];
    int n_models;
    char models[FW_UP_MODELS_MAX][FW_MODELREF_MAX];
};

/**
 * struct fw_up_request_list - requests that hold memory on an engine; valid
 * for the current step only.
 * @requests: ids of the requests on the engine
 * @attached: per request, nonzero while its owner is connected; may be NULL
 */
struct fw_up_request_list {
    int n;
    const char *const *requests;
    const unsigned char *attached;
};

/**
 * struct fw_up_cache_event - a prefix was cached or evicted.
 * @prefix_hash: Fw_Hash_Bytes of the prompt's prefix, with seed 0
 * @tokens: length of the prefix
 * @evicted: nonzero when the prefix was evicted, 0 when it was cached
 */
struct fw_up_cache_event {
    uint64_t seq;
    uint64_t prefix_hash;
    int64_t tokens;
    int evicted;
};

struct fw_up_cache_batch {
    int n;
    uint64_t next_seq;
    const struct fw_up_cache_event *events;
};

struct fw_up_response {
    int status;
    char content_type[64];
    GBytes *body; /* valid for the current step only */
};

/**
 * struct fw_up_event - progress or result of an upstream call.
 * @ran: of a failed call: NO when no connection was established or the
 *       upstream rejected the call before running it, MAYBE once bytes of it
 *       were sent
 * @status: HTTP status, 0 when there was no response
 * @err: 0 or a negative errno (-ECONNREFUSED, -ETIMEDOUT, -EPIPE ...)
 */
struct fw_up_event {
    uint64_t op;
    enum fw_up_kind kind;
    enum fw_up_phase phase;
    enum fw_ran ran;
    int status;
    int err;
    union {
        struct fw_up_kv kv;
        int64_t transfer_us;
        struct fw_up_token token;
        struct fw_up_end end;
        struct fw_up_report report;
        struct fw_up_request_list held;
        struct fw_up_cache_batch cache;
        struct fw_up_response answer;
    } u;
};

#endif
