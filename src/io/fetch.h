/*
 * One HTTP call out of this process: bounded answer, bounded silence, and a
 * verdict on whether the other side may have seen it.
 */
#ifndef FW_IO_FETCH_H
#define FW_IO_FETCH_H

#include <libsoup/soup.h>
#include <stdint.h>

#include "base/ran.h"

#define FW_FETCH_LINE_MAX 65536

/**
 * struct fw_fetch_result - how the call ended.
 * @ran: no when no byte was sent, else maybe; the caller makes a yes of it
 * @status: HTTP status, or 0 when none came
 * @err: 0 when a whole answer came, else a negative errno
 * @body: NULL unless the answer is whole and was not taken line by line
 */
struct fw_fetch_result {
    enum fw_ran ran;
    int status;
    int err;
    const char *content_type;
    GBytes *body;
};

/**
 * struct fw_fetch_opts - what to send and whom to tell.
 * @msg: moved
 * @timeout_us: longest silence
 * @body_max: a longer answer is -EMSGSIZE
 * @line: when set, takes each line of a 200 answer (without its end); a
 *        nonzero return ends the call with that error
 * @done: called once, unless the call is cancelled before
 */
struct fw_fetch_opts {
    SoupSession *session;
    SoupMessage *msg;
    int64_t timeout_us;
    size_t body_max;
    void *ctx;
    int (*line)(void *ctx, const char *line, size_t len);
    void (*done)(void *ctx, const struct fw_fetch_result *result);
};

struct fw_fetch;

/* Never calls back before it has returned. */
struct fw_fetch *
Fw_Fetch_Start(const struct fw_fetch_opts *opts);
/* Closes the connection; no callback follows. */
void
Fw_Fetch_Cancel(struct fw_fetch *f);

/**
 * Fw_Fetch_Session - a session without the library's surprises: no proxy
 * from the environment, no decompression, no silence limit of its own.
 */
SoupSession *
Fw_Fetch_Session(int max_conns, int max_conns_per_host);
/**
 * Fw_Fetch_SetBody - the body of a message that Fw_Fetch_Start is to send.
 * @type: content type, may be NULL
 *
 * When a kept connection closes without an answer, the library sends an
 * idempotent message again, but with an empty body, since its stream was read
 * to the end (seen with 3.2.3). The other side would take the empty one for
 * real. Set by this function, the body is put in place again.
 */
void
Fw_Fetch_SetBody(SoupMessage *msg, const char *type, GBytes *body);
/* A message with a JSON body; @json may be NULL. NULL for a bad @url. */
SoupMessage *
Fw_Fetch_Message(const char *method, const char *url, const char *json);

#endif
