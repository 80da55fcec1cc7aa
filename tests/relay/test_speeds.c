/* Speeds of servers: what reaches other instances, and where requests go. */
#include <check.h>
#include <errno.h>
#include <math.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "explore/explore.h"
#include "explore/relay_fleet.h"
#include "tests/base/suite.h"

#define FW_STEP_US (20 * FW_MSEC)
#define FW_SPREAD_PPM 1500000
#define FW_PREFILL_ENGINES 16
#define FW_ENGINES 45
#define FW_PLAIN_SERVERS 3
#define FW_SERVERS (FW_ENGINES + FW_PLAIN_SERVERS)
#define FW_INSTANCES 86
#define FW_BYTES_MAX 1024

/**
 * struct fixture - a fleet and the true speeds of its servers.
 * @bytes: of messages about speeds, sent by all instances
 * @largest: size of the largest of these
 * @frozen: instance that neither sends nor receives, -1 for none
 */
struct fixture {
    struct fw_run run;
    struct fleet f;
    struct fw_rl_rules *rules;
    GRand *rand;
    double speed[FW_SERVERS];
    int64_t bytes;
    gsize largest;
    int frozen;
};

/* Servers of the services "llm", some of which prefill, and "plain". */
static void
describe_server(int i, struct fw_rl_server_entry *out)
{
    int is_engine = i < FW_ENGINES;

    *out = (struct fw_rl_server_entry){.slots = is_engine ? 16 : 6,
                                       .born_ms = 1,
                                       .stage = !is_engine ? FW_RL_STAGE_NONE
                                                : i < FW_PREFILL_ENGINES
                                                    ? FW_RL_STAGE_PREFILL
                                                    : FW_RL_STAGE_DECODE};
    out->id = Fw_Run_Name("s%d", i);
    g_snprintf(out->addr, sizeof(out->addr), "10.1.0.%d:1", i);
    out->service = is_engine ? "llm" : "plain";
}

static struct fw_relay *
relay_at(struct fixture *g, int i)
{
    return g->f.instances[i].relay;
}

static struct fw_rl_server *
server_at(struct fixture *g, int instance, int i)
{
    char id[FW_NAME_MAX];

    g_snprintf(id, sizeof(id), "s%d", i);
    return Fw_Servers_Find(relay_at(g, instance), id);
}

static void
add_servers(struct fixture *g, int instance)
{
    for (int i = 0; i < FW_SERVERS; i++) {
        struct fw_rl_server_entry e;

        describe_server(i, &e);
        Fw_Relay_UpdateServer(relay_at(g, instance), e.id, &e,
                              Fw_RelayFleet_Now(&g->f, instance),
                              &g->f.instances[instance].acts);
    }
}

static void
fixture_init(struct fixture *g, int n, const double *speeds)
{
    *g = (struct fixture){.run = {.rand = g_rand_new_with_seed(1)},
                          .rand = g_rand_new_with_seed(2),
                          .frozen = -1};
    g->rules = Fw_RelayFleet_NewRules(1);
    Fw_RelayFleet_Init(&g->f, &g->run, n, g->rules);
    g->f.loss_pct = 0;
    g->f.delay_pct = 0;
    for (int i = 0; i < n; i++) {
        add_servers(g, i);
    }
    for (int i = 0; i < FW_SERVERS; i++) {
        g->speed[i] = speeds[i % 3];
    }
    Fw_RelayFleet_Advance(&g->f, 3 * FW_SEC);
}

static void
fixture_clear(struct fixture *g)
{
    Fw_RelayFleet_Clear(&g->f);
    Fw_Rules_Unref(g->rules);
    g_rand_free(g->run.rand);
    g_rand_free(g->rand);
}

static int
find_instance(struct fixture *g, const char *addr)
{
    for (int i = 0; i < g->f.n; i++) {
        if (strcmp(g->f.instances[i].addr, addr) == 0) {
            return i;
        }
    }
    return -1;
}

static void
deliver(struct fixture *g, int from, const struct fw_rl_outbox *box)
{
    for (guint i = 0; i < box->all->len; i++) {
        const struct fw_rl_datagram *d = g_ptr_array_index(box->all, i);
        int to = find_instance(g, d->addr);
        gsize size;
        const void *data = g_bytes_get_data(d->data, &size);
        struct fw_rl_outbox reply;

        g->bytes += (int64_t)size;
        g->largest = MAX(g->largest, size);
        if (to < 0 || to == g->frozen) {
            continue;
        }
        Fw_Outbox_Init(&reply);
        ck_assert_int_eq(Fw_Relay_ReadMessage(
                             relay_at(g, to), g->f.instances[from].addr, data,
                             size, Fw_RelayFleet_Now(&g->f, to), &reply),
                         0);
        Fw_Outbox_Clear(&reply);
    }
}

