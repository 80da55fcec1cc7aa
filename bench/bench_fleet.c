/*
 * Measures membership and roles in regions of different sizes: messages, CPU
 * time and heap of an instance after startup, without message loss.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/msg.h"
#include "fleet/fleet.h"

#define FW_LINK_LATENCY_US 500
#define FW_WARMUP_US (30 * FW_SEC)
#define FW_MEASURE_S 60.0
#define FW_MEASURE_US ((int64_t)FW_MEASURE_S * FW_SEC)
#define FW_INSTANCES_MAX 106

/** struct message - a message between instances @from and @to. */
struct message {
    struct fw_list link;
    int64_t arrival_us;
    int from;
    int to;
    size_t size;
    struct fw_msg msg;
};

/**
 * struct bench - a simulated region.
 * @messages: sent or received by instance 0, as are @bytes
 * @cpu_s: CPU time of instance 0
 * @steps: calls into instance 0
 */
struct bench {
    int n;
    struct fw_fleet *fleets[FW_INSTANCES_MAX];
    struct fw_metrics metrics[FW_INSTANCES_MAX];
    struct fw_self selves[FW_INSTANCES_MAX];
    int64_t wake_us[FW_INSTANCES_MAX];
    int64_t now_us;
    struct fw_list in_flight;
    uint64_t messages;
    uint64_t bytes;
    double cpu_s;
    uint64_t steps;
};

static double
now_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t
packed_size(const struct fw_msg *msg)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;
    size_t size;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, msg);
    size = buf.size;
    msgpack_sbuffer_destroy(&buf);
    return size;
}

static int
instance_index(const char *name)
{
    return (int)g_ascii_strtoll(name + strlen("instance-"), NULL, 10);
}

static void
perform_actions(struct bench *b, int from, struct fw_actions *out)
{
    struct fw_action *a;

    b->wake_us[from] = MIN(b->wake_us[from], out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            struct message *message = g_new0(struct message, 1);
            message->arrival_us = b->now_us + FW_LINK_LATENCY_US;
            message->from = from;
            message->to = instance_index(a->u.send.to);
            message->msg = a->u.send.msg;
            message->size = packed_size(&message->msg);
            memset(&a->u.send.msg, 0, sizeof(a->u.send.msg));
            Fw_List_Append(&b->in_flight, &message->link);
            if (from == 0 || message->to == 0) {
                b->messages++;
                b->bytes += message->size;
            }
        }
        Fw_Action_Free(a);
    }
}

static void
deliver(struct bench *b, struct message *message)
{
    struct fw_actions out;
    double t0 = now_s();

    Fw_List_Remove(&message->link);
    Fw_Actions_Init(&out);
    Fw_Fleet_OnMsg(b->fleets[message->to], b->selves[message->from].name,
                   &message->msg.u.fleet, b->now_us, &out);
    if (message->to == 0) {
        b->cpu_s += now_s() - t0;
        b->steps++;
    }
    perform_actions(b, message->to, &out);
    Fw_Msg_Clear(&message->msg);
    g_free(message);
}

static void
tick(struct bench *b, int i)
{
    struct fw_actions out;
    double t0 = now_s();

    b->wake_us[i] = INT64_MAX;
    Fw_Actions_Init(&out);
    Fw_Fleet_Tick(b->fleets[i], b->now_us, &out);
    if (i == 0) {
        b->cpu_s += now_s() - t0;
        b->steps++;
    }
    perform_actions(b, i, &out);
}

static void
run(struct bench *b, int64_t us)
{
    int64_t until = b->now_us + us;

    for (;;) {
        struct message *message =
            Fw_List_Empty(&b->in_flight)
                ? NULL
                : FW_LIST_ENTRY(b->in_flight.next, struct message, link);
        int64_t at = message ? message->arrival_us : INT64_MAX;
        int instance = -1;

        for (int i = 0; i < b->n; i++) {
            if (b->wake_us[i] < at) {
                at = b->wake_us[i];
                instance = i;
            }
        }
        if (at > until || (instance < 0 && !message)) {
            break;
        }
        b->now_us = MAX(b->now_us, at);
        if (instance >= 0) {
            tick(b, instance);
        }
        else {
            deliver(b, message);
        }
    }
    b->now_us = until;
}

static void
deliver_list(struct bench *b)
{
    static struct fw_registry_entry entries[FW_INSTANCES_MAX];
    struct fw_registry_snapshot listed = {.n = b->n, .entries = entries};

    memset(entries, 0, sizeof(entries));
    for (int i = 0; i < b->n; i++) {
        g_strlcpy(entries[i].name, b->selves[i].name, FW_NAME_MAX);
        g_strlcpy(entries[i].addr, b->selves[i].addr, FW_URL_MAX);
        g_strlcpy(entries[i].domain, "domain-01", FW_NAME_MAX);
        g_strlcpy(entries[i].region, "region-1", FW_NAME_MAX);
    }
    for (int i = 0; i < b->n; i++) {
        struct fw_actions out;
        Fw_Actions_Init(&out);
        Fw_Fleet_OnListed(b->fleets[i], &listed, b->now_us, &out);
        perform_actions(b, i, &out);
    }
}

static void
measure(int n)
{
    static struct bench b;
    struct mallinfo2 before = mallinfo2();
    size_t heap;

    memset(&b, 0, sizeof(b));
    b.n = n;
    b.now_us = FW_SEC;
    Fw_List_Init(&b.in_flight);
    for (int i = 0; i < n; i++) {
        struct fw_self *s = &b.selves[i];
        g_snprintf(s->name, FW_NAME_MAX, "instance-%d", i);
        g_snprintf(s->addr, FW_URL_MAX, "10.1.2.%d:7001", i);
        g_strlcpy(s->domain, "domain-01", FW_NAME_MAX);
        g_strlcpy(s->region, "region-1", FW_NAME_MAX);
        s->boot = 1796255655000 + (uint64_t)i;
        Fw_Metrics_Init(&b.metrics[i]);
        b.fleets[i] = Fw_Fleet_New(s, (uint32_t)i, &b.metrics[i]);
        b.wake_us[i] = b.now_us;
    }
    deliver_list(&b);
    run(&b, FW_WARMUP_US);
    heap = (mallinfo2().uordblks - before.uordblks) / (size_t)n;
    b.messages = 0;
    b.bytes = 0;
    b.cpu_s = 0;
    b.steps = 0;
    run(&b, FW_MEASURE_US);
    printf("fleet_n%d_messages_per_s %.2f\n", n,
           (double)b.messages / FW_MEASURE_S);
    printf("fleet_n%d_bytes_per_s %.1f\n", n, (double)b.bytes / FW_MEASURE_S);
    printf("fleet_n%d_core_us_per_s %.1f\n", n, b.cpu_s * 1e6 / FW_MEASURE_S);
    printf("fleet_n%d_state_bytes %zu\n", n, heap);
    for (int i = 0; i < n; i++) {
        Fw_Fleet_Free(b.fleets[i]);
    }
    while (!Fw_List_Empty(&b.in_flight)) {
        struct message *message =
            FW_LIST_ENTRY(b.in_flight.next, struct message, link);
        Fw_List_Remove(&message->link);
        Fw_Msg_Clear(&message->msg);
        g_free(message);
    }
}

int
main(void)
{
    static const int sizes[] = {3, 9, 27, 54, 106};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i]);
    }
    return 0;
}
