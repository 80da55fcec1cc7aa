/*
 * broken-responses-are-not-whole: a response that its server has broken off
 * is not taken for whole, and one that is whole is not taken for broken, in
 * any framing, with any type, and behind another instance that hands it over.
 */
#include <string.h>

#include "decide/response_end.h"
#include "explore/p_relay.h"
#include "http/body.h"

#define FW_PIECES_MAX 6
#define FW_LINES_MAX 3
#define FW_SEGMENT_MAX 24

/** enum place - where in a stream an offset is. */
enum place {
    FW_OUTSIDE,
    FW_IN_EVENT,
    FW_IN_COMMENT,
};

/** enum ending - how the server's response ends. */
enum ending {
    FW_SENT_WHOLE,
    FW_CLOSED, /* its connection is closed */
    FW_RESET,  /* its connection is reset */
    FW_ENDED,  /* it marks the end too early */
    FW_ENDINGS,
};

/**
 * struct response - a response of a server.
 * @body: all of it
 * @places: of the offsets in @body, of guint8
 * @n_events: whole events before these offsets, of guint8
 * @cut: offset in @body at which it ends
 */
struct response {
    int status;
    int is_route_streaming;
    const char *type;
    enum fw_http_framing framing;
    enum ending ending;
    GString *body;
    GByteArray *places;
    GByteArray *n_events;
    size_t cut;
};

/** struct received - what an instance has received of a response. */
struct received {
    int is_whole;
    GString *body;
};

static int
draw(struct fw_run *run, int n)
{
    return g_rand_int_range(run->rand, 0, n);
}

/* The length of the next part of @len bytes. */
static size_t
draw_segment(struct fw_run *run, size_t len)
{
    size_t n = (size_t)draw(run, FW_SEGMENT_MAX) + 1;

    return MIN(len, n);
}

/* Appends @text, after each of whose bytes the stream is in @place. */
static void
append(struct response *r, const char *text, enum place place)
{
    size_t len = strlen(text);
    guint8 p = (guint8)place;
    guint8 n = r->n_events->data[r->n_events->len - 1];

    g_string_append(r->body, text);
    for (size_t i = 0; i < len; i++) {
        g_byte_array_append(r->places, &p, 1);
        g_byte_array_append(r->n_events, &n, 1);
    }
}

/* The first byte of a line end ends the line. */
static void
end_line(struct response *r, const char *eol, enum place after, int is_event)
{
    append(r, eol, after);
    if (is_event) {
        for (size_t i = 1; i <= strlen(eol); i++) {
            r->n_events->data[r->n_events->len - i]++;
        }
    }
}

static const char *
draw_eol(struct fw_run *run)
{
    static const char *const eols[] = {"\n", "\r\n", "\r"};

    return eols[draw(run, G_N_ELEMENTS(eols))];
}

static void
append_event(struct fw_run *run, struct response *r)
{
    static const char *const lines[] = {"id: 7",    "data: a piece", "data",
                                        "event: x", "retry: 5",      ": note"};
    const char *eol = draw_eol(run);
    int n = 1 + draw(run, FW_LINES_MAX);

    append(r, "data: a", FW_IN_EVENT);
    end_line(r, eol, FW_IN_EVENT, 0);
    for (int i = 1; i < n; i++) {
        append(r, lines[draw(run, G_N_ELEMENTS(lines))], FW_IN_EVENT);
        end_line(r, eol, FW_IN_EVENT, 0);
    }
    end_line(r, eol, FW_OUTSIDE, 1);
}

static void
append_comment(struct fw_run *run, struct response *r)
{
    append(r, ": wait", FW_IN_COMMENT);
    end_line(r, draw_eol(run), FW_OUTSIDE, 0);
}

static void
draw_body(struct fw_run *run, struct response *r)
{
    static const guint8 zero;
    int n = 1 + draw(run, FW_PIECES_MAX);

    r->body = g_string_new(NULL);
    r->places = g_byte_array_new();
    r->n_events = g_byte_array_new();
    g_byte_array_append(r->places, &zero, 1);
    g_byte_array_append(r->n_events, &zero, 1);
    for (int i = 0; i < n; i++) {
        if (draw(run, 4) == 0) {
            append_comment(run, r);
        }
        else {
            append_event(run, r);
        }
    }
    append_event(run, r);
}

