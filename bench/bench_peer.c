/*
 * Measures the CPU time of a message between two instances over loopback, for
 * sender and receiver together. Messages are sent one at a time, because
 * sparse control traffic isn't batched either.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "io/peer.h"

#define FW_WARMUP_MESSAGES 200
#define FW_MESSAGES 20000
#define FW_SECRET "0123456789abcdef0123456789abcdef"

/**
 * struct endpoint - an instance.
 * @target: value of @received at which it quits the loop
 */
struct endpoint {
    struct fw_self self;
    struct fw_peers *peers;
    struct endpoint *other;
    int received;
    int target;
    GMainLoop *loop;
};

static double
now_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
send_one(struct endpoint *e)
{
    struct fw_peer_send send = {
        .msg = {.area = FW_AREA_REQUEST,
                .u.request = {.kind = FW_REQUEST_LOOKUP,
                              .u.lookup = {.ticket = 70000,
                                           .key = UINT64_MAX}}},
    };

    g_strlcpy(send.to, e->other->self.name, sizeof(send.to));
    g_strlcpy(send.addr, e->other->self.addr, sizeof(send.addr));
    Fw_Peers_Send(e->peers, &send);
}

static void
on_event(void *ctx, const struct fw_event *ev)
{
    struct endpoint *e = ctx;

    if (ev->kind != FW_EV_PEER) {
        return;
    }
    e->received++;
    if (e->received >= e->target) {
        g_main_loop_quit(e->loop);
        return;
    }
    send_one(e);
}

static int
start(struct endpoint *e, const char *name, GMainLoop *loop)
{
    struct fw_sink sink = {.ctx = e, .event = on_event};
    GBytes *secret = g_bytes_new_static(FW_SECRET, strlen(FW_SECRET));

    g_strlcpy(e->self.name, name, sizeof(e->self.name));
    e->self.boot = 1;
    e->loop = loop;
    e->peers = Fw_Peers_New(&sink, &e->self, secret);
    g_bytes_unref(secret);
    return Fw_Peers_Listen(e->peers, "127.0.0.1:0", e->self.addr);
}

static void
exchange(struct endpoint *a, int messages)
{
    a->target = a->received + messages / 2;
    a->other->target = G_MAXINT;
    send_one(a);
    g_main_loop_run(a->loop);
}

int
main(void)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    struct endpoint a = {0};
    struct endpoint b = {0};
    double t0;

    a.other = &b;
    b.other = &a;
    if (start(&a, "instance-0", loop) || start(&b, "instance-1", loop)) {
        fputs("bench_peer: can't listen\n", stderr);
        return 1;
    }
    exchange(&a, FW_WARMUP_MESSAGES);
    t0 = now_s();
    exchange(&a, FW_MESSAGES);
    printf("message_cpu_us %.1f (both ends together)\n",
           (now_s() - t0) * 1e6 / FW_MESSAGES);
    Fw_Peers_Free(a.peers);
    Fw_Peers_Free(b.peers);
    g_main_loop_unref(loop);
    return 0;
}
