/*
 * Heads of HTTP/1 messages, read strictly.
 *
 * A proxy that repairs a doubtful head can be made to see another message
 * than its upstream does (request smuggling). So whatever two parsers could
 * read in two ways is an error here: bare line feeds, folded lines, a space
 * before the colon, two lengths, a length beside a transfer coding.
 */
#ifndef FW_HTTP_HEAD_H
#define FW_HTTP_HEAD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Fields in one head: far above any client's, bounds the work for one. */
#define FW_HTTP_FIELDS_MAX 100

enum fw_http_side {
    FW_HTTP_REQUEST,
    FW_HTTP_RESPONSE,
};

/** enum fw_http_framing - how the end of a body is found. */
enum fw_http_framing {
    FW_HTTP_NONE,
    FW_HTTP_LENGTH,
    FW_HTTP_CHUNKED,
    FW_HTTP_UNTIL_CLOSE, /* responses only */
};

/** struct fw_http_field - points into the head's own copy of the bytes. */
struct fw_http_field {
    const char *name;
    size_t name_len;
    const char *value; /* without surrounding white space */
    size_t value_len;
};

/**
 * struct fw_http_head - a request's or response's head.
 * @raw: the bytes, owned; all pointers below lead into it
 * @method, @method_len, @target, @target_len: of a request, as they came
 * @status: of a response
 * @minor: of HTTP/1.@minor
 * @length: bytes of the body with FW_HTTP_LENGTH
 * @keep_alive: the sender goes on with this connection afterwards
 */
struct fw_http_head {
    char *raw;
    const char *method;
    size_t method_len;
    const char *target;
    size_t target_len;
    int status;
    int minor;
    enum fw_http_framing framing;
    uint64_t length;
    int keep_alive;
    int n_fields;
    struct fw_http_field fields[FW_HTTP_FIELDS_MAX];
};

/**
 * Fw_Http_ReadHead - takes a head off the start of @data.
 * @out: to be cleared when a positive number is returned
 *
 * Return: the head's length in bytes; 0 when more bytes are needed;
 * -EBADMSG when it breaks the protocol or could be read in two ways.
 */
int
Fw_Http_ReadHead(enum fw_http_side side, const char *data, size_t len,
                 struct fw_http_head *out);
void
Fw_Http_ClearHead(struct fw_http_head *h);
/* The first field called @name, or NULL; names compare without case. */
const struct fw_http_field *
Fw_Http_Find(const struct fw_http_head *h, const char *name);
int
Fw_Http_MethodIs(const struct fw_http_head *h, const char *method);
int
Fw_Http_FieldIs(const struct fw_http_field *f, const char *name);
/* Nonzero when the comma-separated list in @f holds @token. */
int
Fw_Http_HasToken(const struct fw_http_field *f, const char *token);
/* Appends @f as a line. */
void
Fw_Http_AddField(GString *out, const struct fw_http_field *f);
/* Nonzero for fields that concern one connection only (RFC 9110, 7.6.1). */
int
Fw_Http_HopByHop(const struct fw_http_head *h, const struct fw_http_field *f);

#endif