static void
draw_response(struct fw_run *run, struct response *r)
{
    static const char *const types[] = {"text/event-stream",
                                        "Text/Event-Stream; charset=utf-8",
                                        NULL, "", "application/json"};
    static const enum fw_http_framing framings[] = {
        FW_HTTP_CONTENT_LENGTH, FW_HTTP_CHUNKED, FW_HTTP_UNTIL_CLOSE};

    *r = (struct response){.status = draw(run, 8) ? 200 : 500,
                           .is_route_streaming = draw(run, 4) > 0,
                           .type = types[draw(run, G_N_ELEMENTS(types))],
                           .framing =
                               framings[draw(run, G_N_ELEMENTS(framings))],
                           .ending = (enum ending)draw(run, FW_ENDINGS)};
    draw_body(run, r);
    r->cut = r->ending == FW_SENT_WHOLE ? r->body->len
                                        : (size_t)draw(run, (int)r->body->len);
    if (r->ending == FW_ENDED && r->framing == FW_HTTP_UNTIL_CLOSE) {
        r->ending = FW_CLOSED;
    }
}

static void
response_clear(struct response *r)
{
    g_string_free(r->body, TRUE);
    g_byte_array_unref(r->places);
    g_byte_array_unref(r->n_events);
}

static void
append_chunks(struct fw_run *run, const char *data, size_t len, GString *out)
{
    while (len) {
        size_t n = draw_segment(run, len);

        g_string_append_printf(out, "%zx\r\n", n);
        g_string_append_len(out, data, (gssize)n);
        g_string_append(out, "\r\n");
        data += n;
        len -= n;
    }
}

/* What the server sends until its connection ends. */
static GString *
wire_bytes(struct fw_run *run, const struct response *r)
{
    int marks_end = r->ending == FW_SENT_WHOLE || r->ending == FW_ENDED;
    GString *out = g_string_new(NULL);

    g_string_printf(out, "HTTP/1.1 %d X\r\n", r->status);
    if (r->type) {
        g_string_append_printf(out, "Content-Type: %s\r\n", r->type);
    }
    if (r->framing == FW_HTTP_CONTENT_LENGTH) {
        g_string_append_printf(out, "Content-Length: %zu\r\n",
                               marks_end ? r->cut : r->body->len);
    }
    if (r->framing != FW_HTTP_CHUNKED) {
        g_string_append(out, "\r\n");
        g_string_append_len(out, r->body->str, (gssize)r->cut);
        return out;
    }
    g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
    append_chunks(run, r->body->str, r->cut, out);
    if (marks_end) {
        g_string_append(out, "0\r\n\r\n");
    }
    return out;
}

static void
begin_body(const struct response *r, const struct fw_http_head *h,
           struct fw_response_body *body)
{
    const struct fw_http_field *type = Fw_Http_FindField(h, "Content-Type");
    struct fw_response_form form = {
        .status = h->status,
        .ends_at_close = h->framing == FW_HTTP_UNTIL_CLOSE,
        .is_route_streaming = r->is_route_streaming,
        .type = type ? type->value : NULL,
        .type_len = type ? type->value_len : 0};

    Fw_ResponseBody_Begin(body, &form);
}

/* Decodes @bytes, which arrive in segments. */
static void
decode_body(struct fw_run *run, struct fw_http_body_decoder *decoder,
            const char *data, size_t len, struct fw_response_body *body,
            GString *out)
{
    while (len && !decoder->done) {
        size_t segment = draw_segment(run, len);
        const char *part;
        size_t part_len;
        int n = Fw_Http_BodyRead(decoder, data, segment, &part, &part_len);

        if (n < 0) {
            Fw_Run_Fail(run, "the framing of a response is malformed");
            return;
        }
        Fw_ResponseBody_Add(body, part, part_len);
        g_string_append_len(out, part, (gssize)part_len);
        data += n;
        len -= (size_t)n;
    }
}

