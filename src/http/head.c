#include "http/head.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* Most digits of a Content-Length; can't overflow 64 bits. */
#define FW_LENGTH_DIGITS_MAX 18
#define FW_STATUS_DIGITS 3

static int
is_token(unsigned char c)
{
    return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

int
Fw_Http_MethodIs(const struct fw_http_head *h, const char *method)
{
    return h->method_len == strlen(method) &&
           memcmp(h->method, method, h->method_len) == 0;
}

int
Fw_Http_FieldIs(const struct fw_http_field *f, const char *name)
{
    return f->name_len == strlen(name) &&
           g_ascii_strncasecmp(f->name, name, f->name_len) == 0;
}

const struct fw_http_field *
Fw_Http_FindField(const struct fw_http_head *h, const char *name)
{
    for (int i = 0; i < h->n_fields; i++) {
        if (Fw_Http_FieldIs(&h->fields[i], name)) {
            return &h->fields[i];
        }
    }
    return NULL;
}

int
Fw_Http_HasToken(const struct fw_http_field *f, const char *token)
{
    size_t token_len = strlen(token);
    const char *p = f->value;
    const char *end = f->value + f->value_len;

    while (p < end) {
        const char *stop = memchr(p, ',', (size_t)(end - p));
        const char *last = stop ? stop : end;

        while (p < last && (*p == ' ' || *p == '\t')) {
            p++;
        }
        while (last > p && (last[-1] == ' ' || last[-1] == '\t')) {
            last--;
        }
        if ((size_t)(last - p) == token_len &&
            g_ascii_strncasecmp(p, token, token_len) == 0) {
            return 1;
        }
        p = stop ? stop + 1 : end;
    }
    return 0;
}

void
Fw_Http_AppendField(GString *out, const struct fw_http_field *f)
{
    g_string_append_len(out, f->name, (gssize)f->name_len);
    g_string_append(out, ": ");
    g_string_append_len(out, f->value, (gssize)f->value_len);
    g_string_append(out, "\r\n");
}

int
Fw_Http_IsHopByHop(const struct fw_http_head *h, const struct fw_http_field *f)
{
    static const char *const names[] = {
        "connection", "keep-alive", "proxy-connection",
        "te",         "trailer",    "transfer-encoding",
        "upgrade",    "expect",     "proxy-authenticate",
    };
    char name[64];

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (Fw_Http_FieldIs(f, names[i])) {
            return 1;
        }
    }
    if (f->name_len >= sizeof(name)) {
        return 0;
    }
    memcpy(name, f->name, f->name_len);
    name[f->name_len] = 0;
    for (int i = 0; i < h->n_fields; i++) {
        if (Fw_Http_FieldIs(&h->fields[i], "connection") &&
            Fw_Http_HasToken(&h->fields[i], name)) {
            return 1;
        }
    }
    return 0;
}

/* Length of the head with its empty line; 0 when it is incomplete. */
static size_t
head_length(const char *data, size_t len)
{
    const char *end = memmem(data, len, "\r\n\r\n", 4);

    return end ? (size_t)(end - data) + 4 : 0;
}

/* Rejects NUL, and CR or LF other than as CRLF. */
static int
lines_end_in_crlf(const char *raw, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (raw[i] == 0 ||
            (raw[i] == '\n' && (i == 0 || raw[i - 1] != '\r')) ||
            (raw[i] == '\r' && raw[i + 1] != '\n')) {
            return 0;
        }
    }
    return 1;
}

/* Checks that each line after the first starts with a token and a colon. */
static int
names_are_tokens(const char *raw, size_t len)
{
    const char *p = strstr(raw, "\r\n") + 2;
    const char *end = raw + len - 2;

    while (p < end) {
        const char *c = p;

        while (is_token((unsigned char)*c)) {
            c++;
        }
        if (c == p || *c != ':') {
            return 0;
        }
        p = strstr(c, "\r\n") + 2;
    }
    return 1;
}

static struct fw_http_head *
parser_head(http_parser *p)
{
    return p->data;
}

static int
on_url(http_parser *p, const char *at, size_t len)
{
    parser_head(p)->target = at;
    parser_head(p)->target_len = len;
    return 0;
}

static int
on_field_name(http_parser *p, const char *at, size_t len)
{
    struct fw_http_head *h = parser_head(p);

    if (h->n_fields == FW_HTTP_FIELDS_MAX) {
        return -1;
    }
    h->fields[h->n_fields++] =
        (struct fw_http_field){.name = at, .name_len = len, .value = at + len};
    return 0;
}

static int
on_field_value(http_parser *p, const char *at, size_t len)
{
    struct fw_http_head *h = parser_head(p);
    struct fw_http_field *f = &h->fields[h->n_fields - 1];

    while (len && (at[len - 1] == ' ' || at[len - 1] == '\t')) {
        len--;
    }
    f->value = at;
    f->value_len = len;
    return 0;
}

/* Stops http_parser after the head: body.c decodes the body. */
static int
on_head_done(http_parser *p)
{
    p->upgrade = 0;
    return 1;
}

static int
parse_content_length(struct fw_http_head *h, const struct fw_http_field *f)
{
    if (!f->value_len || f->value_len > FW_LENGTH_DIGITS_MAX) {
        return -EBADMSG;
    }
    h->length = 0;
    for (size_t i = 0; i < f->value_len; i++) {
        if (!g_ascii_isdigit(f->value[i])) {
            return -EBADMSG;
        }
        h->length = h->length * 10 + (uint64_t)(f->value[i] - '0');
    }
    h->framing = FW_HTTP_CONTENT_LENGTH;
    return 0;
}

