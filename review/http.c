#define _GNU_SOURCE
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FIRST_PORT 12000
#define PORTS 18000

int64_t
now_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_us(int64_t us)
{
    struct timespec t = {.tv_sec = us / 1000000,
                         .tv_nsec = us % 1000000 * 1000};

    if (us > 0) {
        nanosleep(&t, NULL);
    }
}

void
sleep_ms(int64_t ms)
{
    sleep_us(ms * 1000);
}

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

int
listen_any(int *port)
{
    struct sockaddr_in a = loopback(0);
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
        listen(fd, 512) || getsockname(fd, (struct sockaddr *)&a, &len)) {
        perror("listen");
        exit(2);
    }
    *port = ntohs(a.sin_port);
    return fd;
}

/* Return: whether a socket of this type can be bound to the port. */
static int
can_bind(int type, int port)
{
    struct sockaddr_in a = loopback(port);
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int ok = fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;

    close(fd);
    return ok;
}

/*
 * Below the range that the kernel takes the ports of outgoing connections
 * from: one of these could take the port before its process is started.
 */
int
free_port(void)
{
    static int next;

    if (!next) {
        next = FIRST_PORT + (int)getpid() * 61 % PORTS;
    }
    for (int i = 0; i < PORTS; i++) {
        int port = next;

        next = next + 1 < FIRST_PORT + PORTS ? next + 1 : FIRST_PORT;
        if (can_bind(SOCK_STREAM, port) && can_bind(SOCK_DGRAM, port)) {
            return port;
        }
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

int
connect_to(int port, int timeout_ms)
{
    struct sockaddr_in a = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct pollfd p = {.fd = fd, .events = POLLOUT};
    int err = 0;
    socklen_t len = sizeof(err);
    int one = 1;

    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
        (errno != EINPROGRESS || poll(&p, 1, timeout_ms) != 1 ||
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

void
http_open(struct http_conn *c, int fd)
{
    int one = 1;

    *c = (struct http_conn){.fd = fd};
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

void
http_close(struct http_conn *c)
{
    close(c->fd);
    free(c->in);
    *c = (struct http_conn){.fd = -1};
}

void
http_reset(struct http_conn *c)
{
    struct linger l = {.l_onoff = 1, .l_linger = 0};

    setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    http_close(c);
}

/* Return: bytes added to the input, 0 at the end, or -1. */
static ssize_t
fill(struct http_conn *c)
{
    struct pollfd p = {.fd = c->fd, .events = POLLIN};
    int wait = -1;
    ssize_t n;

    if (c->deadline_ms) {
        wait = (int)(c->deadline_ms - now_ms());
        if (wait <= 0 || poll(&p, 1, wait) != 1) {
            return -1;
        }
    }
    if (c->size - c->len < 16384) {
        c->size = c->size * 2 + 32768;
        c->in = realloc(c->in, c->size);
    }
    do {
        n = recv(c->fd, c->in + c->len, c->size - c->len, 0);
    } while (n < 0 && errno == EINTR);
    if (n > 0) {
        c->len += (size_t)n;
    }
    return n;
}

static void
consume(struct http_conn *c, size_t n)
{
    memmove(c->in, c->in + n, c->len - n);
    c->len -= n;
}

static int
read_head(struct http_conn *c, struct http_msg *m)
{
    char *end;

    *m = (struct http_msg){0};
    while (!c->len || !(end = memmem(c->in, c->len, "\r\n\r\n", 4))) {
        if (c->len > HTTP_HEAD_MAX || fill(c) <= 0) {
            return -1;
        }
    }
    m->head = strndup(c->in, (size_t)(end - c->in) + 2);
    consume(c, (size_t)(end - c->in) + 4);
    return 0;
}

static int
take(struct http_conn *c, struct http_msg *m, size_t n)
{
    while (c->len < n) {
        if (fill(c) <= 0) {
            n = c->len;
            break;
        }
    }
    m->body = realloc(m->body, m->body_len + n + 1);
    memcpy(m->body + m->body_len, c->in, n);
    m->body_len += n;
    m->body[m->body_len] = 0;
    consume(c, n);
    return 0;
}

/* Return: length of the line, its CRLF included, or 0. */
static size_t
wait_line(struct http_conn *c)
{
    char *nl;

    while (!c->len || !(nl = memchr(c->in, '\n', c->len))) {
        if (fill(c) <= 0) {
            return 0;
        }
    }
    return (size_t)(nl - c->in) + 1;
}

static int
read_chunks(struct http_conn *c, struct http_msg *m)
{
    for (;;) {
        size_t line = wait_line(c);
        size_t n;
        size_t had = m->body_len;

        if (!line) {
            return 0;
        }
        n = strtoul(c->in, NULL, 16);
        consume(c, line);
        if (!n) {
            line = wait_line(c);
            if (line) {
                consume(c, line);
            }
            return line != 0;
        }
        take(c, m, n);
        if (m->body_len - had < n || !(line = wait_line(c))) {
            return 0;
        }
        consume(c, line);
    }
}

static void
read_body(struct http_conn *c, struct http_msg *m, int is_response)
{
    char text[64];

    m->body = calloc(1, 1);
    if (http_field(m, "Transfer-Encoding", text, sizeof(text))) {
        m->whole = read_chunks(c, m);
    }
    else if (http_field(m, "Content-Length", text, sizeof(text))) {
        size_t n = strtoul(text, NULL, 10);

        take(c, m, n);
        m->whole = m->body_len == n;
    }
    else if (is_response && m->status != 204 && m->status != 304) {
        ssize_t n;

        while ((n = fill(c)) > 0) {
        }
        m->whole = n == 0;
        take(c, m, c->len);
    }
    else {
        m->whole = 1;
    }
}

int
http_read_request(struct http_conn *c, struct http_msg *m)
{
    if (read_head(c, m)) {
        return -1;
    }
    read_body(c, m, 0);
    return 0;
}

int
http_read_response(struct http_conn *c, struct http_msg *m)
{
    do {
        if (read_head(c, m)) {
            return -1;
        }
        m->status = atoi(m->head + 9);
        if (m->status / 100 == 1) {
            free(m->head);
        }
    } while (m->status / 100 == 1);
    read_body(c, m, 1);
    return 0;
}

void
http_msg_free(struct http_msg *m)
{
    free(m->head);
    free(m->body);
    *m = (struct http_msg){0};
}

int
http_field(const struct http_msg *m, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    const char *p = m->head;

    out[0] = 0;
    while ((p = strstr(p, "\r\n")) && p[2]) {
        p += 2;
        if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
            const char *v = p + n + 1 + strspn(p + n + 1, " \t");

            snprintf(out, size, "%.*s", (int)strcspn(v, "\r\n"), v);
            return 1;
        }
    }
    return 0;
}

int
http_query(const struct http_msg *m, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    size_t line = strcspn(m->head, "\r");
    const char *p = memchr(m->head, '?', line);

    out[0] = 0;
    while (p && p < m->head + line && *p != ' ') {
        p++;
        if (strncmp(p, name, n) == 0 && p[n] == '=') {
            snprintf(out, size, "%.*s", (int)strcspn(p + n + 1, "& \r"),
                     p + n + 1);
            return 1;
        }
        p += strcspn(p, "& \r");
    }
    return 0;
}

int
http_is(const struct http_msg *m, const char *method, const char *path)
{
    size_t n = strlen(method);

    return strncmp(m->head, method, n) == 0 && m->head[n] == ' ' &&
           strncmp(m->head + n + 1, path, strlen(path)) == 0;
}

int
send_all(int fd, const void *data, size_t len)
{
    const char *p = data;

    while (len) {
        ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return -1;
        }
        p += n;
        len -= (size_t)n;
    }
    return 0;
}

int
http_answer(struct http_conn *c, int status, const char *fields,
            const void *body, size_t len)
{
    char *out;
    int n = asprintf(&out,
                     "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                     status < 400 ? "OK" : "Rejected", fields, len);
    int rc;

    out = realloc(out, (size_t)n + len);
    memcpy(out + n, body, len);
    rc = send_all(c->fd, out, (size_t)n + len);
    free(out);
    return rc;
}
