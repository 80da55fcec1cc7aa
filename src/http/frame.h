/* Where a body ends: by length, by chunks, or with its connection. */
#ifndef FW_HTTP_FRAME_H
#define FW_HTTP_FRAME_H

#include "http/head.h"

/* Digits of a chunk's size, and bytes of one line of chunk framing. */
#define FW_HTTP_CHUNK_DIGITS 8
#define FW_HTTP_CHUNK_LINE 256

/** struct fw_http_frame - reads one body; see Fw_Http_FrameRead. */
struct fw_http_frame {
    enum fw_http_framing framing;
    int state;
    uint64_t left; /* bytes of the body or of the chunk */
    int digits;
    int line; /* bytes of the framing line so far */
    int done;
};

void
Fw_Http_FrameInit(struct fw_http_frame *f, const struct fw_http_head *h);

/**
 * Fw_Http_FrameRead - the next part of the body in @data.
 * @body, @body_len: set to the part that belongs to the body; may be empty
 *
 * To be called until @f->done or all of @data was used.
 *
 * Return: bytes used of @data, or -EBADMSG.
 */
int
Fw_Http_FrameRead(struct fw_http_frame *f, const char *data, size_t len,
                  const char **body, size_t *body_len);
/* Nonzero when a clean end of the connection ends the body whole. */
int
Fw_Http_FrameEndsHere(const struct fw_http_frame *f);

#endif
