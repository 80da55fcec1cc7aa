/* Shared by the http_*.c files only. */
#ifndef FW_IO_HTTP_PRIV_H
#define FW_IO_HTTP_PRIV_H

#include "http/server.h"
#include "io/http.h"

/** struct fw_http_port_rec - one port, as its server's callbacks get it. */
struct fw_http_port_rec {
    struct fw_http *http;
    enum fw_http_port port;
    struct fw_http_server *server;
};

/** struct fw_http - both ports. */
struct fw_http {
    struct fw_http_opts opts;
    struct fw_http_port_rec ports[FW_PORTS];
    GHashTable *calls;     /* handle to struct fw_http_call */
    GHashTable *by_caller; /* connection to struct fw_http_call */
    uint64_t last_call;
    guint timer;
    struct fw_metric requests;
    struct fw_metric refused;
    struct fw_metric timeouts;
    struct fw_metric gone;
    struct fw_metric slow;
    struct fw_metric open;
};

/** struct fw_http_req - a request that was read whole. */
struct fw_http_req {
    struct fw_http *http;
    struct fw_http_caller *caller;
    const struct fw_http_head *head;
    GBytes *body;
};

/**
 * struct fw_http_call - a request that the core has.
 * @whole: answered at once, by FW_ACT_CALL_RESPONSE
 * @text: of an answer without stream, so far
 */
struct fw_http_call {
    struct fw_http_req req;
    uint64_t handle;
    int whole;
    int stream;
    int started;
    struct fw_api_answer answer;
    GString *text;
};

/* Field @name as a new string, or NULL. */
char *
Fw_HttpReq_Field(const struct fw_http_req *req, const char *name);
/* The target without its query; to be freed. */
char *
Fw_HttpReq_Path(const struct fw_http_req *req);
int
Fw_HttpReq_IsMethod(const struct fw_http_req *req, const char *method);

/* The caller's request id where it is valid, else a new one; FW_ID_MAX. */
void
Fw_HttpReply_Id(const struct fw_http_head *head, char *id);
/* Answers a request of which the core knows nothing: verdict no. */
void
Fw_HttpReply_Error(const struct fw_http_req *req, int status, const char *code,
                   const char *message);
/* @more: further header lines. */
void
Fw_HttpReply_Fail(const struct fw_http_req *req,
                  const struct fw_call_fail *fail, const char *more);
/* @id may be empty; @fields: further header lines. */
void
Fw_HttpReply_Text(const struct fw_http_req *req, int status, const char *id,
                  const char *type, const char *fields, const char *text,
                  size_t len);
/* Writes the answer to a request that the server refuses by itself. */
void
Fw_HttpReply_Refusal(void *ctx, const struct fw_http_head *head, int status,
                     const char *why, GString *fields, GString *body);
/* /healthz, /readyz and /metrics; 0 when @path is another. */
int
Fw_HttpReply_Probe(const struct fw_http_req *req, const char *path);
/* The bearer key of this request as a new string, or NULL. */
char *
Fw_HttpReply_Key(const struct fw_http_req *req);

/* Keeps the request until the core answers; then the event may be given. */
struct fw_http_call *
Fw_HttpCall_Open(const struct fw_http_req *req);
/* The caller closed its connection. */
void
Fw_HttpCall_Gone(struct fw_http_call *call);
void
Fw_HttpCall_Free(struct fw_http_call *call);

/* Handlers of the two ports. */
void
Fw_HttpCallers_Handle(const struct fw_http_req *req);
void
Fw_HttpOperators_Handle(const struct fw_http_req *req);

#endif
