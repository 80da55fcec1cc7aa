/* Blocking HTTP/1.1 over TCP for the stand-ins of the review. */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stddef.h>
#include <stdint.h>

#define HTTP_HEAD_MAX 65536

/**
 * struct http_conn - a connection with its unread input.
 * @deadline_ms: reads fail after this time of now_ms(), 0 for no limit
 */
struct http_conn {
    int fd;
    char *in;
    size_t len;
    size_t size;
    int64_t deadline_ms;
};

/** struct http_msg - a message; @head is the head as text, NUL-terminated. */
struct http_msg {
    char *head;
    char *body;
    size_t body_len;
    int status;
    int whole;
};

int64_t
now_ms(void);
void
sleep_ms(int64_t ms);
void
sleep_us(int64_t us);
/* Return: a listening socket on a free loopback port, stored in @port. */
int
listen_any(int *port);
/* Return: a free loopback port. */
int
free_port(void);
/* Return: a connected socket, or -1. */
int
connect_to(int port, int timeout_ms);
void
http_open(struct http_conn *c, int fd);
void
http_close(struct http_conn *c);
/* Closes with a reset. */
void
http_reset(struct http_conn *c);
/* Return: 0, or -1 if the connection ended before a whole request. */
int
http_read_request(struct http_conn *c, struct http_msg *m);
/*
 * Reads one response. Return: 0 if a head was read (see @m->whole for the
 * body), or -1 if the connection ended before.
 */
int
http_read_response(struct http_conn *c, struct http_msg *m);
void
http_msg_free(struct http_msg *m);
/* Copies a field's value to @out. Return: 1 if the field is there. */
int
http_field(const struct http_msg *m, const char *name, char *out, size_t size);
/* Copies the value of a query parameter. Return: 1 if it is there. */
int
http_query(const struct http_msg *m, const char *name, char *out, size_t size);
int
http_is(const struct http_msg *m, const char *method, const char *path);
/* Return: 0 if all was sent. */
int
send_all(int fd, const void *data, size_t len);
int
http_answer(struct http_conn *c, int status, const char *fields,
            const void *body, size_t len);

#endif