static int
count_fields(const struct fw_http_head *h, const char *name)
{
    int n = 0;

    for (int i = 0; i < h->n_fields; i++) {
        n += Fw_Http_FieldIs(&h->fields[i], name);
    }
    return n;
}

static int
has_no_body(const struct fw_http_head *h)
{
    return h->status &&
           (h->status < 200 || h->status == 204 || h->status == 304);
}

static int
parse_framing(enum fw_http_message_type type, struct fw_http_head *h)
{
    const struct fw_http_field *length =
        Fw_Http_FindField(h, "content-length");
    const struct fw_http_field *coding =
        Fw_Http_FindField(h, "transfer-encoding");

    if (count_fields(h, "content-length") > 1 ||
        count_fields(h, "transfer-encoding") > 1 || (length && coding)) {
        return -EBADMSG;
    }
    h->framing =
        type == FW_HTTP_REQUEST ? FW_HTTP_NO_BODY : FW_HTTP_UNTIL_CLOSE;
    if (coding) {
        if (h->minor < 1 || coding->value_len != 7 ||
            g_ascii_strncasecmp(coding->value, "chunked", 7) != 0) {
            return -EBADMSG;
        }
        h->framing = FW_HTTP_CHUNKED;
    }
    if (length && parse_content_length(h, length)) {
        return -EBADMSG;
    }
    if (has_no_body(h)) {
        h->framing = FW_HTTP_NO_BODY;
    }
    return 0;
}

static int
allows_keep_alive(const struct fw_http_head *h)
{
    for (int i = 0; i < h->n_fields; i++) {
        const struct fw_http_field *f = &h->fields[i];

        if (!Fw_Http_FieldIs(f, "connection")) {
            continue;
        }
        if (Fw_Http_HasToken(f, "close")) {
            return 0;
        }
        if (Fw_Http_HasToken(f, "keep-alive")) {
            return 1;
        }
    }
    return h->minor >= 1;
}

static int
target_is_valid(const struct fw_http_head *h)
{
    if (!h->target_len || h->target[0] != '/') {
        return 0;
    }
    for (size_t i = 0; i < h->target_len; i++) {
        unsigned char c = (unsigned char)h->target[i];

        if (c <= ' ' || c >= 0x7f || c == '#') {
            return 0;
        }
    }
    return 1;
}

static int
check_request(struct fw_http_head *h)
{
    const char *space = strchr(h->raw, ' ');

    h->method = h->raw;
    h->method_len = (size_t)(space - h->raw);
    if (!target_is_valid(h) || count_fields(h, "host") != 1) {
        return -EBADMSG;
    }
    /* Exactly one space on each side of the target. */
    if (h->target != space + 1 ||
        strncmp(h->target + h->target_len, " HTTP/1.", 8) != 0) {
        return -EBADMSG;
    }
    return 0;
}

/* The parser takes any number of digits for a status, which has three. */
static int
status_line_is_valid(const char *raw)
{
    const char *p = raw + strlen("HTTP/1.1");

    if (*p++ != ' ') {
        return 0;
    }
    for (int i = 0; i < FW_STATUS_DIGITS; i++) {
        if (!g_ascii_isdigit(*p++)) {
            return 0;
        }
    }
    return *p == ' ' || *p == '\r';
}

/*
 * http_parser is more lenient than this interface: the checks before and after
 * it reject the rest.
 */
static int
parse_head(enum fw_http_message_type type, size_t len, struct fw_http_head *h)
{
    static const http_parser_settings settings = {
        .on_url = on_url,
        .on_header_field = on_field_name,
        .on_header_value = on_field_value,
        .on_headers_complete = on_head_done,
    };
    http_parser p;

    http_parser_init(&p,
                     type == FW_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
    p.data = h;
    p.allow_chunked_length = 1; /* rejected by parse_framing */
    http_parser_execute(&p, &settings, h->raw, len);
    if (HTTP_PARSER_ERRNO(&p) != HPE_OK || p.http_major != 1 ||
        p.http_minor > 1 || p.method == HTTP_CONNECT) {
        return -EBADMSG;
    }
    h->minor = p.http_minor;
    if (type == FW_HTTP_RESPONSE) {
        h->status = p.status_code;
        return h->status >= 100 && h->status <= 599 &&
                       status_line_is_valid(h->raw)
                   ? 0
                   : -EBADMSG;
    }
    return check_request(h);
}

int
Fw_Http_ParseHead(enum fw_http_message_type type, const char *data, size_t len,
                  struct fw_http_head *out)
{
    size_t n = head_length(data, len);

    if (!n) {
        return 0;
    }
    *out = (struct fw_http_head){.raw = g_strndup(data, n)};
    if (!lines_end_in_crlf(out->raw, n) || !names_are_tokens(out->raw, n) ||
        parse_head(type, n, out) || parse_framing(type, out)) {
        Fw_Http_ClearHead(out);
        return -EBADMSG;
    }
    out->keep_alive = allows_keep_alive(out);
    return (int)n;
}

void
Fw_Http_ClearHead(struct fw_http_head *h)
{
    g_free(h->raw);
    *h = (struct fw_http_head){0};
}