static void
receive(struct fw_run *run, const struct response *r, struct received *out)
{
    GString *bytes = wire_bytes(run, r);
    struct fw_http_body_decoder decoder;
    struct fw_response_body body = {0};
    struct fw_http_head h;
    int n = Fw_Http_ParseHead(FW_HTTP_RESPONSE, bytes->str, bytes->len, &h);

    *out = (struct received){.body = g_string_new(NULL)};
    if (n <= 0) {
        Fw_Run_Fail(run, "the head of a response is malformed");
        g_string_free(bytes, TRUE);
        return;
    }
    Fw_Http_BodyInit(&decoder, &h);
    begin_body(r, &h, &body);
    decode_body(run, &decoder, bytes->str + n, bytes->len - (size_t)n, &body,
                out->body);
    out->is_whole = (decoder.done || (r->ending != FW_RESET &&
                                      Fw_Http_BodyEndsAtClose(&decoder))) &&
                    Fw_ResponseBody_End(&body) == FW_RESPONSE_WHOLE;
    Fw_Http_ClearHead(&h);
    g_string_free(bytes, TRUE);
}

static int
is_stream(const struct response *r)
{
    if (r->type && r->type[0]) {
        return g_ascii_strncasecmp(r->type, "text/event", 10) == 0;
    }
    return r->is_route_streaming && r->status == 200;
}

static int
should_be_whole(const struct response *r)
{
    enum place place = (enum place)r->places->data[r->cut];
    int has_mark = r->framing != FW_HTTP_UNTIL_CLOSE;

    if (r->ending == FW_SENT_WHOLE) {
        return 1;
    }
    if (r->ending == FW_RESET || (r->ending == FW_CLOSED && has_mark)) {
        return 0;
    }
    if (!is_stream(r)) {
        return 1;
    }
    return place != FW_IN_EVENT &&
           (has_mark || r->status != 200 ||
            (place == FW_OUTSIDE && r->n_events->data[r->cut]));
}

static void
check(struct fw_run *run, const struct response *r, const char *where,
      const struct received *got)
{
    int expected = should_be_whole(r);

    if (got->is_whole != expected) {
        Fw_Run_Fail(run,
                    "%s takes a %s response for %s: status %d, type %s, "
                    "framing %d, ending %d, %zu of %zu bytes, place %d",
                    where, expected ? "whole" : "broken",
                    got->is_whole ? "whole" : "broken", r->status,
                    r->type ? r->type : "none", (int)r->framing,
                    (int)r->ending, r->cut, r->body->len,
                    (int)r->places->data[r->cut]);
    }
    if (strncmp(r->body->str, got->body->str, got->body->len) != 0 ||
        (expected && got->body->len != r->cut)) {
        Fw_Run_Fail(run, "%s gets other bytes than the server sent", where);
    }
}

/*
 * The response as the first instance passes it on: in chunks, with its end or
 * a reset; or cut when that instance is killed.
 */
static void
hand_back(struct fw_run *run, const struct response *r,
          const struct received *first)
{
    int is_killed = draw(run, 8) == 0;
    struct received second;
    struct response passed = *r;

    passed.framing = FW_HTTP_CHUNKED;
    passed.cut = first->body->len;
    passed.ending = is_killed         ? FW_CLOSED
                    : first->is_whole ? FW_ENDED
                                      : FW_RESET;
    receive(run, &passed, &second);
    check(run, &passed, "the instance that handed it over", &second);
    if (second.is_whole != (first->is_whole && !is_killed)) {
        Fw_Run_Fail(run, "two instances differ about a response");
    }
    g_string_free(second.body, TRUE);
}

void
Fw_Explore_ResponseEnds(struct fw_run *run)
{
    for (int i = 0; i < run->steps && !run->failure[0]; i++) {
        struct response r;
        struct received got;

        draw_response(run, &r);
        receive(run, &r, &got);
        check(run, &r, "the instance", &got);
        if (!run->failure[0]) {
            hand_back(run, &r, &got);
        }
        g_string_free(got.body, TRUE);
        response_clear(&r);
    }
}
