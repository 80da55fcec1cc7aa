/* Internal to the http_*.c files. */
#ifndef FW_IO_HTTP_PRIV_H
#define FW_IO_HTTP_PRIV_H

#include "http/server.h"
#include "io/http.h"

/** struct fw_http_listener - one port; context of its server's callbacks. */
struct fw_http_listener {
    struct fw_http *http;
    enum fw_http_port port;
    struct fw_http_server *server;
};

/**
 * struct fw_http - state of both ports.
 * @last_handle: handle given to the latest call
 * @timeout_source: checks the timeouts of all connections
 */
struct fw_http {
    struct fw_http_opts opts;
    struct fw_http_listener ports[FW_PORT_COUNT];
    GHashTable *calls;     /* handle -> struct fw_http_call */
    GHashTable *by_caller; /* connection -> struct fw_http_call */
    uint64_t last_handle;
    guint timeout_source;
    struct fw_metric requests;
    struct fw_metric rejected;
    struct fw_metric timeouts;
    struct fw_metric disconnected;
    struct fw_metric slow_readers;
    struct fw_metric open_calls;
};

/** struct fw_http_req - a completely received request. */
struct fw_http_req {
    struct fw_http *http;
    struct fw_http_caller *caller;
    const struct fw_http_head *head;
    GBytes *body;
};

/**
 * struct fw_http_call - a request passed to the core and not yet answered.
 * @unary: answered by a single FW_ACT_CALL_RESPONSE
 * @stream: the response is sent as server-sent events
 * @started: FW_ACT_CALL_START was received
 * @buffered_text: text received so far for a response without streaming
 */
struct fw_http_call {
    struct fw_http_req req;
    uint64_t handle;
    int unary;
    int stream;
    int started;
    struct fw_api_response response;
    GString *buffered_text;
};

/* Value of header @name as a new string, or NULL. */
char *
Fw_HttpReq_Header(const struct fw_http_req *req, const char *name);
/* The request target without its query, as a new string. */
char *
Fw_HttpReq_Path(const struct fw_http_req *req);
int
Fw_HttpReq_IsMethod(const struct fw_http_req *req, const char *method);

/*
 * Copies the caller's X-Request-Id to @id, or generates an id when it is
 * missing or invalid. @id holds at least FW_ID_MAX bytes.
 */
void
Fw_HttpReply_GetRequestId(const struct fw_http_head *head, char *id);
/* Rejects a request that was not passed to the core, with FW_RAN_NO. */
void
Fw_HttpReply_SendError(const struct fw_http_req *req, int status,
                       const char *code, const char *message);
/* Sends an error response. @extra: additional header lines, or "". */
void
Fw_HttpReply_SendFailure(const struct fw_http_req *req,
                         const struct fw_call_fail *fail, const char *extra);
/*
 * Sends a complete response. An empty @id stands for that of
 * Fw_HttpReply_GetRequestId; @fields: additional header lines, or "".
 */
void
Fw_HttpReply_Send(const struct fw_http_req *req, int status, const char *id,
                  const char *type, const char *fields, const char *text,
                  size_t len);
/* Formats the response to a request that src/http rejected. */
void
Fw_HttpReply_FormatRejection(void *ctx, const struct fw_http_head *head,
                             int status, const char *reason, GString *fields,
                             GString *body);
/* Serves /healthz, /readyz and /metrics; returns 0 for another @path. */
int
Fw_HttpReply_HandleProbe(const struct fw_http_req *req, const char *path);
/* The bearer key of the Authorization header as a new string, or NULL. */
char *
Fw_HttpReq_BearerKey(const struct fw_http_req *req);

/* Registers a call; do so before passing the request to the core. */
struct fw_http_call *
Fw_HttpCall_Open(const struct fw_http_req *req);
/* Frees the call and tells the core that its caller has disconnected. */
void
Fw_HttpCall_ReportDisconnect(struct fw_http_call *call);
void
Fw_HttpCall_Free(struct fw_http_call *call);

/* Request handlers of the two ports. */
void
Fw_HttpCallers_Handle(const struct fw_http_req *req);
void
Fw_HttpOperators_Handle(const struct fw_http_req *req);

#endif
