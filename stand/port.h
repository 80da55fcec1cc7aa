/*
 * One HTTP server of the stand-in, on its own port: pending requests, injected
 * faults and the journal of requests that took effect.
 */
#ifndef FW_STAND_PORT_H
#define FW_STAND_PORT_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

struct fw_stand;
struct fw_stand_reply;

/**
 * struct fw_stand_fault - an active injected fault.
 * @duration_ms: delay, or length of the outage after a crash; an outage of 0
 *               lasts until the fault "die" is cleared
 * @count: remaining triggers, -1 for no limit; for "rate", "retain" and
 *         "weights-rate" the value that the fault sets
 * @after_tokens: generated tokens before "die-in" triggers
 * @permille: share of cache events that are lost
 * @status: HTTP status of the response, 503 by default
 * @path_prefix: applies only to request paths with this prefix
 * @prompt_marker: "poison" triggers on prompts that contain this text
 * @stage: "prefill", "import" or "decode"; for "stall" and "poison" an empty
 *         one means every stage
 */
struct fw_stand_fault {
    struct fw_list link;
    char name[32];
    int64_t duration_ms;
    int64_t count;
    int64_t after_tokens;
    int64_t permille;
    int64_t status;
    char path_prefix[64];
    char prompt_marker[64];
    char stage[16];
};

/**
 * struct fw_stand_port - one HTTP server and its state.
 * @kind: "engine", "service", "log", "list" or "weights"
 * @replies: requests without a complete response
 * @restart_timer: end of the outage that a crash started, 0 when not set
 * @journal: JSON lines, oldest first
 * @journal_dropped: lines discarded because the journal was full
 * @owner: structure that embeds this one; allocated with g_malloc
 * @handle: handles a request; may reply later
 * @reset: discards the state that a crash loses; may be NULL
 * @on_fault_change: called after a fault was set or cleared; may be NULL
 * @on_free: releases the owner's resources before it is freed; may be NULL
 * @describe: appends ",\"name\":value" members to the response of
 *            GET /control/about; may be NULL
 */
struct fw_stand_port {
    struct fw_list link;
    struct fw_stand *stand;
    char name[FW_NAME_MAX];
    char kind[16];
    char domain[FW_NAME_MAX];
    char url[FW_URL_MAX];
    SoupServer *server;
    struct fw_list replies;
    struct fw_list faults;
    guint restart_timer;
    GQueue journal;
    uint64_t journal_dropped;
    void *owner;
    void (*handle)(struct fw_stand_reply *r);
    void (*reset)(struct fw_stand_port *port);
    void (*on_fault_change)(struct fw_stand_port *port);
    void (*on_free)(struct fw_stand_port *port);
    void (*describe)(struct fw_stand_port *port, GString *out);
};

/**
 * struct fw_stand_reply - a request without a complete response.
 * @body: request body if it is a JSON object, else NULL
 * @body_node: request body if it is JSON, else NULL
 * @close_watch: detects that the client closed the connection
 * @finished_handler: id of the handler of the message's "finished" signal
 * @timer: calls @on_timer, see Fw_StandReply_Schedule()
 * @wait_stream: log stream whose next record completes a long poll, or NULL
 * @in_handler: the port's handler runs; freeing is deferred until it returns
 * @answered: the response was completed inside the handler
 * @streaming: the response was started with Fw_StandReply_StartStream()
 * @msg_finished: libsoup has finished the message
 * @on_disconnect: called at most once, with @disconnect_data, when the client
 *                 disconnects or the port crashes before the response is
 *                 complete; may be NULL
 */
struct fw_stand_reply {
    struct fw_list link;
    struct fw_stand_port *port;
    SoupServerMessage *msg;
    char *path;
    GHashTable *query;
    JsonObject *body;
    JsonNode *body_node;
    GSource *close_watch;
    gulong finished_handler;
    guint timer;
    char *wait_stream;
    int in_handler;
    int answered;
    int streaming;
    int msg_finished;
    void (*on_timer)(struct fw_stand_reply *r);
    void (*on_disconnect)(void *data);
    void *disconnect_data;
};

/**
 * Fw_StandPort_Open - starts to listen on a free port of 127.0.0.1.
 * @port: embedded in @port->owner, with its callbacks set
 *
 * Return: @port; NULL, with @port->owner freed, if it cannot listen.
 */
