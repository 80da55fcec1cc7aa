/* Callers of the laboratory: blocking sockets, no code of the daemon. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/lab/lab.h"

const char *
Lab_EndName(enum lab_end end)
{
    static const char *const names[] = {[LAB_WHOLE] = "whole",
                                        [LAB_CUT] = "cut",
                                        [LAB_NO_ANSWER] = "no answer",
                                        [LAB_TIMEOUT] = "time limit",
                                        [LAB_REFUSED] = "no connection"};

    return names[end];
}

void
Lab_Caller_Close(struct lab_caller *c)
{
    if (c->fd > 0) {
        close(c->fd);
    }
    c->fd = 0;
    c->used = 0;
}

static int
open_connection(struct lab_caller *c)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)c->port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int on = 1;

    c->fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(c->fd, (struct sockaddr *)&at, sizeof(at))) {
        Lab_Caller_Close(c);
        return -1;
    }
    return 0;
}

/** struct reader - what was received and not yet used. */
struct reader {
    int fd;
    int64_t until_ms;
    char buf[16384];
    size_t len;
    size_t at;
    int timed_out;
};

/* Return: the next byte, or -1 at the end or the time limit. */
static int
next_byte(struct reader *r)
{
    if (r->at == r->len) {
        int64_t left = r->until_ms - Lab_NowMs();
        struct timeval limit = {.tv_sec = left / 1000,
                                .tv_usec = left % 1000 * 1000};
        ssize_t n;

        if (left <= 0) {
            r->timed_out = 1;
            return -1;
        }
        setsockopt(r->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        n = recv(r->fd, r->buf, sizeof(r->buf), 0);
        if (n <= 0) {
            r->timed_out = n < 0 && errno == EAGAIN;
            return -1;
        }
        r->len = (size_t)n;
        r->at = 0;
    }
    return (unsigned char)r->buf[r->at++];
}

/* Reads a line without its end. Return: zero if there is none. */
static int
read_line(struct reader *r, char *line, size_t size)
{
    size_t n = 0;
    int b;

    while ((b = next_byte(r)) >= 0 && b != '\n') {
        if (b != '\r' && n + 1 < size) {
            line[n++] = (char)b;
        }
    }
    line[n] = 0;
    return b == '\n';
}

/* Return: zero if the response ends before @n bytes. */
static int
read_bytes(struct reader *r, size_t n, size_t *got)
{
    for (; n; n--) {
        if (next_byte(r) < 0) {
            return 0;
        }
        ++*got;
    }
    return 1;
}

static int
read_chunks(struct reader *r, size_t *got)
{
    char line[128];
    size_t n;

    do {
        if (!read_line(r, line, sizeof(line))) {
            return 0;
        }
        n = strtoul(line, NULL, 16);
        if (!read_bytes(r, n, got) || !read_line(r, line, sizeof(line))) {
            return 0;
        }
    } while (n);
    return 1;
}

/** struct framing - of a response. */
struct framing {
    int is_chunked;
    int64_t length;
    int closes;
};

static int
read_head(struct reader *r, struct lab_answer *out, struct framing *f)
{
    char line[1024];

    *f = (struct framing){.length = -1};
    if (!read_line(r, line, sizeof(line)) ||
        sscanf(line, "HTTP/1.%*d %d", &out->status) != 1) {
        return 0;
    }
    while (read_line(r, line, sizeof(line))) {
        if (!line[0]) {
            return 1;
        }
        if (g_ascii_strncasecmp(line, "content-length:", 15) == 0) {
            f->length = g_ascii_strtoll(line + 15, NULL, 10);
        }
        else if (g_ascii_strncasecmp(line, "transfer-encoding: chunked", 26) ==
                 0) {
            f->is_chunked = 1;
        }
        else if (g_ascii_strncasecmp(line, "connection: close", 17) == 0) {
            f->closes = 1;
        }
        else if (g_ascii_strncasecmp(line, "server-stamp:", 13) == 0) {
            out->has_stamp = 1;
        }
    }
    return 0;
}

static enum lab_end
read_response(struct reader *r, struct lab_answer *out, int *closes)
{
    struct framing f;

    if (!read_head(r, out, &f)) {
        return out->status ? LAB_CUT : LAB_NO_ANSWER;
    }
    *closes = f.closes;
    if (f.is_chunked) {
        return read_chunks(r, &out->bytes) ? LAB_WHOLE : LAB_CUT;
    }
    return read_bytes(r, (size_t)MAX(f.length, 0), &out->bytes) ? LAB_WHOLE
                                                                : LAB_CUT;
}

void
Lab_NewId(char id[32])
{
    static gint last_id;

    g_snprintf(id, 32, "%08x%08x", (unsigned)g_atomic_int_add(&last_id, 1) + 1,
               (unsigned)getpid());
}

void
Lab_Caller_Ask(struct lab_caller *c, const char *id, const char *method,
               const char *path, int time_limit_ms, const char *more_fields,
               struct lab_answer *out)
{
    struct reader r = {0};
    int closes = 0;
    g_autofree char *head = NULL;

    *out = (struct lab_answer){0};
    g_strlcpy(out->id, id, sizeof(out->id));
    out->is_kept = c->used;
    out->sent_ms = Lab_NowMs();
    if (!c->fd && open_connection(c)) {
        out->end = LAB_REFUSED;
        return;
    }
    head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: " LAB_HOST
                           "\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
                           "Authorization: Bearer " LAB_KEY "\r\n%s\r\n",
                           method, path, out->id, time_limit_ms, more_fields);
    if (send(c->fd, head, strlen(head), MSG_NOSIGNAL) < 0) {
        out->end = LAB_NO_ANSWER;
    }
    else {
        r.fd = c->fd;
        r.until_ms = out->sent_ms + time_limit_ms;
        out->end = read_response(&r, out, &closes);
        if (r.timed_out) {
            out->end = LAB_TIMEOUT;
        }
    }
    out->took_ms = Lab_NowMs() - out->sent_ms;
    c->used = 1;
    if (out->end != LAB_WHOLE || closes) {
        Lab_Caller_Close(c);
    }
}
