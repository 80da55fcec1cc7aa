#include "explore/p_idem_mail.h"

#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_internal.h"

#define SERVE_US (20 * FW_MSEC)
#define WALL_BASE_MS 1764000000000LL

static void
free_mail(gpointer data)
{
    struct fw_idem_env_delivery *m = data;

    g_strfreev(m->records);
    if (m->kind == FW_IDEM_ENV_MSG) {
        Fw_Msg_Clear(&m->msg);
    }
    g_free(m);
}

void
Fw_IdemEnv_Init(struct fw_idem_env *b, int n, GString *trace)
{
    memset(b, 0, sizeof(*b));
    b->n = n;
    b->trace = trace;
    b->now_us = FW_SEC;
    b->deliveries = g_ptr_array_new_with_free_func(free_mail);
    b->tries = g_ptr_array_new_with_free_func(g_free);
    b->effects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    b->keys_by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    b->log.retain = 1000000;
    for (int i = 0; i < FW_IDEM_ENV_PARTITIONS; i++) {
        b->log.records[i] = g_ptr_array_new_with_free_func(g_free);
        b->log.oldest[i] = 1;
    }
    for (int i = 0; i < n; i++) {
        Fw_IdemEnv_Start(b, i);
    }
}

void
Fw_IdemEnv_Kill(struct fw_idem_env *b, int site)
{
    struct fw_idem_env_instance *s = &b->sites[site];

    if (!s->up) {
        return;
    }
    s->up = 0;
    Fw_Idem_Free(s->idem);
    Fw_Fleet_Free(s->fleet);
}

void
Fw_IdemEnv_Clear(struct fw_idem_env *b)
{
    for (int i = 0; i < b->n; i++) {
        Fw_IdemEnv_Kill(b, i);
    }
    for (int i = 0; i < FW_IDEM_ENV_PARTITIONS; i++) {
        g_ptr_array_unref(b->log.records[i]);
    }
    g_ptr_array_unref(b->deliveries);
    g_ptr_array_unref(b->tries);
    g_hash_table_unref(b->effects);
    g_hash_table_unref(b->keys_by_name);
}

void
Fw_IdemEnv_Start(struct fw_idem_env *b, int site)
{
    struct fw_idem_env_instance *s = &b->sites[site];
    struct fw_actions none;

    memset(s, 0, sizeof(*s));
    g_snprintf(s->self.name, sizeof(s->self.name), "instance-%d", site);
    g_snprintf(s->self.addr, sizeof(s->self.addr), "10.0.0.%d:1", site);
    g_strlcpy(s->self.region, "r", sizeof(s->self.region));
    s->self.boot = (uint64_t)(WALL_BASE_MS + b->now_us / FW_MSEC);
    Fw_Metrics_Init(&s->metrics);
    s->fleet = Fw_Fleet_New(&s->self, 1, &s->metrics);
    Fw_Actions_Init(&none);
    for (int i = 0; i < b->n; i++) {
        char name[FW_NAME_MAX];
        char addr[FW_URL_MAX];

        g_snprintf(name, sizeof(name), "instance-%d", i);
        g_snprintf(addr, sizeof(addr), "10.0.0.%d:1", i);
        if (i != site) {
            Fw_Member_SetState(s->fleet,
                               Fw_Member_Add(s->fleet, name, addr, "d", "r"),
                               FW_MEMBER_ALIVE, b->now_us, &none);
        }
    }
    Fw_Actions_Clear(&none);
    s->idem =
        Fw_Idem_New(&s->self, s->fleet, FW_IDEM_ENV_PARTITIONS, &s->metrics);
    s->up = 1;
    s->wake_us = b->now_us;
}

struct fw_idem_env_delivery *
Fw_IdemEnv_Schedule(struct fw_idem_env *b, enum fw_idem_env_delivery_kind kind,
                    int site, int64_t delay_us)
{
    struct fw_idem_env_delivery *m = g_new0(struct fw_idem_env_delivery, 1);

    m->kind = kind;
    m->site = site;
    m->boot = b->sites[site].self.boot;
    m->at_us = b->now_us + delay_us;
    g_ptr_array_add(b->deliveries, m);
    return m;
}

