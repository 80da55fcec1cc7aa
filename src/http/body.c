#include "http/body.h"

#include <errno.h>
#include <glib.h>

/** enum chunk_state - expected next byte of a chunked body. */
enum chunk_state {
    FW_CHUNK_SIZE,
    FW_CHUNK_EXT,
    FW_CHUNK_SIZE_LF,
    FW_CHUNK_DATA,
    FW_CHUNK_DATA_CR,
    FW_CHUNK_DATA_LF,
    FW_CHUNK_TRAILER, /* at the start of a trailer line */
    FW_CHUNK_TRAILER_TEXT,
    FW_CHUNK_TRAILER_LF,
    FW_CHUNK_LAST_LF,
};

void
Fw_Http_BodyInit(struct fw_http_body_decoder *f, const struct fw_http_head *h)
{
    *f = (struct fw_http_body_decoder){.framing = h->framing};
    if (h->framing == FW_HTTP_CONTENT_LENGTH) {
        f->remaining = h->length;
    }
    f->done = h->framing == FW_HTTP_NO_BODY ||
              (h->framing == FW_HTTP_CONTENT_LENGTH && f->remaining == 0);
}

int
Fw_Http_BodyEndsAtClose(const struct fw_http_body_decoder *f)
{
    return f->done || f->framing == FW_HTTP_UNTIL_CLOSE;
}

static int
read_chunk_size(struct fw_http_body_decoder *f, char c)
{
    int v = g_ascii_xdigit_value(c);

    if (v >= 0 && f->state == FW_CHUNK_SIZE) {
        if (++f->size_digits > FW_HTTP_CHUNK_SIZE_DIGITS_MAX) {
            return -EBADMSG;
        }
        f->remaining = f->remaining * 16 + (uint64_t)v;
        return 0;
    }
    if (!f->size_digits) {
        return -EBADMSG;
    }
    if (c == '\r') {
        f->state = FW_CHUNK_SIZE_LF;
        return 0;
    }
    if (c == ';' || f->state == FW_CHUNK_EXT) {
        f->state = FW_CHUNK_EXT;
        return c == '\n' || c == 0 ? -EBADMSG : 0;
    }
    return -EBADMSG;
}

static int
expect_char(struct fw_http_body_decoder *f, char c, char expected, int next)
{
    f->state = next;
    f->line_bytes = 0;
    return c == expected ? 0 : -EBADMSG;
}

static int
read_framing_char(struct fw_http_body_decoder *f, char c)
{
    if (++f->line_bytes > FW_HTTP_CHUNK_LINE_MAX) {
        return -EBADMSG;
    }
    switch ((enum chunk_state)f->state) {
    case FW_CHUNK_SIZE:
    case FW_CHUNK_EXT:
        return read_chunk_size(f, c);
    case FW_CHUNK_SIZE_LF:
        f->size_digits = 0;
        return expect_char(f, c, '\n',
                           f->remaining ? FW_CHUNK_DATA : FW_CHUNK_TRAILER);
    case FW_CHUNK_DATA_CR:
        return expect_char(f, c, '\r', FW_CHUNK_DATA_LF);
    case FW_CHUNK_DATA_LF:
        return expect_char(f, c, '\n', FW_CHUNK_SIZE);
    case FW_CHUNK_TRAILER:
        f->state = c == '\r' ? FW_CHUNK_LAST_LF : FW_CHUNK_TRAILER_TEXT;
        return c == '\n' ? -EBADMSG : 0;
    case FW_CHUNK_TRAILER_TEXT:
        f->state = c == '\r' ? FW_CHUNK_TRAILER_LF : FW_CHUNK_TRAILER_TEXT;
        return c == '\n' ? -EBADMSG : 0;
    case FW_CHUNK_TRAILER_LF:
        return expect_char(f, c, '\n', FW_CHUNK_TRAILER);
    case FW_CHUNK_LAST_LF:
        f->done = 1;
        return expect_char(f, c, '\n', FW_CHUNK_SIZE);
    case FW_CHUNK_DATA:
        break;
    }
    return -EBADMSG;
}

static size_t
take_data(struct fw_http_body_decoder *f, const char *data, size_t len,
          const char **body, size_t *body_len)
{
    size_t n =
        f->framing == FW_HTTP_UNTIL_CLOSE ? len : MIN(len, f->remaining);

    *body = data;
    *body_len = n;
    if (f->framing != FW_HTTP_UNTIL_CLOSE) {
        f->remaining -= n;
    }
    return n;
}

int
Fw_Http_BodyRead(struct fw_http_body_decoder *f, const char *data, size_t len,
                 const char **body, size_t *body_len)
{
    size_t consumed = 0;

    *body = data;
    *body_len = 0;
    if (f->done || !len) {
        return 0;
    }
    if (f->framing != FW_HTTP_CHUNKED) {
        consumed = take_data(f, data, len, body, body_len);
        f->done = f->framing == FW_HTTP_CONTENT_LENGTH && f->remaining == 0;
        return (int)consumed;
    }
    while (consumed < len && !f->done && f->state != FW_CHUNK_DATA) {
        if (read_framing_char(f, data[consumed++])) {
            return -EBADMSG;
        }
    }
    if (f->state == FW_CHUNK_DATA && consumed < len && !f->done) {
        consumed +=
            take_data(f, data + consumed, len - consumed, body, body_len);
        if (f->remaining == 0) {
            f->state = FW_CHUNK_DATA_CR;
        }
    }
    return (int)consumed;
}
