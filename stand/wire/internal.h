/* Declarations shared by the files of stand/wire. */
#ifndef FW_STAND_WIRE_INTERNAL_H
#define FW_STAND_WIRE_INTERNAL_H

#include "base/limits.h"
#include "stand/wire/wire.h"

#define FW_TOKENS_PER_EVENT 72
#define FW_HEALTH_PATH "/health"

/**
 * struct run - a request in progress.
 * @timer: start of the response, or its next event
 * @next_event: index of the event sent next
 * @event_count: events of the stream; 0 if the response is not a stream
 * @tokens: KV tokens that it occupies
 * @prefill: nonzero for a prefill request
 * @framing: of its response
 */
struct run {
    struct fw_wire_server *server;
    struct fw_http_caller *caller;
    guint timer;
    int next_event;
    int event_count;
    int64_t tokens;
    int prefill;
    enum fw_wire_framing framing;
    char id[FW_ID_MAX];
    enum fw_wire_fault fault;
};

/** struct kv_lease - KV tokens that are kept until @expires_us. */
struct kv_lease {
    int64_t tokens;
    int64_t expires_us;
};

/**
 * struct fw_wire_server - an engine or a plain server.
 * @reservations: name to struct kv_lease: capacity reserved for a decode
 * @kv_handles: name to struct kv_lease: prefilled KV caches
 * @last_head: head of the request started last
 * @faults_left: requests that @fault is still injected into
 * @n_unmarked: answers by FW_WIRE_FAULT_UNMARKED so far
 * @active_tokens: KV tokens of @runs
 * @order_sequence: number of orders executed
 * @highest_fence: highest fencing token of an order
 * @role_switch_until_us: requests are rejected before this time
 * @register_sequence: sequence number of its entry in the store
 * @limit: limit that its responses name, empty for none
 * @rest: seconds of rest that its rejections ask for, empty to accept requests
 * @is_leaving: its responses say that it is leaving
 * @rejects_one_of: it rejects one of so many runs, 0 for none
 * @n_offered: runs that it was sent
 * @listen_addr: the address that it listens on
 * @born: number of its start in this process
 * @arrivals: when requests arrived, of int64_t
 */
struct fw_wire_server {
    struct fw_http_server *http;
    struct fw_wire_store *store;
    struct fw_wire_opts opts;
    char id[FW_NAME_MAX];
    char service[FW_NAME_MAX];
    char zone[FW_NAME_MAX];
    char stage[16];
    char addr[FW_URL_MAX];
    GHashTable *reservations;
    GHashTable *kv_handles;
    GList *runs;
    GString *last_head;
    enum fw_wire_fault fault;
    enum fw_wire_framing framing;
    int faults_left;
    int fault_triggered;
    int n_unmarked;
    int started_count;
    int64_t active_tokens;
    int64_t order_sequence;
    int64_t highest_fence;
    int64_t role_switch_until_us;
    int draining;
    int register_sequence;
    char limit[32];
    char rest[32];
    int is_leaving;
    int rejects_one_of;
    int n_offered;
    GArray *arrivals;
    char listen_addr[FW_URL_MAX];
    int born;
    fw_wire_observer *observer;
    void *observer_ctx;
    unsigned next_lease_id;
};

/* Servers of this process by address, to claim KV caches from each other. */
extern GHashTable *Fw_Wire_ServersByAddr;

/* server.c */
/* Writes the server's entry to the store. */
void
Fw_Wire_Register(struct fw_wire_server *s);
/* Tells the observer of an event of the request with the head @h. */
void
Fw_Wire_Notify(const struct fw_wire_server *s, enum fw_wire_event event,
               const struct fw_http_head *h);
/* Appends the id of the request with the head @h, if it has one. */
void
Fw_Wire_AppendRequestId(const struct fw_http_head *h, GString *fields);
/* Appends the fields that all responses of the server have. */
void
Fw_Wire_AppendOwnFields(const struct fw_wire_server *s, GString *fields);
/* Copy of header field @name, "" if missing; the caller frees it. */
char *
Fw_Wire_CopyField(const struct fw_http_head *h, const char *name);
/* Removes expired leases of @t. Return: tokens of the others. */
int64_t
Fw_Wire_SumLeases(GHashTable *t, int64_t now);
/* Adds a lease to @in for @ms. Return: its name; the caller frees it. */
char *
Fw_Wire_AddLease(struct fw_wire_server *s, GHashTable *in, int64_t tokens,
                 int ms);

/* run.c */
/* Admits and starts a request, or rejects it. */
void
Fw_Wire_StartRun(struct fw_wire_server *s, struct fw_http_caller *c,
                 const struct fw_http_head *h);
/* Frees @r and its tokens; does not answer the request. */
void
Fw_Wire_EndRun(struct run *r);
/* Answers @status and that the request was not executed. */
void
Fw_Wire_RejectNotExecuted(const struct fw_wire_server *s,
                          struct fw_http_caller *c,
                          const struct fw_http_head *h, int status);

/* control.c */
/* Handles control requests. Return: 0 if the request is not one. */
int
Fw_Wire_HandleControl(struct fw_wire_server *s, struct fw_http_caller *c,
                      const struct fw_http_head *h, GBytes *body);

#endif
