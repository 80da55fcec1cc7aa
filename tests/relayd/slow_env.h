/*
 * A router with the memory of the smallest instance, slow callers and servers
 * of the service "bulk", and sound calls to the service "desk" beside them, on
 * real sockets in one event loop.
 */
#ifndef FW_TESTS_RELAYD_SLOW_ENV_H
#define FW_TESTS_RELAYD_SLOW_ENV_H

#include "base/list.h"
#include "tests/relayd/router_env.h"

#define FW_SLOW_MB (1024 * 1024)
/* Half of the smallest instance's memory. */
#define FW_SLOW_BUDGET_BYTES (44 * FW_SLOW_MB)
#define FW_SLOW_SERVERS 3

/**
 * struct slow_caller - a caller of "bulk".
 * @to_send, @sent: bytes of its request, head included
 * @received: bytes of the response; its head is in @head
 * @read_from_us, @pause_at: reads up to @pause_at bytes at once, and the rest
 *     from @read_from_us on
 * @is_closed: the router has ended the connection
 */
struct slow_caller {
    struct fw_list link;
    int fd;
    GString *request;
    size_t to_send;
    size_t sent;
    size_t received;
    size_t pause_at;
    int64_t read_from_us;
    char head[512];
    int is_closed;
};

/** struct sound_calls - results of calls to "desk". */
struct sound_calls {
    struct fw_list open;
    int n_sent;
    int n_in_time;
    int64_t longest_us;
};

/**
 * struct slow_env - see the file comment.
 * @server_read_bytes: a second, of each connection of a server of "bulk"
 * @n_slow: number of these servers that are slow; the others respond to a
 *     POST, whose body they read at once
 * @response_bytes: body of its response to a GET
 * @cut_off_us: a server resets a response of which nothing was read for this
 *     long, 0 for never
 * @peak_held: the most bytes held by the metric
 * @heap_before, @peak_heap: bytes allocated at the start and at most
 */
struct slow_env {
    struct router_env router;
    int listeners[FW_SLOW_SERVERS];
    char addrs[FW_SLOW_SERVERS][FW_URL_MAX];
    struct fw_list server_conns;
    struct fw_list callers;
    struct sound_calls sound;
    int64_t server_read_bytes;
    int n_slow;
    size_t response_bytes;
    int64_t cut_off_us;
    size_t peak_held;
    size_t heap_before;
    size_t peak_heap;
    guint timer;
    int n_steps;
};

/* @max_body_bytes: largest body of a request by the configuration */
void
Fw_SlowEnv_Init(struct slow_env *env, int64_t max_body_bytes);
/* Ends all callers and servers, and frees the router. */
void
Fw_SlowEnv_Free(struct slow_env *env);
/* Ends the callers and waits until the router holds nothing for them. */
void
Fw_SlowEnv_EndCallers(struct slow_env *env);
/*
 * Adds a caller that posts @length bytes, except for the last @withheld.
 * @length: -1 for chunks without end
 */
struct slow_caller *
Fw_SlowEnv_Post(struct slow_env *env, int64_t length, size_t withheld);
/* Adds a caller that connects and sends nothing. */
struct slow_caller *
Fw_SlowEnv_Connect(struct slow_env *env);
/*
 * Adds a caller that reads @pause_at bytes of a response and the rest after
 * @pause_us.
 */
struct slow_caller *
Fw_SlowEnv_Get(struct slow_env *env, size_t pause_at, int64_t pause_us);
/* Runs everything, and 25 sound calls a second, for @us. */
void
Fw_SlowEnv_Run(struct slow_env *env, int64_t us);
/* Closes the connection of @c and frees it. */
void
Fw_SlowCaller_End(struct slow_caller *c);
/* Status of the response to @c, 0 for none. */
int
Fw_SlowCaller_Status(const struct slow_caller *c);
/* Bytes held by the metric. */
size_t
Fw_SlowEnv_Held(const struct slow_env *env);

#endif
