/* Commands that tell the relay of the world around its requests. */
#include <check.h>
#include <msgpack.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "tests/relay/play.h"

static void
add_route(struct play *p, struct fw_rl_rules *rules, const char *prefix,
          enum fw_rl_kind kind, const char *service)
{
    struct fw_rl_route_rule *r = Fw_Rules_AddRoute(rules);

    g_strlcpy(r->name, service, sizeof(r->name));
    g_strlcpy(r->host, "h", sizeof(r->host));
    g_strlcpy(r->prefix, prefix, sizeof(r->prefix));
    r->kind = kind;
    r->timeout_us = Fw_Play_Number(p, "timeout_ms", 10000) * FW_MSEC;
    r->objective_us = 900 * FW_MSEC;
    r->attempts = (int)Fw_Play_Number(p, "attempts", 2);
    r->generates = kind == FW_RL_STREAM;
    r->resumable = strcmp(prefix, "/resume/") == 0;
    r->anonymous = strcmp(prefix, "/open/") == 0;
    r->n_targets = 1;
    r->targets[0].weight = 1;
    g_strlcpy(r->targets[0].service, service, FW_NAME_MAX);
}

/*
 * Routes /read/ (repeatable), /order/ (once), /open/ (repeatable, without a
 * key) of the service "plain", /gen/ and /resume/ of the service "llm";
 * teams "a" with key ka and "b" with key kb (without it if keys=1).
 */
static struct fw_rl_rules *
make_rules(struct play *p)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s;

    rules->version = (int64_t)Fw_Play_Arg(p, 1);
    add_route(p, rules, "/read/", FW_RL_IDEMPOTENT, "plain");
    add_route(p, rules, "/open/", FW_RL_IDEMPOTENT, "plain");
    add_route(p, rules, "/order/", FW_RL_ONCE, "plain");
    add_route(p, rules, "/gen/", FW_RL_STREAM, "llm");
    add_route(p, rules, "/resume/", FW_RL_STREAM, "llm");
    g_strlcpy(Fw_Rules_AddService(rules)->name, "plain", FW_NAME_MAX);
    s = Fw_Rules_AddService(rules);
    g_strlcpy(s->name, "llm", FW_NAME_MAX);
    s->engines = 1;
    s->engine =
        (struct fw_rl_engine_spec){.slots = (int)Fw_Play_Number(p, "slots", 8),
                                   .kv_tokens = Fw_Play_Number(p, "kv", 20000),
                                   .handle_us = 500 * FW_MSEC,
                                   .hold_us = 2 * FW_SEC,
                                   .switch_us = 6 * FW_SEC};
    for (int i = 0; i < Fw_Play_Number(p, "keys", 2); i++) {
        struct fw_rl_team_rule *t = Fw_Rules_AddTeam(rules);

        g_strlcpy(t->name, i ? "b" : "a", FW_NAME_MAX);
        t->rate = Fw_Play_Number(p, "rate", 0);
        t->burst = Fw_Play_Number(p, "burst", 0);
        t->plain_cost = 200;
        t->priority = -1;
        Fw_Rules_AddKey(rules, i ? "kb" : "ka", t);
    }
    Fw_Rules_Index(rules);
    return rules;
}

void
Fw_Play_Server(struct play *p)
{
    struct fw_rl_server_entry e = {.slots = 4};

    g_strlcpy(e.id, p->word[1], sizeof(e.id));
    g_strlcpy(e.service, p->word[2], sizeof(e.service));
    g_snprintf(e.addr, sizeof(e.addr), "%s:1", p->word[1]);
    e.stage = strcmp(p->word[3], "prefill") == 0  ? FW_RL_STAGE_PREFILL
              : strcmp(p->word[3], "decode") == 0 ? FW_RL_STAGE_DECODE
                                                  : FW_RL_STAGE_NONE;
    e.draining = Fw_Play_Has(p, "draining");
    e.born_ms = Fw_Play_Number(p, "born", 1);
    Fw_Relay_Server(p->r, e.id, &e, p->now_us, &p->acts);
}

/* A digest from @name; with @team, what it has spent of that. */
static void
send_digest(struct play *p, const char *name, const char *team, int64_t spent,
            int64_t level)
{
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_mail mail;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 12);
    msgpack_pack_int(&pk, 7);
    Fw_Pack_Str(&pk, name);
    msgpack_pack_uint64(&pk, Fw_Hash_Str(""));
    msgpack_pack_int64(&pk, 0);
    msgpack_pack_uint64(&pk, 1);
    msgpack_pack_uint64(&pk, ++p->digest_seq);
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, team ? 1 : 0);
    if (team) {
        msgpack_pack_array(&pk, 3);
        msgpack_pack_uint64(&pk, Fw_Hash_Str(team));
        msgpack_pack_int64(&pk, spent);
        msgpack_pack_int64(&pk, level);
    }
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, FW_RL_WATCH_WIDTH);
    msgpack_pack_int(&pk, 1);
    for (int i = 1; i < FW_RL_WATCH_WIDTH; i++) {
        msgpack_pack_uint64(&pk, 0);
    }
    msgpack_pack_array(&pk, 0);
    Fw_Mail_Init(&mail);
    ck_assert_int_ge(Fw_Relay_ReadMessage(p->r, "127.0.0.9:1", msg->data,
                                          msg->len, p->now_us, &mail),
                     0);
    Fw_Mail_Clear(&mail);
    g_ptr_array_unref(mail.all);
    g_byte_array_unref(msg);
}

void
Fw_Play_Rules(struct play *p)
{
    struct fw_rl_rules *rules = make_rules(p);

    Fw_Relay_Rules(p->r, rules, (uint64_t)rules->version, p->now_us, &p->acts);
    Fw_Rules_Unref(rules);
}

void
Fw_Play_Options(struct play *p)
{
    struct fw_relay_opts *o = &p->opts;

    o->queue_us = Fw_Play_Number(p, "queue_ms", 500) * FW_MSEC;
    o->key_stale_us = Fw_Play_Number(p, "stale_ms", 4000) * FW_MSEC;
    o->reserve_permille = (int)Fw_Play_Number(p, "reserve", 1000);
    o->prefill_permille = (int)Fw_Play_Number(p, "prefill", 50);
    o->retry_extra = Fw_Play_Number(p, "extra", 100);
    o->read_here_us = Fw_Play_Number(p, "here_ms", 600) * FW_MSEC;
    o->log_sample = (int)Fw_Play_Number(p, "sample", 1);
    o->tolerance = Fw_Play_Number(p, "tolerance", 0);
    o->lease_us = Fw_Play_Number(p, "lease_ms", 3000) * FW_MSEC;
    Fw_Relay_SetOpts(p->r, o);
}

void
Fw_Play_Lead(struct play *p)
{
    enum fw_rl_claim c = Fw_Play_Has(p, "made")    ? FW_RL_CLAIM_MADE
                         : Fw_Play_Has(p, "taken") ? FW_RL_CLAIM_TAKEN
                                                   : FW_RL_CLAIM_UNKNOWN;

    Fw_Relay_Lead(p->r, c, Fw_Play_Arg(p, 2), p->lead_sent_us, p->now_us);
}

void
Fw_Play_Member(struct play *p)
{
    send_digest(p, p->word[1], NULL, 0, 0);
}

void
Fw_Play_Spent(struct play *p)
{
    send_digest(p, p->word[1], p->word[2], (int64_t)Fw_Play_Arg(p, 3),
                Fw_Play_Number(p, "level", 0));
}
