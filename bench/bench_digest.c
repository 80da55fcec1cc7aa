/*
 * Measures the CPU time to write a digest of every team and to read it on
 * another instance, with the number of teams in docs/CAPACITY.md.
 */
#include <stdio.h>
#include <time.h>

#include "relay/relay_internal.h"

#define FW_TEAMS 12000
#define FW_ROUNDS 20

static double
now_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *rules = Fw_Rules_New();

    rules->version = 1;
    for (int i = 0; i < FW_TEAMS; i++) {
        struct fw_rl_team_rule *t = Fw_Rules_AddTeam(rules);

        g_autofree char *name = g_strdup_printf("team-%d", i);

        t->name = Fw_Rules_String(rules, name);
        t->rate = 1000;
        t->burst = 10000;
        t->priority = -1;
    }
    Fw_Rules_Index(rules);
    return rules;
}

static struct fw_relay *
make_relay(const char *name, struct fw_rl_rules *rules)
{
    struct fw_relay_opts opts = {.boot = 1, .seed = 1, .retry_window_us = 1};
    struct fw_relay *r;
    struct fw_rl_actions acts;

    g_strlcpy(opts.name, name, sizeof(opts.name));
    r = Fw_Relay_New(&opts, FW_SEC);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_SetRules(r, rules, 1, FW_SEC, &acts);
    Fw_RelayActions_Clear(&acts);
    return r;
}

int
main(void)
{
    struct fw_rl_rules *rules = make_rules();
    struct fw_relay *from = make_relay("a", rules);
    struct fw_relay *to = make_relay("b", rules);
    double write_s = 0;
    double read_s = 0;
    guint bytes = 0;
    struct fw_rl_outbox outbox;

    Fw_Outbox_Init(&outbox);
    for (int i = 0; i < FW_ROUNDS; i++) {
        int64_t now_us = FW_SEC + i * 150 * FW_MSEC;
        GByteArray *msg = g_byte_array_new();
        double t0 = now_s();
        double t1;

        Fw_Digest_Write(from, now_us, msg);
        t1 = now_s();
        g_assert(Fw_Relay_ReadMessage(to, "127.0.0.1:1", msg->data, msg->len,
                                      now_us, &outbox) >= 0);
        Fw_Outbox_Clear(&outbox);
        read_s += now_s() - t1;
        write_s += t1 - t0;
        bytes = msg->len;
        g_byte_array_unref(msg);
    }
    printf("%d teams, %u bytes: written in %.2f ms, read in %.2f ms\n",
           FW_TEAMS, bytes, write_s * 1e3 / FW_ROUNDS,
           read_s * 1e3 / FW_ROUNDS);
    g_ptr_array_unref(outbox.all);
    Fw_Relay_Free(from);
    Fw_Relay_Free(to);
    Fw_Rules_Unref(rules);
    return 0;
}
