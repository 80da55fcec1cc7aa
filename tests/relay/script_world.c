/* Script commands about everything but requests. */
#include <check.h>
#include <msgpack.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "tests/relay/script_internal.h"

/* Column of a digest's store state with the time since the store's return. */
#define FW_STORE_BACK_COLUMN 6

static void
set_regions(const struct relay_script_run *run, const char *argument,
            struct fw_rl_rules *rules, struct fw_rl_regions *out)
{
    const char *name = Fw_RelayScript_GetString(run, argument);
    uint64_t *hash;

    if (name) {
        hash = Fw_Rules_Alloc(rules, sizeof(*hash));
        *hash = Fw_Hash_Str(name);
        *out = (struct fw_rl_regions){.n = 1, .hash = hash};
    }
}

static void
add_route(struct relay_script_run *run, struct fw_rl_rules *rules,
          const char *prefix, enum fw_rl_route_kind kind, const char *service)
{
    struct fw_rl_route_rule *r = Fw_Rules_AddRoute(rules);

    r->name = service;
    r->host = "h";
    r->prefix = prefix;
    r->kind = kind;
    r->timeout_us =
        Fw_RelayScript_GetNumber(run, "timeout_ms", 10000) * FW_MSEC;
    r->objective_us = 900 * FW_MSEC;
    set_regions(run, "route_region", rules, &r->regions);
    r->attempts = (int)Fw_RelayScript_GetNumber(run, "attempts", 2);
    r->generates = kind == FW_RL_STREAM;
    r->resumable = strcmp(prefix, "/resume/") == 0;
    r->anonymous = strcmp(prefix, "/open/") == 0;
    Fw_Rules_SetTarget(rules, r, service);
    r->is_unusable =
        g_strcmp0(Fw_RelayScript_GetString(run, "unusable"), prefix) == 0;
}

static void
set_cold_limit(struct relay_script_run *run, struct fw_rl_service_rule *s)
{
    s->cold_rate = (double)Fw_RelayScript_GetNumber(run, "cold_rate", 0);
    s->cold_us = Fw_RelayScript_GetNumber(run, "cold_ms", 0) * FW_MSEC;
    s->is_unusable =
        g_strcmp0(Fw_RelayScript_GetString(run, "unusable"), s->name) == 0;
}

/*
 * Routes to the service "plain": /read/ (idempotent), /order/ (runs at most
 * once) and /open/ (idempotent, no key needed). Routes to the service "llm":
 * /gen/ and /resume/ (resumable). Teams: "a" with key ka and, unless keys=1,
 * "b" with key kb, whose rank is rank_b if that is given; routes have rank 0.
 * unusable=: prefix of a route, a service or a team that can't be used
 */
static struct fw_rl_rules *
make_rules(struct relay_script_run *run)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s;

    rules->version = (int64_t)Fw_RelayScript_GetArg(run, 1);
    add_route(run, rules, "/read/", FW_RL_IDEMPOTENT, "plain");
    add_route(run, rules, "/open/", FW_RL_IDEMPOTENT, "plain");
    add_route(run, rules, "/order/", FW_RL_NON_IDEMPOTENT, "plain");
    add_route(run, rules, "/gen/", FW_RL_STREAM, "llm");
    add_route(run, rules, "/resume/", FW_RL_STREAM, "llm");
    s = Fw_Rules_AddService(rules);
    s->name = "plain";
    set_cold_limit(run, s);
    s = Fw_Rules_AddService(rules);
    s->name = "llm";
    set_cold_limit(run, s);
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = (int)Fw_RelayScript_GetNumber(run, "slots", 8),
        .kv_tokens = Fw_RelayScript_GetNumber(run, "kv", 20000),
        .kv_ttl_us = 500 * FW_MSEC,
        .reservation_ttl_us = 2 * FW_SEC,
        .stage_change_us = 6 * FW_SEC};
    for (int i = 0; i < Fw_RelayScript_GetNumber(run, "keys", 2); i++) {
        struct fw_rl_team_rule *t = Fw_Rules_AddTeam(rules);

        t->name = i ? "b" : "a";
        t->is_unusable =
            g_strcmp0(Fw_RelayScript_GetString(run, "unusable"), t->name) == 0;
        t->rate = Fw_RelayScript_GetNumber(run, "rate", 0);
        t->burst = Fw_RelayScript_GetNumber(run, "burst", 0);
        t->plain_cost = 200;
        set_regions(run, "team_region", rules, &t->regions);
        t->priority =
            i ? (int)Fw_RelayScript_GetNumber(run, "rank_b", -1) : -1;
        Fw_Rules_AddKey(rules, i ? "kb" : "ka", t);
    }
    Fw_Rules_Index(rules);
    return rules;
}

