/*
 * Strict parser for the heads (start line and fields) of HTTP/1 messages.
 *
 * A proxy that accepts an ambiguous head may frame the message differently
 * than its upstream (request smuggling). All input that parsers are known to
 * interpret differently is an error: bare line feeds, folded lines, whitespace
 * before the colon, repeated Content-Length, Content-Length together with
 * Transfer-Encoding.
 */
#ifndef FW_HTTP_HEAD_H
#define FW_HTTP_HEAD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of fields in a head. */
#define FW_HTTP_FIELDS_MAX 100

enum fw_http_message_type {
    FW_HTTP_REQUEST,
    FW_HTTP_RESPONSE,
};

/** enum fw_http_framing - how the end of a body is determined. */
enum fw_http_framing {
    FW_HTTP_NO_BODY, /* there is no body */
    FW_HTTP_CONTENT_LENGTH,
    FW_HTTP_CHUNKED,
    FW_HTTP_UNTIL_CLOSE, /* by the end of the connection; responses only */
};

/** struct fw_http_field - a field; points into @raw of its head. */
struct fw_http_field {
    const char *name;
    size_t name_len;
    const char *value; /* without surrounding whitespace */
    size_t value_len;
};

/**
 * struct fw_http_head - head of a request or response.
 * @raw: owned copy of the head; all pointers below point into it
 * @method: of a request, as received, of @method_len bytes
 * @target: of a request, as received, of @target_len bytes
 * @status: of a response, else 0
 * @minor: minor version, 0 or 1
 * @length: length of the body in bytes with FW_HTTP_CONTENT_LENGTH
 * @keep_alive: the connection can be reused afterwards
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
 * Fw_Http_ParseHead - parses a head at the start of @data.
 * @out: to be cleared when a positive number is returned
 *
 * Return: length of the head in bytes, 0 when it is incomplete, -EBADMSG when
 * it is malformed or ambiguous.
 */
int
Fw_Http_ParseHead(enum fw_http_message_type type, const char *data, size_t len,
                  struct fw_http_head *out);
void
Fw_Http_ClearHead(struct fw_http_head *h);
/* The first field with @name, ignoring case, or NULL. */
const struct fw_http_field *
Fw_Http_FindField(const struct fw_http_head *h, const char *name);
/* Nonzero when the method is @method; methods are case-sensitive. */
int
Fw_Http_MethodIs(const struct fw_http_head *h, const char *method);
/* Nonzero when the name of @f is @name, ignoring case. */
int
Fw_Http_FieldIs(const struct fw_http_field *f, const char *name);
/* Nonzero when @f, a comma-separated list, contains @token, ignoring case. */
int
Fw_Http_HasToken(const struct fw_http_field *f, const char *token);
/* Appends @f as a header line with CRLF. */
void
Fw_Http_AppendField(GString *out, const struct fw_http_field *f);
/* Nonzero when @f must not be forwarded (RFC 9110, section 7.6.1). */
int
Fw_Http_IsHopByHop(const struct fw_http_head *h,
                   const struct fw_http_field *f);

#endif
