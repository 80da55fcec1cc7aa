/*
 * What membership and roles cost one instance in a region of N instances:
 * messages, bytes and time, and how they grow. N fleets are stepped in one
 * process with nothing lost, after all know each other.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/msg.h"
#include "fleet/fleet.h"

#define FW_HOP_US 500
#define FW_WARM_US (30 * FW_SEC)
#define FW_RUN_S 60.0
#define FW_RUN_US ((int64_t)FW_RUN_S * FW_SEC)
#define FW_N_MAX 106

struct mail {
    struct fw_list link;
    int64_t at_us;
    int from;
    int to;
    size_t size;
    struct fw_msg msg;
};

struct bench {
    int n;
    struct fw_fleet *fleets[FW_N_MAX];
    struct fw_metrics metrics[FW_N_MAX];
    struct fw_self selves[FW_N_MAX];
    int64_t wake_us[FW_N_MAX];
    int64_t now_us;
    struct fw_list mail;
    uint64_t messages; /* to and from instance 0 */
    uint64_t bytes;
    double spent_s; /* in instance 0 */
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
index_of(const char *name)
{
    return (int)g_ascii_strtoll(name + strlen("instance-"), NULL, 10);
}

static void
take(struct bench *b, int from, struct fw_actions *out)
{
    struct fw_action *a;

    b->wake_us[from] = MIN(b->wake_us[from], out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            struct mail *m = g_new0(struct mail, 1);
            m->at_us = b->now_us + FW_HOP_US;
            m->from = from;
            m->to = index_of(a->u.send.to);
            m->msg = a->u.send.msg;
            m->size = packed_size(&m->msg);
            memset(&a->u.send.msg, 0, sizeof(a->u.send.msg));
            Fw_List_Append(&b->mail, &m->link);
            if (from == 0 || m->to == 0) {
                b->messages++;
                b->bytes += m->size;
            }
        }
        Fw_Action_Free(a);
    }
}

static void
deliver(struct bench *b, struct mail *m)
{
    struct fw_actions out;
    double t0 = now_s();

    Fw_List_Remove(&m->link);
    Fw_Actions_Init(&out);
    Fw_Fleet_OnMsg(b->fleets[m->to], b->selves[m->from].name, &m->msg.u.fleet,
                   b->now_us, &out);
    if (m->to == 0) {
        b->spent_s += now_s() - t0;
        b->steps++;
    }
    take(b, m->to, &out);
    Fw_Msg_Clear(&m->msg);
    g_free(m);
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
        b->spent_s += now_s() - t0;
        b->steps++;
    }
    take(b, i, &out);
}

static void
run(struct bench *b, int64_t us)
{
    int64_t until = b->now_us + us;

    for (;;) {
        struct mail *m = Fw_List_Empty(&b->mail)
                             ? NULL
                             : FW_LIST_ENTRY(b->mail.next, struct mail, link);
        int64_t at = m ? m->at_us : INT64_MAX;
        int who = -1;

        for (int i = 0; i < b->n; i++) {
            if (b->wake_us[i] < at) {
                at = b->wake_us[i];
                who = i;
            }
        }
        if (at > until || (who < 0 && !m)) {
            break;
        }
        b->now_us = MAX(b->now_us, at);
        if (who >= 0) {
            tick(b, who);
        }
        else {
            deliver(b, m);
        }
    }
    b->now_us = until;
}

static void
list_all(struct bench *b)
{
    static struct fw_registry_entry entries[FW_N_MAX];
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
        take(b, i, &out);
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
    Fw_List_Init(&b.mail);
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
    list_all(&b);
    run(&b, FW_WARM_US);
    heap = (mallinfo2().uordblks - before.uordblks) / (size_t)n;
    b.messages = 0;
    b.bytes = 0;
    b.spent_s = 0;
    b.steps = 0;
    run(&b, FW_RUN_US);
    printf("fleet_n%d_messages_per_s %.2f\n", n,
           (double)b.messages / FW_RUN_S);
    printf("fleet_n%d_bytes_per_s %.1f\n", n, (double)b.bytes / FW_RUN_S);
    printf("fleet_n%d_core_us_per_s %.1f\n", n, b.spent_s * 1e6 / FW_RUN_S);
    printf("fleet_n%d_state_bytes %zu\n", n, heap);
    for (int i = 0; i < n; i++) {
        Fw_Fleet_Free(b.fleets[i]);
    }
    while (!Fw_List_Empty(&b.mail)) {
        struct mail *m = FW_LIST_ENTRY(b.mail.next, struct mail, link);
        Fw_List_Remove(&m->link);
        Fw_Msg_Clear(&m->msg);
        g_free(m);
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