void
Fw_RelayScript_DoServer(struct relay_script_run *run)
{
    struct fw_rl_server_entry e = {.slots = 4};
    const char *domain = Fw_RelayScript_GetString(run, "domain");

    e.domain = domain ? domain : "";
    e.cold_us = Fw_RelayScript_GetNumber(run, "cold_ms", 0) * FW_MSEC;
    e.id = run->word[1];
    e.service = run->word[2];
    g_snprintf(e.addr, sizeof(e.addr), "%s:1", run->word[1]);
    e.stage = strcmp(run->word[3], "prefill") == 0  ? FW_RL_STAGE_PREFILL
              : strcmp(run->word[3], "decode") == 0 ? FW_RL_STAGE_DECODE
                                                    : FW_RL_STAGE_NONE;
    e.draining = Fw_RelayScript_HasWord(run, "draining");
    e.born_ms = Fw_RelayScript_GetNumber(run, "born", 1);
    Fw_Relay_UpdateServer(run->r, e.id, &e, run->now_us, &run->acts);
}

/**
 * struct digest_part - what a digest says.
 * @team: team whose allowance it reports, NULL for none: @spent tokens in all,
 *     @level left
 * @store_lost: its sender gets no answer from the store
 * @store_back_us: how long ago the store answered it again, -1 for never
 */
struct digest_part {
    const char *team;
    int64_t spent;
    int64_t level;
    int store_lost;
    int64_t store_back_us;
};

/* Delivers a digest from the instance @name. */
static void
send_digest(struct relay_script_run *run, const char *name,
            const struct digest_part *part)
{
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_outbox outbox;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 12);
    msgpack_pack_int(&pk, 7);
    Fw_Pack_Str(&pk, name);
    msgpack_pack_uint64(&pk, Fw_Hash_Str(""));
    msgpack_pack_int64(&pk, 0);
    msgpack_pack_uint64(&pk, 1);
    msgpack_pack_uint64(&pk, ++run->digest_seq);
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, part->team ? 1 : 0);
    if (part->team) {
        msgpack_pack_array(&pk, 3);
        msgpack_pack_uint64(&pk, Fw_Hash_Str(part->team));
        msgpack_pack_int64(&pk, part->spent);
        msgpack_pack_int64(&pk, part->level);
    }
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, FW_RL_STORE_STATE_COLUMNS);
    msgpack_pack_int(&pk, 1);
    msgpack_pack_int(&pk, part->store_lost);
    for (int i = 2; i < FW_STORE_BACK_COLUMN; i++) {
        msgpack_pack_uint64(&pk, 0);
    }
    if (FW_RL_STORE_STATE_COLUMNS > FW_STORE_BACK_COLUMN) {
        msgpack_pack_int64(&pk, part->store_back_us);
    }
    msgpack_pack_array(&pk, 0);
    Fw_Outbox_Init(&outbox);
    ck_assert_int_ge(Fw_Relay_ReadMessage(run->r, "127.0.0.9:1", msg->data,
                                          msg->len, run->now_us, &outbox),
                     0);
    Fw_Outbox_Clear(&outbox);
    g_ptr_array_unref(outbox.all);
    g_byte_array_unref(msg);
}

void
Fw_RelayScript_DoLimit(struct relay_script_run *run)
{
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_outbox outbox;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_int(&pk, 11);
    Fw_Pack_Str(&pk, run->word[1]);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_uint64(&pk, Fw_Hash_Str(run->word[2]));
    msgpack_pack_int64(&pk, 1);
    msgpack_pack_int64(&pk, (int64_t)Fw_RelayScript_GetArg(run, 3));
    msgpack_pack_int64(&pk, g_ascii_strtoll(run->word[4], NULL, 10));
    msgpack_pack_int64(&pk, -1);
    Fw_Outbox_Init(&outbox);
    ck_assert_int_eq(Fw_Relay_ReadMessage(run->r, "127.0.0.9:1", msg->data,
                                          msg->len, run->now_us, &outbox),
                     0);
    Fw_Outbox_Clear(&outbox);
    g_ptr_array_unref(outbox.all);
    g_byte_array_unref(msg);
}

