#include "http/frame.h"

#include <errno.h>
#include <glib.h>

/** enum chunk_state - what the next byte of a chunked body belongs to. */
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
Fw_Http_FrameInit(struct fw_http_frame *f, const struct fw_http_head *h)
{
    *f = (struct fw_http_frame){.framing = h->framing};
    if (h->framing == FW_HTTP_LENGTH) {
        f->left = h->length;
    }
    f->done = h->framing == FW_HTTP_NONE ||
              (h->framing == FW_HTTP_LENGTH && f->left == 0);
}

int
Fw_Http_FrameEndsHere(const struct fw_http_frame *f)
{
    return f->done || f->framing == FW_HTTP_UNTIL_CLOSE;
}

static int
size_digit(struct fw_http_frame *f, char c)
{
    int v = g_ascii_xdigit_value(c);

    if (v >= 0 && f->state == FW_CHUNK_SIZE) {
        if (++f->digits > FW_HTTP_CHUNK_DIGITS) {
            return -EBADMSG;
        }
        f->left = f->left * 16 + (uint64_t)v;
        return 0;
    }
    if (!f->digits) {
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
expect(struct fw_http_frame *f, char c, char wanted, int next)
{
    f->state = next;
    f->line = 0;
    return c == wanted ? 0 : -EBADMSG;
}

static int
chunk_step(struct fw_http_frame *f, char c)
{
    if (++f->line > FW_HTTP_CHUNK_LINE) {
        return -EBADMSG;
    }
    switch ((enum chunk_state)f->state) {
    case FW_CHUNK_SIZE:
    case FW_CHUNK_EXT:
        return size_digit(f, c);
    case FW_CHUNK_SIZE_LF:
        f->digits = 0;
        return expect(f, c, '\n', f->left ? FW_CHUNK_DATA : FW_CHUNK_TRAILER);
    case FW_CHUNK_DATA_CR:
        return expect(f, c, '\r', FW_CHUNK_DATA_LF);
    case FW_CHUNK_DATA_LF:
        return expect(f, c, '\n', FW_CHUNK_SIZE);
    case FW_CHUNK_TRAILER:
        f->state = c == '\r' ? FW_CHUNK_LAST_LF : FW_CHUNK_TRAILER_TEXT;
        return c == '\n' ? -EBADMSG : 0;
    case FW_CHUNK_TRAILER_TEXT:
        f->state = c == '\r' ? FW_CHUNK_TRAILER_LF : FW_CHUNK_TRAILER_TEXT;
        return c == '\n' ? -EBADMSG : 0;
    case FW_CHUNK_TRAILER_LF:
        return expect(f, c, '\n', FW_CHUNK_TRAILER);
    case FW_CHUNK_LAST_LF:
        f->done = 1;
        return expect(f, c, '\n', FW_CHUNK_SIZE);
    case FW_CHUNK_DATA:
        break;
    }
    return -EBADMSG;
}

static size_t
take_data(struct fw_http_frame *f, const char *data, size_t len,
          const char **body, size_t *body_len)
{
    size_t n = f->framing == FW_HTTP_UNTIL_CLOSE ? len : MIN(len, f->left);

    *body = data;
    *body_len = n;
    if (f->framing != FW_HTTP_UNTIL_CLOSE) {
        f->left -= n;
    }
    return n;
}

int
Fw_Http_FrameRead(struct fw_http_frame *f, const char *data, size_t len,
                  const char **body, size_t *body_len)
{
    size_t used = 0;

    *body = data;
    *body_len = 0;
    if (f->done || !len) {
        return 0;
    }
    if (f->framing != FW_HTTP_CHUNKED) {
        used = take_data(f, data, len, body, body_len);
        f->done = f->framing == FW_HTTP_LENGTH && f->left == 0;
        return (int)used;
    }
    while (used < len && !f->done && f->state != FW_CHUNK_DATA) {
        if (chunk_step(f, data[used++])) {
            return -EBADMSG;
        }
    }
    if (f->state == FW_CHUNK_DATA && used < len && !f->done) {
        used += take_data(f, data + used, len - used, body, body_len);
        if (f->left == 0) {
            f->state = FW_CHUNK_DATA_CR;
        }
    }
    return (int)used;
}