static void
set_part(struct fixture *g, int64_t spread_ppm)
{
    for (int i = 0; i < g->f.n; i++) {
        relay_at(g, i)->opts.speed_spread_ppm = spread_ppm;
    }
}

/* An instance settles its samples and sends its messages about speeds. */
static void
exchange(struct fixture *g, int i)
{
    int64_t now = Fw_RelayFleet_Now(&g->f, i);
    struct fw_rl_outbox box;

    Fw_Outbox_Init(&box);
    Fw_Speeds_Tick(relay_at(g, i), now, &g->f.instances[i].acts);
    Fw_SpeedMessage_SendDue(relay_at(g, i), now, &box);
    deliver(g, i, &box);
    Fw_Outbox_Clear(&box);
}

static void
note_request(struct fixture *g, int server)
{
    int instance = g_rand_int_range(g->rand, 0, g->f.n);
    struct fw_rl_server *s = server_at(g, instance, server);
    struct fw_speed_key key = {.server = s->hash,
                               .service = Fw_Hash_Str(s->entry.service),
                               .use = server >= FW_ENGINES ? FW_SPEED_PLAIN
                                      : server < FW_PREFILL_ENGINES
                                          ? FW_SPEED_PREFILL
                                          : FW_SPEED_DECODE};
    double noise = 0;

    for (int k = 0; k < 12; k++) {
        noise += g_rand_double(g->rand);
    }
    Fw_Speed_NoteSample(relay_at(g, instance)->speeds.table, &key,
                        g->speed[server] * exp(0.3 * (noise - 6)) / 30000, 1);
}

/* About @per_s requests a second to servers @from to @to. */
static void
note_requests(struct fixture *g, double per_s, int from, int to)
{
    double n = per_s * FW_STEP_US / FW_SEC;

    for (; n > 0 && (n >= 1 || g_rand_double(g->rand) < n); n--) {
        note_request(g, g_rand_int_range(g->rand, from, to));
    }
}

/* Other messages are exchanged while the part is off, so as to count these. */
static void
run(struct fixture *g, int64_t us)
{
    for (int64_t t = 0; t < us; t += FW_STEP_US) {
        set_part(g, 0);
        Fw_RelayFleet_Advance(&g->f, FW_STEP_US);
        set_part(g, FW_SPREAD_PPM);
        note_requests(g, 200, FW_ENGINES, FW_SERVERS);
        note_requests(g, 110, 0, FW_PREFILL_ENGINES);
        note_requests(g, 110, FW_PREFILL_ENGINES, FW_ENGINES);
        for (int i = 0; i < g->f.n; i++) {
            if (i != g->frozen) {
                exchange(g, i);
            }
        }
    }
}

static const double uneven[] = {0.7, 0.7, 1.7};
static const double even[] = {1, 1, 1};

/* Mean ratio of the speeds at an instance to the true ones, as a logarithm. */
static double
mean_error(struct fixture *g, int instance, int from, int to)
{
    double sum = 0;

    for (int i = from; i < to; i++) {
        double mean = cbrt(0.7 * 0.7 * 1.7);

        sum +=
            fabs(log(server_at(g, instance, i)->speed / (g->speed[i] / mean)));
    }
    return sum / (to - from);
}

/*
 * Guards against instances that don't learn what the others see, and against
 * messages that cost more than the fleet can carry.
 */
