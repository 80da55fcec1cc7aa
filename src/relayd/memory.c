/* The byte budget of this instance: pauses, rejections and log lines. */
#include <malloc.h>

#include "http/conn.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

/*
 * Bytes queued for a slow caller above which its upstream is paused without a
 * budget.
 */
#define FW_CALLER_BACKLOG_BYTES (256 * 1024)
/* Room that resumes a response: what one read may add. */
#define FW_RESUME_BYTES (16 * 1024)
/* Open files that are no connections, of the store and of other instances. */
#define FW_RESERVED_FILES 64
#define FW_CONNECTIONS_MIN 16
/* Shortest interval of log lines. */
#define FW_LOG_INTERVAL_US (1 * FW_SEC)
/* Retry-After of a request that can't be held: some large holders time out. */
#define FW_RETRY_NO_MEMORY_US (1 * FW_SEC)

static const char *const levels[] = {[FW_HELD_FREE] = "free",
                                     [FW_HELD_FILLING] = "filling",
                                     [FW_HELD_FULL] = "full"};

void
Fw_Memory_ApplySettings(struct fw_relayd *d)
{
    int64_t connections =
        d->opts.descriptors
            ? MAX(d->opts.descriptors - FW_RESERVED_FILES, FW_CONNECTIONS_MIN)
            : 0;

    Fw_Held_SetBudget(d->held, (size_t)d->opts.memory_bytes);
    Fw_Held_SetMostConnections(d->held, (int)connections);
}

void
Fw_Memory_Init(struct fw_relayd *d)
{
    d->held = Fw_Held_New();
    d->own_account = Fw_HeldAccount_New(d->held);
    Fw_Held_AddMetrics(d->held, Fw_Relay_Metrics(d->relay));
    Fw_Memory_ApplySettings(d);
    Fw_HeldAccount_Set(d->own_account, FW_HELD_LOG, &d->charged_log,
                       (size_t)d->opts.log_buffer_bytes);
}

void
Fw_Memory_Free(struct fw_relayd *d)
{
    Fw_HeldAccount_Set(d->own_account, FW_HELD_LOG, &d->charged_log, 0);
    Fw_HeldAccount_Unref(d->own_account);
    Fw_Held_Free(d->held);
}

static void
log_level(struct fw_relayd *d, enum fw_held_level level)
{
    const struct fw_held_use *u = Fw_Held_Use(d->held);
    char held[24];
    char budget[24];
    char paused[24];

    g_snprintf(held, sizeof(held), "%zu", u->used);
    g_snprintf(budget, sizeof(budget), "%zu", u->budget);
    g_snprintf(paused, sizeof(paused), "%d", Fw_Held_CountWaits(d->held));
    Fw_Logger_Log(level == FW_HELD_FREE ? LOG_NOTICE : LOG_WARNING, "memory",
                  "level", levels[level], "was", levels[d->held_level], "held",
                  held, "budget", budget, "paused", paused, NULL);
}

/*
 * Logs a change of the level. The heap keeps what was freed, so that it is
 * given back when the budget is free again.
 */
static void
note_level(struct fw_relayd *d, int64_t now_us)
{
    enum fw_held_level level = Fw_HeldShare_Level(Fw_Held_Use(d->held));

    if (level == d->held_level ||
        now_us - d->held_logged_us < FW_LOG_INTERVAL_US) {
        return;
    }
    log_level(d, level);
    d->held_level = level;
    d->held_logged_us = now_us;
    if (level == FW_HELD_FREE) {
        malloc_trim(0);
    }
}

/* All instances together keep the bound, without messages. */
static void
apply_server_bound(struct fw_relayd *d, int64_t now_us)
{
    int64_t bound = d->opts.server_request_bytes;
    int64_t share = bound / Fw_Relay_CountInstances(d->relay, now_us);

    Fw_Held_SetServerBound(d->held, bound ? (size_t)MAX(share, 1) : 0);
}

void
Fw_Memory_Tick(struct fw_relayd *d, int64_t now_us)
{
    apply_server_bound(d, now_us);
    Fw_Held_Resume(d->held);
    note_level(d, now_us);
}

int
Fw_Memory_MayLogRejection(struct fw_relayd *d)
{
    int64_t now = Fw_Conn_NowUs();

    if (now - d->rejection_logged_us < FW_LOG_INTERVAL_US) {
        return 0;
    }
    d->rejection_logged_us = now;
    return 1;
}

static int
is_behind(const struct fw_relayd *d, const struct fw_http_caller *caller)
{
    if (!Fw_Held_Use(d->held)->budget) {
        return Fw_Caller_Unsent(caller) > FW_CALLER_BACKLOG_BYTES;
    }
    return Fw_Caller_Unsent(caller) > 0 &&
           Fw_HeldAccount_Room(Fw_Caller_Account(caller)) < FW_RESUME_BYTES;
}

/* Called when memory is free; see struct fw_held_wait. */
static void
on_room(void *ctx)
{
    struct fw_upstream_call *call = ctx;

    if (call->exchange) {
        Fw_Exchange_Pause(call->exchange, 0);
    }
}

void
Fw_Memory_PauseIfBehind(struct fw_upstream_call *call,
                        struct fw_http_caller *caller)
{
    if (!is_behind(call->d, caller)) {
        return;
    }
    call->wait.need = FW_RESUME_BYTES;
    call->wait.resume = on_room;
    call->wait.ctx = call;
    if (Fw_Held_Use(call->d->held)->budget) {
        Fw_HeldAccount_Wait(Fw_Caller_Account(caller), &call->wait);
    }
    Fw_Exchange_Pause(call->exchange, 1);
}

static struct fw_upstream_call *
find_forwarded(const struct fw_relayd *d, struct fw_http_caller *caller)
{
    const struct fw_caller_request *c =
        g_hash_table_lookup(d->requests_by_caller, caller);

    return c ? g_hash_table_lookup(d->upstream_calls, &c->forwarded_xid)
             : NULL;
}

static void
resume(struct fw_upstream_call *call)
{
    Fw_HeldWait_Cancel(&call->wait);
    if (call->exchange) {
        Fw_Exchange_Pause(call->exchange, 0);
    }
}

void
Fw_Relayd_ResumeResponse(void *ctx, struct fw_http_caller *caller)
{
    struct fw_upstream_call *call = find_forwarded(ctx, caller);

    if (call) {
        resume(call);
    }
}

void
Fw_Relayd_ContinueResponse(void *ctx, struct fw_http_caller *caller)
{
    struct fw_upstream_call *call = find_forwarded(ctx, caller);

    if (call && call->wait.account && !is_behind(ctx, caller)) {
        resume(call);
    }
}

void
Fw_Relayd_FormatRejection(void *ctx, const struct fw_http_head *head,
                          int status, const char *why, GString *fields,
                          GString *body)
{
    struct fw_rl_rejection r = {.status = status,
                                .retry_us = FW_RETRY_NO_MEMORY_US,
                                .reason = "no_memory",
                                .ran = FW_RAN_NO};

    (void)ctx;
    if (status != 503) {
        g_string_append(fields, "Content-Type: text/plain\r\n");
        g_string_append(body, why);
        return;
    }
    r.refuses_handover = Fw_Platform_IsHandedOver(head);
    Fw_Platform_WriteRejection(&r, NULL, fields, body);
}