static void
send_peer(struct fw_idem_env *b, int site, struct fw_peer_send *send)
{
    for (int i = 0; i < b->n; i++) {
        struct fw_idem_env_instance *to = &b->sites[i];
        struct fw_idem_env_delivery *m;

        if (strcmp(to->self.name, send->to) != 0 || !to->up || to->cut ||
            b->sites[site].cut) {
            continue;
        }
        m = Fw_IdemEnv_Schedule(b, FW_IDEM_ENV_MSG, i, FW_IDEM_ENV_HOP_US);
        m->msg = send->msg;
        send->msg.u.idem.kind = FW_IDEM_OUTCOME_ACK; /* moved: owns nothing */
        g_strlcpy(m->sender, b->sites[site].self.name, sizeof(m->sender));
        return;
    }
}

static void
carry(struct fw_idem_env *b, int site, struct fw_actions *out)
{
    struct fw_action *a;
    struct fw_idem_env_delivery *m;

    b->sites[site].wake_us = MIN(b->sites[site].wake_us, out->wake_us);
    while ((a = Fw_Actions_Take(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_peer(b, site, &a->u.send);
        }
        else if (a->kind == FW_ACT_LOG_APPEND) {
            m = Fw_IdemEnv_Schedule(b, FW_IDEM_ENV_APPEND, site,
                                    FW_IDEM_ENV_HOP_US + b->log.slow_us);
            m->ticket = a->u.append.ticket;
            m->part = a->u.append.stream[strlen("idem-")] - '0';
            m->n = a->u.append.n;
            m->records = g_new0(char *, m->n + 1);
            for (int i = 0; i < m->n; i++) {
                m->records[i] = g_strdup(a->u.append.records[i]);
            }
        }
        else if (a->kind == FW_ACT_LOG_READ) {
            m = Fw_IdemEnv_Schedule(b, FW_IDEM_ENV_READ, site,
                                    FW_IDEM_ENV_HOP_US + b->log.slow_us);
            m->ticket = a->u.read.ticket;
            m->part = a->u.read.stream[strlen("idem-")] - '0';
            m->from = a->u.read.from;
            m->max = a->u.read.max_records;
            m->sent_us = b->now_us;
        }
        Fw_Action_Free(a);
    }
}

static void
breach(struct fw_idem_env *b, const char *what, const char *key)
{
    if (!b->breach[0]) {
        g_snprintf(b->breach, sizeof(b->breach), "%s: key %s", what, key);
    }
}

/* The right to run was given: sends the call, as src/request does. */
static void
run_call(struct fw_idem_env *b, struct fw_idem_env_try *t, int number,
         struct fw_actions *out)
{
    struct fw_idem_env_instance *s = &b->sites[t->site];
    int rc = Fw_Idem_BeginRun(s->idem, t->ticket, b->now_us);
    int effects;

    if (rc) {
        t->told_not_run = 1;
        g_string_append_printf(b->trace, "%d may not run: %s\n", number,
                               rc == -ESTALE ? "stale" : "already");
        return;
    }
    if (b->service == FW_IDEM_ENV_SERVICE_REFUSES) {
        g_string_append_printf(b->trace, "%d not begun\n", number);
        Fw_Idem_Finish(s->idem, t->ticket, FW_RAN_NO, 0, "", NULL, b->now_us,
                       out);
        t->told_not_run = 1;
        return;
    }
    if (t->told_not_run) {
        breach(b, "a call whose caller was told 'not run' is sent", t->key);
    }
    g_string_append_printf(b->trace, "%d sent\n", number);
    effects = GPOINTER_TO_INT(g_hash_table_lookup(b->effects, t->key)) + 1;
    g_hash_table_replace(b->effects, g_strdup(t->key),
                         GINT_TO_POINTER(effects));
    if (++t->sends > 1 || effects > 1) {
        breach(b, "an order took effect twice", t->key);
    }
    t->ran = b->service == FW_IDEM_ENV_SERVICE_LOSES_ANSWER ? FW_RAN_MAYBE
                                                            : FW_RAN_YES;
    t->finish_us = b->now_us + SERVE_US;
    s->wake_us = MIN(s->wake_us, t->finish_us);
}

static void
take_answers(struct fw_idem_env *b, int site, struct fw_actions *out)
{
    static const char *const names[] = {"run",        "recorded", "maybe",
                                        "not run",    "mismatch", "too old",
                                        "unavailable"};
    struct fw_idem_answer ans;

    while (Fw_Idem_TakeAnswer(b->sites[site].idem, &ans)) {
        struct fw_idem_env_try *t =
            g_ptr_array_index(b->tries, (guint)ans.ticket - 1);
        gsize len = 0;
        const char *body = ans.body ? g_bytes_get_data(ans.body, &len) : "";

        t->answered = 1;
        if (ans.result == FW_IDEM_RUN) {
            run_call(b, t, (int)ans.ticket, out);
        }
        else {
            g_string_append_printf(b->trace, "%d %s%s%.*s\n", (int)ans.ticket,
                                   names[ans.result], len ? " " : "", (int)len,
                                   body);
        }
        t->told_not_run |= ans.result == FW_IDEM_UNAVAILABLE ||
                           ans.result == FW_IDEM_NOT_RUN ||
                           ans.result == FW_IDEM_MISMATCH;
        if (t->told_not_run && t->sends) {
            breach(b, "'not run' is told of a call that was sent", t->key);
        }
        if (ans.result == FW_IDEM_UNAVAILABLE && ans.retry_after_us < FW_SEC) {
            breach(b, "a caller is asked back at once", t->key);
        }
        g_clear_pointer(&ans.body, g_bytes_unref);
    }
}

static void
finish_calls(struct fw_idem_env *b, int site, struct fw_actions *out)
{
    struct fw_idem_env_instance *s = &b->sites[site];

    for (guint i = 0; i < b->tries->len; i++) {
        struct fw_idem_env_try *t = g_ptr_array_index(b->tries, i);
        GBytes *body;

        if (t->site != site || t->boot != s->self.boot || !t->finish_us) {
            continue;
        }
        if (b->now_us < t->finish_us) {
            s->wake_us = MIN(s->wake_us, t->finish_us);
            continue;
        }
        t->finish_us = 0;
        body = g_bytes_new_static("done", 4);
        Fw_Idem_Finish(s->idem, i + 1, t->ran, t->ran == FW_RAN_YES ? 201 : 0,
                       "text/plain", t->ran == FW_RAN_YES ? body : NULL,
                       b->now_us, out);
        g_bytes_unref(body);
    }
}

/* After whatever an instance was handed. */
static void
settle(struct fw_idem_env *b, int site, struct fw_actions *out)
{
    take_answers(b, site, out);
    carry(b, site, out);
}

static void
tick(struct fw_idem_env *b, int site)
{
    struct fw_idem_env_instance *s = &b->sites[site];
    struct fw_actions out;

    Fw_Actions_Init(&out);
    s->wake_us = INT64_MAX;
    finish_calls(b, site, &out);
    Fw_Idem_Tick(s->idem, b->now_us, &out);
    settle(b, site, &out);
}

static const char *
key_of(struct fw_idem_env *b, const char *name)
{
    const char *at = strchr(name, '@');
    char *key = g_hash_table_lookup(b->keys_by_name, name);
    int64_t issued_ms;

    if (!at || key) {
        return key ? key : name;
    }
    issued_ms = WALL_BASE_MS + b->now_us / FW_MSEC -
                g_ascii_strtoll(at + 1, NULL, 10) * 1000;
    key = g_strdup_printf("%013" G_GINT64_FORMAT "-%.*s", issued_ms,
                          (int)(at - name), name);
    g_hash_table_insert(b->keys_by_name, g_strdup(name), key);
    return key;
}

void
Fw_IdemEnv_Open(struct fw_idem_env *b, int site, const char *name,
                const char *body)
{
    struct fw_idem_env_instance *s = &b->sites[site];
    struct fw_idem_env_try *t;
    struct fw_actions out;

    if (!s->up || s->paused_us > b->now_us) {
        return;
    }
    t = g_new0(struct fw_idem_env_try, 1);
    g_ptr_array_add(b->tries, t);
    t->ticket = b->tries->len;
    t->site = site;
    t->boot = s->self.boot;
    g_strlcpy(t->key, key_of(b, name), sizeof(t->key));
    Fw_Actions_Init(&out);
    Fw_Idem_Claim(s->idem, t->ticket, "grid-desk", "skippers", t->key,
                  Fw_Hash_Str(body), b->now_us, &out);
    settle(b, site, &out);
}

static void
deliver(struct fw_idem_env *b, struct fw_idem_env_delivery *m)
{
    struct fw_idem_env_instance *s = &b->sites[m->site];
    struct fw_log_appended app = {.ticket = m->ticket, .err = m->err};
    struct fw_log_records rec = {.ticket = m->ticket, .err = m->err};
    struct fw_actions out;

    if (m->kind == FW_IDEM_ENV_APPEND) {
        Fw_IdemEnv_HandleAppend(b, m);
        return;
    }
    if (m->kind == FW_IDEM_ENV_READ) {
        Fw_IdemEnv_HandleRead(b, m);
        return;
    }
    if (!s->up || s->self.boot != m->boot) {
        return;
    }
    Fw_Actions_Init(&out);
    if (m->kind == FW_IDEM_ENV_APPENDED) {
        app.first = m->first;
        Fw_Idem_OnAppended(s->idem, &app, b->now_us, &out);
    }
    else if (m->kind == FW_IDEM_ENV_RECORDS) {
        rec.sent_us = m->sent_us;
        rec.first = m->first;
        rec.oldest = m->oldest;
        rec.end = m->end;
        rec.n = m->n;
        rec.records = (const char *const *)m->records;
        Fw_Idem_OnRecords(s->idem, &rec, b->now_us, &out);
    }
    else {
        Fw_Idem_OnMsg(s->idem, m->sender, &m->msg.u.idem, b->now_us, &out);
    }
    settle(b, m->site, &out);
}

/* When @m can be delivered: a paused instance hears nothing. */
static int64_t
due(const struct fw_idem_env *b, const struct fw_idem_env_delivery *m)
{
    if (m->kind == FW_IDEM_ENV_APPEND || m->kind == FW_IDEM_ENV_READ) {
        return m->at_us;
    }
    return MAX(m->at_us, b->sites[m->site].paused_us);
}

static struct fw_idem_env_delivery *
next_mail(struct fw_idem_env *b, int64_t until_us, int *tick_site)
{
    struct fw_idem_env_delivery *best = NULL;
    int64_t at = until_us + 1;

    *tick_site = -1;
    for (guint i = 0; i < b->deliveries->len; i++) {
        struct fw_idem_env_delivery *m = g_ptr_array_index(b->deliveries, i);

        if (due(b, m) < at) {
            at = due(b, m);
            best = m;
        }
    }
    for (int i = 0; i < b->n; i++) {
        struct fw_idem_env_instance *s = &b->sites[i];

        if (s->up && MAX(s->wake_us, s->paused_us) < at) {
            at = MAX(s->wake_us, s->paused_us);
            best = NULL;
            *tick_site = i;
        }
    }
    if (best || *tick_site >= 0) {
        b->now_us = MAX(b->now_us, at);
    }
    return best;
}

void
Fw_IdemEnv_Advance(struct fw_idem_env *b, int64_t us)
{
    int64_t until = b->now_us + us;
    int steps = 0;

    for (;;) {
        int site;
        struct fw_idem_env_delivery *m = next_mail(b, until, &site);

        if (++steps > 200000) {
            breach(b, "the instances never come to rest", "-");
            return;
        }
        if (m) {
            deliver(b, m);
            g_ptr_array_remove(b->deliveries, m);
        }
        else if (site >= 0) {
            tick(b, site);
        }
        else {
            break;
        }
    }
    b->now_us = until;
}