START_TEST(all_instances_learn_all_speeds)
{
    struct fixture g;
    double before;

    fixture_init(&g, FW_INSTANCES, uneven);
    run(&g, 8 * FW_SEC);
    g.bytes = 0;
    run(&g, 4 * FW_SEC);
    for (int i = 0; i < FW_INSTANCES; i++) {
        ck_assert_msg(mean_error(&g, i, 0, FW_PREFILL_ENGINES) < 0.3 &&
                          mean_error(&g, i, FW_ENGINES, FW_SERVERS) < 0.3,
                      "instance %d: %.2f, %.2f", i,
                      mean_error(&g, i, 0, FW_PREFILL_ENGINES),
                      mean_error(&g, i, FW_ENGINES, FW_SERVERS));
    }
    ck_assert_msg(g.bytes / 4 / FW_INSTANCES <= FW_BYTES_MAX,
                  "%d bytes a second and instance",
                  (int)(g.bytes / 4 / FW_INSTANCES));
    before = server_at(&g, FW_INSTANCES - 1, FW_SERVERS - 1)->speed;
    g.speed[FW_SERVERS - 1] /= 2.5;
    run(&g, FW_SEC);
    ck_assert_msg(
        server_at(&g, FW_INSTANCES - 1, FW_SERVERS - 1)->speed < before / 1.7,
        "%.2f, before %.2f",
        server_at(&g, FW_INSTANCES - 1, FW_SERVERS - 1)->speed, before);
    fixture_clear(&g);
}
END_TEST

/* Guards against chance that decides where requests go. */
START_TEST(equal_servers_have_no_speeds)
{
    struct fixture g;
    int in_force = 0;

    fixture_init(&g, 20, even);
    for (int k = 0; k < 100; k++) {
        run(&g, 100 * FW_MSEC);
        for (int use = 0; use < FW_SPEED_USES; use++) {
            in_force += Fw_Speeds_AreInForce(
                relay_at(&g, 3), use == FW_SPEED_PLAIN ? "plain" : "llm",
                (enum fw_speed_use)use);
        }
    }
    ck_assert_int_le(in_force, 6);
    fixture_clear(&g);
}
END_TEST

/* Guards against leaves that use the last estimates of a dead hub for ever. */
START_TEST(leaves_of_a_dead_hub_learn_from_another)
{
    struct fixture g;
    int leaf = -1;

    fixture_init(&g, 30, uneven);
    run(&g, 6 * FW_SEC);
    for (int i = 0; i < g.f.n && leaf < 0; i++) {
        leaf = relay_at(&g, i)->exchange.is_hub ? -1 : i;
    }
    ck_assert_int_ge(leaf, 0);
    g.frozen = find_instance(&g, relay_at(&g, leaf)->exchange.hub->addr);
    g.f.instances[g.frozen].frozen_until_us = INT64_MAX;
    for (int i = 0; i < FW_PREFILL_ENGINES; i++) {
        g.speed[i] = uneven[(i + 1) % 3];
    }
    run(&g, 8 * FW_SEC);
    ck_assert_msg(mean_error(&g, leaf, 0, FW_PREFILL_ENGINES) < 0.35, "%.2f",
                  mean_error(&g, leaf, 0, FW_PREFILL_ENGINES));
    fixture_clear(&g);
}
END_TEST

/* Guards against a server that inherits the speed of its last lifetime. */
START_TEST(a_server_that_is_started_anew_has_no_speed)
{
    struct fixture g;
    struct fw_rl_server_entry e;

    fixture_init(&g, 3, uneven);
    run(&g, 6 * FW_SEC);
    ck_assert(server_at(&g, 0, 0)->speed < 0.8);
    describe_server(0, &e);
    e.born_ms = 2;
    Fw_Relay_UpdateServer(relay_at(&g, 0), e.id, &e,
                          Fw_RelayFleet_Now(&g.f, 0), &g.f.instances[0].acts);
    Fw_Speeds_Refresh(relay_at(&g, 0), Fw_RelayFleet_Now(&g.f, 0));
    ck_assert(fabs(server_at(&g, 0, 0)->speed - 1) < 0.01);
    fixture_clear(&g);
}
END_TEST

/** struct bad_message - rows that say nothing, or are malformed. */
struct bad_message {
    int64_t cells[4];
    int width;
    int rc;
};

static const struct bad_message bad_messages[] = {
    {{1, 0, -10000, 8}, 4, 0},         /* a server that is not known */
    {{0, 7, -10000, 8}, 4, 0},         /* a use that is not known */
    {{0, -1, -10000, 8}, 4, 0},        /* likewise */
    {{0, 1, INT64_MAX, 8}, 4, 0},      /* a rate beyond any bound */
    {{0, 1, -10000, INT64_MAX}, 4, 0}, /* a weight beyond any bound */
    {{0, 1, -10000, -5}, 4, 0},        /* a weight below zero */
    {{0, 1, -10000, 8}, 3, -EBADMSG},  /* a column too few */
};

