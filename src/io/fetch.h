/*
 * Asynchronous HTTP client call with a response size limit and an idle
 * timeout. The result says whether the server may have received the request.
 */
#ifndef FW_IO_FETCH_H
#define FW_IO_FETCH_H

#include <libsoup/soup.h>
#include <stdint.h>

#include "base/ran.h"

/*
 * Buffered bytes of an unterminated line above which a call ends with
 * -EMSGSIZE.
 */
#define FW_FETCH_LINE_MAX_BYTES 65536

/**
 * struct fw_fetch_result - outcome of a call; valid during the callback.
 * @ran: FW_RAN_NO when nothing was sent, else FW_RAN_MAYBE
 * @status: HTTP status, or 0 when no response head was received
 * @err: 0 when the response is complete, else a negative errno
 * @content_type: NULL when the response has none
 * @body: NULL after an error and when on_line was set
 */
struct fw_fetch_result {
    enum fw_ran ran;
    int status;
    int err;
    const char *content_type;
    GBytes *body;
};

/**
 * struct fw_fetch_opts - parameters of a call.
 * @msg: ownership passes to the call
 * @idle_timeout_us: longest time without received data
 * @body_max: in bytes; a longer response ends the call with -EMSGSIZE
 * @ctx: passed to the callbacks
 * @on_line: if set, receives each nonempty line of a 200 response, without its
 *        line end; a nonzero return ends the call with that error
 * @on_done: called once, unless the call is cancelled first
 */
struct fw_fetch_opts {
    SoupSession *session;
    SoupMessage *msg;
    int64_t idle_timeout_us;
    size_t body_max;
    void *ctx;
    int (*on_line)(void *ctx, const char *line, size_t len);
    void (*on_done)(void *ctx, const struct fw_fetch_result *result);
};

struct fw_fetch;

/* Starts a call. No callback is made before the function returns. */
struct fw_fetch *
Fw_Fetch_Start(const struct fw_fetch_opts *opts);
/* Aborts the call and invalidates @f; no callback follows. */
void
Fw_Fetch_Cancel(struct fw_fetch *f);

/**
 * Fw_Fetch_NewSession - creates a libsoup session for calls.
 *
 * It ignores proxy settings of the environment, does not decompress responses
 * and has no timeout, since each call has its own.
 */
SoupSession *
Fw_Fetch_NewSession(int max_conns, int max_conns_per_host);
/**
 * Fw_Fetch_SetBody - sets the request body of a message.
 * @type: content type, may be NULL
 *
 * When a persistent connection closes without a response, libsoup resends an
 * idempotent message, but with an empty body, since it has read the body's
 * stream to the end. A body set here is restored before such a resend.
 */
void
Fw_Fetch_SetBody(SoupMessage *msg, const char *type, GBytes *body);
/*
 * Creates a message that follows no redirects, with a JSON body unless @json
 * is NULL. Returns NULL when @url is invalid.
 */
SoupMessage *
Fw_Fetch_NewMessage(const char *method, const char *url, const char *json);

#endif