struct fw_stand_port *
Fw_StandPort_Open(struct fw_stand_port *port, struct fw_stand *stand,
                  const char *kind, const char *name, const char *domain);
/* Closes the server and all its connections, and frees @port->owner. */
void
Fw_StandPort_Free(struct fw_stand_port *port);
/**
 * Fw_StandPort_Crash - simulates a crash of the process behind @port.
 * @outage_ms: length of the outage; 0 until the fault "die" is cleared
 *
 * Resets the state, closes all connections and sets the fault "die": new
 * requests are dropped, except those for /control and /journal. Does nothing
 * if the fault is set already.
 */
void
Fw_StandPort_Crash(struct fw_stand_port *port, int64_t outage_ms);

/* Accepts a request from libsoup and passes it to @handle. */
void
Fw_StandReply_Receive(struct fw_stand_port *port, SoupServerMessage *msg,
                      const char *path, GHashTable *query,
                      void (*handle)(struct fw_stand_reply *r));
/*
 * The following send a complete response. Don't use @r afterwards: it is
 * freed, at once or after the delay of the fault "slow". With the fault
 * "lost-answer" a response with a status below 300 is not sent and the
 * connection is closed.
 * @fmt and @text of Json and Error are not escaped.
 */
void
Fw_StandReply_Json(struct fw_stand_reply *r, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void
Fw_StandReply_Text(struct fw_stand_reply *r, int status, const char *type,
                   const char *text);
void
Fw_StandReply_Error(struct fw_stand_reply *r, int status, const char *text);
/* Closes the connection without completing the response, and frees @r. */
void
Fw_StandReply_Abort(struct fw_stand_reply *r);

/* Closes the connection, frees @r and calls its on_disconnect. */
void
Fw_StandReply_Disconnect(struct fw_stand_reply *r);

/* Calls @on_timer in @ms milliseconds unless @r is freed before. */
void
Fw_StandReply_Schedule(struct fw_stand_reply *r, int64_t ms,
                       void (*on_timer)(struct fw_stand_reply *r));

/* A chunked response: start it, send lines, end it. EndStream frees @r. */
void
Fw_StandReply_StartStream(struct fw_stand_reply *r, const char *type);
void
Fw_StandReply_SendLine(struct fw_stand_reply *r, const char *line);
void
Fw_StandReply_EndStream(struct fw_stand_reply *r);

/* Member @name of the JSON body; @def if missing or of another type. */
const char *
Fw_StandReply_Str(const struct fw_stand_reply *r, const char *name,
                  const char *def);
int64_t
Fw_StandReply_Int(const struct fw_stand_reply *r, const char *name,
                  int64_t def);
/* Parameter @name of the query string; @def if missing. */
int64_t
Fw_StandReply_QueryInt(const struct fw_stand_reply *r, const char *name,
                       int64_t def);

/**
 * Fw_StandFault_Set - sets a fault from the body of a control request.
 * @o: JSON object with "name" and optionally "ms", "count", "after",
 *     "permille", "status", "path", "text" and "stage"
 *
 * Return: 0; -EINVAL if the name is unknown.
 */
int
Fw_StandFault_Set(struct fw_stand_port *port, JsonObject *o);
/* Return: 0; -ENOENT if the fault is not set. */
int
Fw_StandFault_Clear(struct fw_stand_port *port, const char *name);
void
Fw_StandFault_ClearAll(struct fw_stand_port *port);
/* Return: the fault if it is set, else NULL. */
const struct fw_stand_fault *
Fw_StandFault_Find(const struct fw_stand_port *port, const char *name);
/*
 * Consumes one of the fault's remaining triggers. Return: the fault; NULL if
 * it is not set, used up, or limited to other paths than @path.
 */
const struct fw_stand_fault *
Fw_StandFault_Trigger(struct fw_stand_port *port, const char *name,
                      const char *path);
/* All known names, separated by spaces. */
const char *
Fw_StandFault_Names(void);

/* Records that request @r took effect, with its method, path and headers. */
void
Fw_StandJournal_Add(struct fw_stand_reply *r, const char *effect,
                    const char *id);
/* The journal as JSON lines; the caller frees it. */
char *
Fw_StandJournal_Text(const struct fw_stand_port *port);
void
Fw_StandJournal_Clear(struct fw_stand_port *port);

#endif
