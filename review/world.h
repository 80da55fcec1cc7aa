/* Servers, instances of the router and clients of one scripted run. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define INSTANCES_MAX 9

/**
 * struct server - a back end.
 * @stage: "prefill" or "decode", "" for a plain server
 * @work_ms: time a plain request takes
 * @control_ms: time that it takes to answer a call of the router's own
 * @late_answers: every so many calls of the router's own, an extra second
 *     answer to the channel's last run comes before the call's answer; 0 never
 * @second_answers: one of so many answers to clients' requests is sent a
 *     second time, late: before the answer to the channel's next request; 0
 *     never
 * @queue: requests that wait at a plain server beyond its slots
 */
struct server {
    char id[64];
    const char *service;
    const char *zone;
    char stage[16];
    int slots;
    int work_ms;
    int control_ms;
    int late_answers;
    int second_answers;
    int queue;
    int port;
    int orders;
    int64_t busy_until_ms;
    int running;
    int waiting;
    int calls;
    int held;
    int64_t born_ms;
    long sequence;
};

/** struct instance - a process of the router. */
struct instance {
    char name[48];
    const char *zone;
    char settings[256];
    char log[256];
    int callers;
    int ready;
    int metrics;
    int peers;
    pid_t pid;
};

/** struct answer - what a client has seen of one request. */
struct answer {
    char id[32];
    int status; /* 0: the connection ended before a head */
    int whole;
    char stamp[128];
    char echoed_id[64];
    char body[200];
    size_t body_len;
    int events;
    int64_t took_ms;
};

/* One line of the record, with the time since the start. */
void
record_open(const char *path);
void
record(const char *format, ...) __attribute__((format(printf, 1, 2)));

void
server_start(struct server *s);
/* How often the request with this id has run; see also record.txt. */
int
runs_of(const char *id);

/* Starts the store, and writes the settings of @n instances into @dir. */
void
instances_prepare(struct instance *all, int n, const char *dir, int store);
void
instance_start(struct instance *i);
void
instance_kill(struct instance *i, int sig);
/* Return: whether the instance says that it is ready. */
int
instance_is_ready(const struct instance *i);
int
wait_ready(struct instance *all, int n, int64_t timeout_ms);

/* @extra: more header fields, each with CRLF */
void
ask(const struct instance *i, const char *method, const char *host,
    const char *path, const char *key, const char *extra, const char *body,
    int time_limit_ms, struct answer *out);

#endif
