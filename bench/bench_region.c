/*
 * Measures membership and budgets in a region of the size in
 * docs/CAPACITY.md, on a simulated network and log: messages, CPU time and
 * heap per instance, idle and under load.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "explore/p_fleet_env.h"

#define INSTANCES 53
#define TEAMS 12000
#define DURATION_S 60
#define REQUESTS_PER_S 17 /* per instance */
#define PICKS 1000000

static void
count_grants(struct fw_fleet_env *w, void *arg)
{
    int *granted = arg;
    struct fw_limit_answer ans;

    for (int i = 0; i < w->n; i++) {
        while (w->instances[i].up &&
               Fw_Limit_TakeAnswer(w->instances[i].limit, &ans)) {
            *granted += ans.granted;
        }
    }
}

static double
cpu_s(void)
{
    return (double)clock() / CLOCKS_PER_SEC;
}

static void
print_traffic(const char *what, struct fw_fleet_env *w, double cpu)
{
    const double n = (double)INSTANCES * DURATION_S;

    printf("%-8s fleet %6.1f B/s %4.1f msgs/s  budgets %6.1f B/s %4.1f msgs/s "
           " cpu %.3f %% of a core, fakes included\n",
           what, (double)w->area_bytes[FW_AREA_FLEET] / n,
           (double)w->area_msgs[FW_AREA_FLEET] / n,
           (double)w->area_bytes[FW_AREA_LIMIT] / n,
           (double)w->area_msgs[FW_AREA_LIMIT] / n, cpu * 100 / n);
    memset(w->area_bytes, 0, sizeof(w->area_bytes));
    memset(w->area_msgs, 0, sizeof(w->area_msgs));
}

static void
request_from_all(struct fw_fleet_env *w, struct fw_team *teams,
                 uint64_t *ticket)
{
    for (int i = 0; i < INSTANCES; i++) {
        struct fw_actions out;
        Fw_Actions_Init(&out);
        Fw_Limit_Request(w->instances[i].limit,
                         &teams[Fw_FleetEnv_RandBelow(w, TEAMS)], ++*ticket,
                         100 + Fw_FleetEnv_RandBelow(w, 1000),
                         Fw_FleetEnv_LocalTime(w, i), &out);
        Fw_FleetEnv_PerformActions(w, i, &out);
    }
}

static void
bench_pick(struct fw_fleet_env *w)
{
    double begin = cpu_s();
    uint64_t sum = 0;

    for (uint64_t i = 0; i < PICKS; i++) {
        sum += Fw_Fleet_Pick(w->instances[0].fleet, i, 0)->boot;
    }
    printf("Fw_Fleet_Pick among %d: %.0f ns (%d)\n", INSTANCES,
           (cpu_s() - begin) * 1e9 / PICKS, (int)(sum % 2));
}

static void
run(struct fw_fleet_env *w, struct fw_team *teams, int *granted)
{
    uint64_t ticket = 0;
    double begin;
    size_t before = mallinfo2().uordblks;

    for (int i = 0; i < INSTANCES; i++) {
        Fw_FleetEnv_Start(w, i);
        g_string_set_size(w->run->trace, 0);
    }
    Fw_FleetEnv_Advance(w, 30 * FW_SEC);
    printf("start    fleet %.0f B in 30 s, each\n",
           (double)w->area_bytes[FW_AREA_FLEET] / INSTANCES);
    g_string_set_size(w->run->trace, 0);
    memset(w->area_bytes, 0, sizeof(w->area_bytes));
    memset(w->area_msgs, 0, sizeof(w->area_msgs));
    begin = cpu_s();
    Fw_FleetEnv_Advance(w, DURATION_S * FW_SEC);
    print_traffic("idle", w, cpu_s() - begin);
    begin = cpu_s();
    for (int i = 0; i < DURATION_S * REQUESTS_PER_S; i++) {
        request_from_all(w, teams, &ticket);
        Fw_FleetEnv_Advance(w, FW_SEC / REQUESTS_PER_S);
    }
    print_traffic("loaded", w, cpu_s() - begin);
    printf("granted %d of %d; heap of one instance %.0f KB\n", *granted,
           (int)ticket,
           (double)(mallinfo2().uordblks - before) / INSTANCES / 1024);
    bench_pick(w);
}

int
main(void)
{
    struct fw_run r = {.rand = g_rand_new_with_seed(1),
                       .trace = g_string_new(NULL)};
    struct fw_fleet_env *w = g_new0(struct fw_fleet_env, 1);
    struct fw_config cfg = {.next_offset = 2};
    struct fw_team *teams = g_new0(struct fw_team, TEAMS);
    int granted = 0;

    Fw_FleetEnv_Init(w, &r, INSTANCES);
    cfg.teams = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 0; i < TEAMS; i++) {
        teams[i] =
            (struct fw_team){.version = 1, .rate = 1000, .burst = 20000};
        g_snprintf(teams[i].name, sizeof(teams[i].name), "team-%05d", i);
        g_hash_table_insert(cfg.teams, teams[i].name, &teams[i]);
    }
    w->use_roles = 1;
    w->partitions = INSTANCES;
    w->role_wait_us[FW_ROLE_BUDGET] = 900 * FW_SEC;
    w->cfg = &cfg;
    w->check = count_grants;
    w->arg = &granted;
    run(w, teams, &granted);
    Fw_FleetEnv_Clear(w);
    g_hash_table_unref(cfg.teams);
    g_free(teams);
    g_free(w);
    g_string_free(r.trace, TRUE);
    g_rand_free(r.rand);
    return 0;
}