void
Fw_RelayScript_DoDemand(struct relay_script_run *run)
{
    static const char *const values[FW_DEMAND_VALUES] = {
        "asked", "asked_tokens", "asked_squares", "waiting",     "tokens",
        NULL,    NULL,           "ended",         "ended_tokens"};
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_outbox outbox;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 6);
    msgpack_pack_int(&pk, 13);
    Fw_Pack_Str(&pk, run->word[1]);
    msgpack_pack_uint64(&pk, 1);
    msgpack_pack_uint64(&pk, ++run->digest_seq);
    msgpack_pack_int(&pk, FW_DEMAND_HUB);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, 2 + FW_DEMAND_VALUES);
    msgpack_pack_uint64(&pk, Fw_Hash_Str("llm"));
    msgpack_pack_int64(&pk, (int64_t)Fw_RelayScript_GetArg(run, 2));
    for (int i = 0; i < FW_DEMAND_VALUES; i++) {
        msgpack_pack_int64(
            &pk, values[i] ? Fw_RelayScript_GetNumber(run, values[i], 0) : 0);
    }
    Fw_Outbox_Init(&outbox);
    ck_assert_int_eq(Fw_Relay_ReadMessage(run->r, "127.0.0.9:1", msg->data,
                                          msg->len, run->now_us, &outbox),
                     0);
    Fw_Outbox_Clear(&outbox);
    g_ptr_array_unref(outbox.all);
    g_byte_array_unref(msg);
}

void
Fw_RelayScript_DoRules(struct relay_script_run *run)
{
    struct fw_rl_rules *rules = make_rules(run);

    Fw_Relay_SetRules(run->r, rules, (uint64_t)rules->version, run->now_us,
                      &run->acts);
    Fw_Rules_Unref(rules);
}

void
Fw_RelayScript_DoOptions(struct relay_script_run *run)
{
    struct fw_relay_opts *o = &run->opts;

    o->queue_limit_us =
        Fw_RelayScript_GetNumber(run, "queue_ms", 500) * FW_MSEC;
    o->key_stale_us =
        Fw_RelayScript_GetNumber(run, "stale_ms", 4000) * FW_MSEC;
    o->reserve_permille = (int)Fw_RelayScript_GetNumber(run, "reserve", 1000);
    o->prefill_permille = (int)Fw_RelayScript_GetNumber(run, "prefill", 50);
    o->retry_extra = Fw_RelayScript_GetNumber(run, "extra", 100);
    o->local_prefill_us =
        Fw_RelayScript_GetNumber(run, "here_ms", 600) * FW_MSEC;
    o->log_sample = (int)Fw_RelayScript_GetNumber(run, "sample", 1);
    o->precedence = (enum fw_rl_precedence)Fw_RelayScript_GetNumber(
        run, "precedence", FW_RL_PRECEDENCE_OFF);
    o->tolerance_tokens = Fw_RelayScript_GetNumber(run, "tolerance", 0);
    o->patience_objectives = (int)Fw_RelayScript_GetNumber(run, "patience", 0);
    o->start_wait_us =
        Fw_RelayScript_GetNumber(run, "start_wait_ms", 0) * FW_MSEC;
    o->lease_us = Fw_RelayScript_GetNumber(run, "lease_ms", 3000) * FW_MSEC;
    o->admission_forecast = (int)Fw_RelayScript_GetNumber(run, "forecast", 0);
    Fw_Relay_SetOpts(run->r, o);
}

void
Fw_RelayScript_DoLead(struct relay_script_run *run)
{
    enum fw_rl_claim_result c =
        Fw_RelayScript_HasWord(run, "made")    ? FW_RL_CLAIM_WON
        : Fw_RelayScript_HasWord(run, "taken") ? FW_RL_CLAIM_LOST
                                               : FW_RL_CLAIM_UNKNOWN;

    Fw_Relay_ClaimEnded(run->r, c, Fw_RelayScript_GetArg(run, 2),
                        run->claim_sent_us, run->now_us);
}

void
Fw_RelayScript_DoMember(struct relay_script_run *run)
{
    struct digest_part part = {.store_lost =
                                   Fw_RelayScript_HasWord(run, "store-lost"),
                               .store_back_us = -1};
    int64_t back_ms = Fw_RelayScript_GetNumber(run, "store_back_ms", -1);

    if (back_ms >= 0) {
        part.store_back_us = back_ms * FW_MSEC;
    }
    send_digest(run, run->word[1], &part);
}

void
Fw_RelayScript_DoSpent(struct relay_script_run *run)
{
    struct digest_part part = {.team = run->word[2],
                               .spent = (int64_t)Fw_RelayScript_GetArg(run, 3),
                               .level =
                                   Fw_RelayScript_GetNumber(run, "level", 0),
                               .store_back_us = -1};

    send_digest(run, run->word[1], &part);
}
