/*
 * Laboratory of the second review: starts instances as separate processes
 * before a stand-in of the platform's store, plain servers and callers.
 *
 * The store is the project's own stand-in. Servers and callers are small new
 * ones; callers share no code with the daemon.
 */
#ifndef FW_REVIEW_LAB_H
#define FW_REVIEW_LAB_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "http/server.h"
#include "review/lab/store.h"
#include "stand/wire/wire.h"

/* Exit statuses of a case. */
#define LAB_HELD 0
#define LAB_BROKEN 1
#define LAB_NOT_RUN 2

#define LAB_INSTANCES_MAX 16
#define LAB_HOST "ficu95.example"
#define LAB_KEY "3d3zji9n73hh2b9wu3fe"
#define LAB_SERVICE "wuno96b"

/** struct lab_instance - one instance of the system, a process. */
struct lab_instance {
    char name[32];
    char zone[16];
    int callers_port;
    int ready_port;
    int metrics_port;
    int peers_port;
    char *settings;
    GPid pid;
};

/**
 * struct lab - a small deployment.
 * @trouble: the disruption is brought about
 * @store: the project's stand-in, unless @own_store is used in its place
 */
struct lab {
    char *dir;
    FILE *record;
    GMutex record_lock;
    int64_t start_us;
    int trouble;
    GMainLoop *loop;
    struct fw_wire_store *store;
    struct lab_store *own_store;
    struct lab_instance instances[LAB_INSTANCES_MAX];
    int n_instances;
    int status;
};

extern struct lab lab;

/* Milliseconds since the start. */
int64_t
Lab_NowMs(void);
/* Writes a line to record.txt, with the time. */
void
Lab_Note(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
/* Sets up @lab: the record in @dir, the store. */
void
Lab_Init(const char *dir);
/* Uses the laboratory's own store from now on; to be called first. */
void
Lab_UseOwnStore(void);
/* Writes a record; a @value of NULL deletes the key. */
void
Lab_Put(const char *topic, const char *key, const char *value);
/* A TCP port that was free just now. */
int
Lab_FreePort(void);
/* Starts the @n instances, with the command of the deploy file. */
void
Lab_StartInstances(int n, const char *const *zones);
void
Lab_Spawn(struct lab_instance *i);
void
Lab_Signal(struct lab_instance *i, int signal);
/* Whether the instance answers 200 on its ready address. */
int
Lab_IsReady(const struct lab_instance *i);
/* Runs the main loop until @done is set or @ms have passed. */
void
Lab_RunUntil(const volatile int *done, int ms);
/* Ends all processes and removes the temporary folder. Return: the status. */
int
Lab_Finish(int status);

/**
 * struct lab_server_opts - a plain server.
 * @head_ms: time until it sends the head of its response
 * @pieces, @piece_bytes, @gap_ms: the body, @pieces parts each after @gap_ms
 * @is_stream: the body is a stream of events
 */
struct lab_server_opts {
    char id[48];
    const char *service;
    const char *zone;
    int slots;
    int head_ms;
    int pieces;
    int piece_bytes;
    int gap_ms;
    int is_stream;
};

struct lab_server;

/* Called on the main loop when a request begins to run. */
typedef void
lab_run_fn(struct lab_server *s, const char *id);

struct lab_server *
Lab_Server_New(const struct lab_server_opts *opts, lab_run_fn *on_run);
/* Writes its entry to the store, and again with each heartbeat. */
void
Lab_Server_Register(struct lab_server *s);
/* Removes its entry; it goes on serving. */
void
Lab_Server_Unregister(struct lab_server *s);
/* Ends at once: resets its connections, and leaves its entry to expire. */
void
Lab_Server_Crash(struct lab_server *s);
/* Closes its sockets; its entry must have been removed. */
void
Lab_Server_Stop(struct lab_server *s);
/* Requests that it is running. */
int
Lab_Server_CountRuns(const struct lab_server *s);
const struct lab_server_opts *
Lab_Server_Opts(const struct lab_server *s);
/* When its entry was removed, milliseconds; 0 while it is listed. */
int64_t
Lab_Server_RemovedMs(const struct lab_server *s);

/** enum lab_end - how a request of a caller ended. */
enum lab_end {
    LAB_WHOLE,     /* a whole response */
    LAB_CUT,       /* the connection ended after a part of the response */
    LAB_NO_ANSWER, /* the connection ended without any of the response */
    LAB_TIMEOUT,
    LAB_REFUSED, /* no connection */
};

/**
 * struct lab_answer - what a caller saw.
 * @is_kept: the request went out on a connection used before
 * @bytes: of the body
 */
struct lab_answer {
    enum lab_end end;
    int status;
    size_t bytes;
    int64_t sent_ms;
    int64_t took_ms;
    int is_kept;
    int has_stamp;
    char id[32];
};

/** struct lab_caller - one connection of a caller, kept between requests. */
struct lab_caller {
    int port;
    int fd;
    int used;
};

/* Writes a new request id to @id. */
void
Lab_NewId(char id[32]);
/* Sends a request and reads its response; blocks, for a thread of its own. */
void
Lab_Caller_Ask(struct lab_caller *c, const char *id, const char *method,
               const char *path, int time_limit_ms, const char *more_fields,
               struct lab_answer *out);
void
Lab_Caller_Close(struct lab_caller *c);
const char *
Lab_EndName(enum lab_end end);

#endif
