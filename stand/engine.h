/* Simulated model engine: declarations shared by its source files. */
#ifndef FW_STAND_ENGINE_H
#define FW_STAND_ENGINE_H

#include "stand/stand.h"

/** enum fw_stand_stage - stage of a request in an engine, in order. */
enum fw_stand_stage {
    FW_STAND_STAGE_QUEUED,
    FW_STAND_STAGE_PREFILL,
    FW_STAND_STAGE_EXPORTED, /* KV cache computed here, not yet transferred */
    FW_STAND_STAGE_IMPORT,
    FW_STAND_STAGE_IMPORTED, /* KV cache transferred, waits for decode */
    FW_STAND_STAGE_DECODE,
    FW_STAND_STAGE_DONE, /* no longer counted in the load; can be resumed */
};

/** struct fw_stand_line - a queued line of a streamed response. */
struct fw_stand_line {
    int64_t due_us;
    char *text;
    int is_last;
};

/**
 * struct fw_stand_request - a request that an engine holds.
 * @kv_id: name of its KV cache, given by the prefill engine
 * @source_url: base URL of the engine that the KV cache is imported from
 * @expires_us: monotonic time at which an exported KV cache is freed
 * @transfer_us: duration of the import, including the wait for the link
 * @timer: end of prefill, of the transfer, or of the time that the KV cache or
 *         the stream is kept, depending on @stage
 * @max_tokens: index at which generation stops
 * @next_index: index of the next token to generate
 * @reply: request waiting for the result, or NULL
 * @output: lines of the response that are not sent yet
 */
struct fw_stand_request {
    struct fw_list link;
    struct fw_stand_engine *engine;
    enum fw_stand_stage stage;
    char id[FW_ID_MAX];
    char kv_id[FW_ID_MAX];
    char source_url[FW_URL_MAX];
    GBytes *prompt;
    int priority;
    int64_t prompt_tokens;
    int64_t cached_tokens;
    int64_t expires_us;
    int64_t transfer_us;
    guint timer;
    int64_t max_tokens;
    int64_t next_index;
    struct fw_stand_reply *reply;
    GQueue output;
};

/** struct fw_stand_cache_entry - @prefix: hash of a prompt's first bytes. */
struct fw_stand_cache_entry {
    uint64_t prefix;
    int64_t tokens;
    uint64_t last_used;
};

/** struct fw_stand_cache_event - insertion or eviction of an entry. */
struct fw_stand_cache_event {
    uint64_t seq;
    uint64_t prefix;
    int64_t tokens;
    int evicted;
    int64_t at_us;
};

/**
 * struct fw_stand_load - load of an engine at @measured_us.
 * @busy: requests in the stages import to decode
 * @queued_tokens: prompt tokens queued for or in prefill
 * @kv_used_tokens: tokens of all requests, prompt and generated
 */
struct fw_stand_load {
    int64_t measured_us;
    int busy;
    int64_t queued_tokens;
    int64_t kv_used_tokens;
};

/**
 * struct fw_stand_engine - a simulated engine.
 * @role: "prefill" or "decode"
 * @checks_fence: rejects orders with a fencing number below @highest_fence
 * @kv_seq: number of the last exported KV cache
 * @load: the load as reported; refreshed by @load_timer
 * @models: loaded models, "model@version" or "model@version+adapter"
 * @link_free_us: failure domain to the time when its link is idle
 * @cache: prefix hash to struct fw_stand_cache_entry
 * @cache_used_tokens: total of the entries in @cache
 * @cache_clock: logical time of the last access
 */
struct fw_stand_engine {
    struct fw_stand_port port;
    const struct fw_stand_opts *opts;
    char role[16];
    int checks_fence;
    uint64_t highest_fence;
    uint64_t kv_seq;
    struct fw_list requests;
    guint step_timer;
    guint load_timer;
    struct fw_stand_load load;
    GPtrArray *models;
    GHashTable *link_free_us;
    GHashTable *cache;
    int64_t cache_used_tokens;
    uint64_t cache_clock;
    GArray *cache_events;
    uint64_t cache_event_seq;
};

/* engine.c */
struct fw_stand_request *
Fw_StandEngine_FindRequest(const struct fw_stand_engine *e, const char *id);
struct fw_stand_request *
Fw_StandEngine_AddRequest(struct fw_stand_engine *e, const char *id);
/* Frees @w and closes the connection that waits for it. */
void
Fw_StandEngine_FreeRequest(struct fw_stand_request *w);
/* Calls Fw_StandEngine_FreeRequest() in @ms, in place of @w's timer so far. */
void
Fw_StandEngine_FreeRequestAfter(struct fw_stand_request *w, int64_t ms);
void
Fw_StandEngine_MeasureLoad(const struct fw_stand_engine *e,
                           struct fw_stand_load *r);
/* Nonzero while the fault "stall" applies to @stage. */
int
Fw_StandEngine_IsStalled(struct fw_stand_engine *e, const char *stage);
/*
 * Nonzero if the fault "poison" or "die-in" crashes the engine while it runs
 * @w at @stage; @outage_ms is then the length of the outage.
 */
int
Fw_StandEngine_TriggersCrash(struct fw_stand_engine *e,
                             const struct fw_stand_request *w,
                             const char *stage, int64_t *outage_ms);
/* Makes @r wait for @w; closes the connection that waited before. */
void
Fw_StandEngine_AttachReply(struct fw_stand_request *w,
                           struct fw_stand_reply *r);

/* prefill.c */
/* Handles POST /v1/prefill. */
void
Fw_StandPrefill_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r);
/* Starts the next queued prefill unless one is running. */
void
Fw_StandPrefill_StartNext(struct fw_stand_engine *e);

/* Keeps an exported KV cache for its time to live plus @ms, from now on. */
void
Fw_StandPrefill_ExtendExpiry(struct fw_stand_request *w, int64_t ms);

/* import.c */
/* Handles POST /v1/kv/import. */
void
Fw_StandImport_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r);

/* decode.c */
/* Handles POST /v1/decode. */
void
Fw_StandDecode_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r);
/* Handles POST /v1/resume. */
void
Fw_StandDecode_Resume(struct fw_stand_engine *e, struct fw_stand_reply *r);
/* Discards the lines that are not sent yet. */
void
Fw_StandDecode_ClearOutput(struct fw_stand_request *w);

/* cache.c */
/* Adds the prefixes of @prompt. Return: tokens that were cached before. */
int64_t
Fw_StandCache_Access(struct fw_stand_engine *e, GBytes *prompt);
/* Handles GET /v1/cache-events. */
void
Fw_StandCache_SendEvents(struct fw_stand_engine *e, struct fw_stand_reply *r);

/* order.c */
/* Handles POST /v1/order. */
void
Fw_StandOrder_Receive(struct fw_stand_engine *e, struct fw_stand_reply *r);
/* @model: name with or without "@version"; @adapter: "" for none. */
int
Fw_StandOrder_HasModel(const struct fw_stand_engine *e, const char *model,
                       const char *adapter);

#endif