/* Guards against crashes and against speeds that a faulty message sets. */
START_TEST(faulty_messages_do_no_harm)
{
    const struct bad_message *t = &bad_messages[_i];
    struct fixture g;
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_outbox reply;
    msgpack_packer pk;

    fixture_init(&g, 3, even);
    set_part(&g, FW_SPREAD_PPM);
    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_int(&pk, 14);
    Fw_Pack_Str(&pk, g.f.instances[1].name);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, (size_t)t->width);
    for (int i = 0; i < t->width; i++) {
        msgpack_pack_int64(&pk,
                           i == 0 && t->cells[0] == 0
                               ? (int64_t)(uint32_t)server_at(&g, 0, 0)->hash
                               : t->cells[i]);
    }
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 0);
    Fw_Outbox_Init(&reply);
    ck_assert_int_eq(
        Fw_Relay_ReadMessage(relay_at(&g, 0), g.f.instances[1].addr, msg->data,
                             msg->len, Fw_RelayFleet_Now(&g.f, 0), &reply),
        t->rc);
    run(&g, FW_SEC);
    for (int i = 0; i < FW_SERVERS; i++) {
        double speed = server_at(&g, 0, i)->speed;

        ck_assert(isfinite(speed) && speed > 0);
    }
    Fw_Outbox_Clear(&reply);
    g_byte_array_unref(msg);
    fixture_clear(&g);
}
END_TEST

#define FW_DRAWS 3000

static void
init_call(struct fw_rl_call *c, const char *service)
{
    static const struct fw_rl_route_rule route = {.name = "r"};

    *c = (struct fw_rl_call){.route = &route,
                             .service = service,
                             .kv_tokens = 5000,
                             .info = {.tokens_in = 5000}};
}

static struct fw_rl_server *
place(struct fixture *g, const struct fw_rl_call *c, enum fw_speed_use use)
{
    int64_t now = Fw_RelayFleet_Now(&g->f, 0);
    int64_t wait_us;

    switch (use) {
    case FW_SPEED_PLAIN:
        return Fw_Place_Plain(relay_at(g, 0), c, now);
    case FW_SPEED_PREFILL:
        return Fw_Place_Prefill(relay_at(g, 0), c, now, &wait_us);
    case FW_SPEED_DECODE:
        return Fw_Place_Decode(relay_at(g, 0), c, now);
    case FW_SPEED_USES:
        break;
    }
    return NULL;
}

/* Part of the requests that idle fast servers get. */
static double
fast_part(struct fixture *g, enum fw_speed_use use)
{
    struct fw_rl_call c;
    int fast = 0;

    init_call(&c, use == FW_SPEED_PLAIN ? "plain" : "llm");
    for (int k = 0; k < FW_DRAWS; k++) {
        const struct fw_rl_server *s = place(g, &c, use);

        ck_assert_ptr_nonnull(s);
        fast += s->entry.id[0] == 's' && atoi(s->entry.id + 1) % 3 == 2;
    }
    return (double)fast / FW_DRAWS;
}

/* Guards against fast servers that get no more than slow ones. */
START_TEST(fast_servers_get_more)
{
    struct fixture g;

    fixture_init(&g, 20, uneven);
    run(&g, 6 * FW_SEC);
    ck_assert(fast_part(&g, FW_SPEED_PLAIN) > 0.6);
    ck_assert(fast_part(&g, FW_SPEED_PREFILL) > 0.6);
    ck_assert(fast_part(&g, FW_SPEED_DECODE) > 0.5);
    set_part(&g, 0);
    Fw_Speeds_Tick(relay_at(&g, 0), Fw_RelayFleet_Now(&g.f, 0),
                   &g.f.instances[0].acts);
    ck_assert(fabs(fast_part(&g, FW_SPEED_PLAIN) - 1.0 / 3) < 0.05);
    ck_assert(fabs(fast_part(&g, FW_SPEED_PREFILL) - 5.0 / 16) < 0.05);
    ck_assert(fabs(fast_part(&g, FW_SPEED_DECODE) - 10.0 / 29) < 0.05);
    fixture_clear(&g);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay speeds");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, all_instances_learn_all_speeds);
    tcase_add_test(tc, equal_servers_have_no_speeds);
    tcase_add_test(tc, leaves_of_a_dead_hub_learn_from_another);
    tcase_add_test(tc, a_server_that_is_started_anew_has_no_speed);
    tcase_add_loop_test(tc, faulty_messages_do_no_harm, 0,
                        G_N_ELEMENTS(bad_messages));
    tcase_add_test(tc, fast_servers_get_more);
    return Fw_Suite_Run(tc);
}
