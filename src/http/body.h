/* Decoder for bodies of HTTP/1 messages, with any framing. */
#ifndef FW_HTTP_BODY_H
#define FW_HTTP_BODY_H

#include "http/head.h"

/* Most digits of a chunk size, and bytes of a line of chunk framing. */
#define FW_HTTP_CHUNK_SIZE_DIGITS_MAX 8
#define FW_HTTP_CHUNK_LINE_MAX 256

/**
 * struct fw_http_body_decoder - state of decoding one body.
 * @state: enum chunk_state
 * @remaining: bytes left of the body or the current chunk
 * @size_digits: digits of the current chunk size so far
 * @line_bytes: bytes of the current framing line so far
 * @done: the body is complete
 */
struct fw_http_body_decoder {
    enum fw_http_framing framing;
    int state;
    uint64_t remaining;
    int size_digits;
    int line_bytes;
    int done;
};

/* Prepares @f to decode the body of the message with head @h. */
void
Fw_Http_BodyInit(struct fw_http_body_decoder *f, const struct fw_http_head *h);

/**
 * Fw_Http_BodyRead - decodes the next part of a body from @data.
 * @body: set to the decoded part, which lies within @data
 * @body_len: set to its length; may be 0
 *
 * To be called repeatedly until @f->done is set or all of @data is consumed.
 *
 * Return: bytes consumed of @data, or -EBADMSG when the framing is malformed.
 */
int
Fw_Http_BodyRead(struct fw_http_body_decoder *f, const char *data, size_t len,
                 const char **body, size_t *body_len);
/* Nonzero when the body is complete if the connection ends now. */
int
Fw_Http_BodyEndsAtClose(const struct fw_http_body_decoder *f);

#endif
