/* Admission of callers' requests, up to the team's token budget. */
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "request/request_internal.h"

static const struct fw_config *
config_of(const struct fw_requests *rs)
{
    return Fw_ConfigReplica_Config(rs->deps.replica);
}

static void
add_model(JsonBuilder *b, GHashTable *seen, const struct fw_served_model *s)
{
    char *id = s->adapter[0] ? g_strdup_printf("%s+%s", s->model, s->adapter)
                             : g_strdup(s->model);

    if (!g_hash_table_add(seen, id)) {
        return;
    }
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "id");
    json_builder_add_string_value(b, id);
    json_builder_set_member_name(b, "object");
    json_builder_add_string_value(b, "model");
    json_builder_set_member_name(b, "created");
    json_builder_add_int_value(b, 0);
    json_builder_set_member_name(b, "owned_by");
    json_builder_add_string_value(b, "fuchsiaward");
    json_builder_end_object(b);
}

/* JSON list of the models that are served and that @team may use. */
static char *
model_list(const struct fw_config *cfg, const struct fw_team *team)
{
    JsonBuilder *b = json_builder_new();
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer value;
    JsonNode *root;
    char *text;

    json_builder_begin_object(b);
    json_builder_set_member_name(b, "object");
    json_builder_add_string_value(b, "list");
    json_builder_set_member_name(b, "data");
    json_builder_begin_array(b);
    g_hash_table_iter_init(&it, cfg->pools);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_pool *pool = value;
        for (int i = 0; i < pool->n_serves; i++) {
            if (Fw_Config_TeamAllowsModel(team, pool->serves[i].model)) {
                add_model(b, seen, &pool->serves[i]);
            }
        }
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    root = json_builder_get_root(b);
    text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(b);
    g_hash_table_unref(seen);
    return text;
}

static void
answer_models(const struct fw_requests *rs, const struct fw_call *call,
              const struct fw_team *team, struct fw_actions *out)
{
    struct fw_call_response *a =
        &Fw_Actions_Add(out, FW_ACT_CALL_RESPONSE)->u.answer;
    char *text = model_list(config_of(rs), team);

    a->call = call->call;
    a->status = 200;
    a->ran = FW_RAN_NO;
    g_strlcpy(a->content_type, "application/json", sizeof(a->content_type));
    g_strlcpy(a->request_id, call->request_id, sizeof(a->request_id));
    a->body = g_bytes_new_take(text, strlen(text));
}

static uint64_t
fingerprint(const struct fw_call *call)
{
    gsize size = 0;
    const void *data = g_bytes_get_data(call->prompt, &size);

    return Fw_Hash_Bytes(data, size, Fw_Hash_Str(call->model));
}

static struct fw_request *
new_completion(struct fw_requests *rs, const struct fw_call *call,
               const struct fw_team *team, int64_t now_us)
{
    struct fw_request *rq = Fw_Request_FromCall(rs, call, team, now_us);

    g_strlcpy(rq->model, call->model, sizeof(rq->model));
    rq->body = g_bytes_ref(call->prompt);
    rq->fingerprint = fingerprint(call);
    rq->prompt_tokens = call->prompt_tokens;
    rq->max_tokens =
        call->max_tokens > 0 ? call->max_tokens : rs->deps.max_tokens_default;
    rq->deadline_us = call->deadline_us;
    if (call->request_id[0]) {
        rq->key = Fw_Join_Key(rq->team, rq->id);
    }
    return rq;
}

/* Subscribes the caller to the request of its team with the same id, if that
 * is known to this instance. Return: nonzero when it was. */
static int
join_local(struct fw_requests *rs, const struct fw_call *call,
           const struct fw_team *team, struct fw_actions *out)
{
    uint64_t key;
    struct fw_request *rq;

    if (!call->request_id[0]) {
        return 0;
    }
    key = Fw_Join_Key(team->name, call->request_id);
    rq = g_hash_table_lookup(rs->by_key, &key);
    if (!rq || strcmp(rq->team, team->name) != 0 ||
        strcmp(rq->id, call->request_id) != 0) {
        return 0;
    }
    rs->counters.joined.value++;
    if (rq->stage != FW_STAGE_DONE && Fw_List_Empty(&rq->subscribers)) {
        rq->stage_deadline_us = 0; /* it was waiting out FW_REJOIN_GRACE_US */
    }
    Fw_Subscriber_AddCall(rs, rq, call->call);
    Fw_Subscriber_Flush(rs, rq, out);
    return 1;
}

static void
open_completion(struct fw_requests *rs, const struct fw_call *call,
                const struct fw_team *team, int64_t now_us,
                struct fw_actions *out)
{
    int64_t quarantine_us;
    struct fw_request *rq;

    if (!Fw_Config_TeamAllowsModel(team, call->model) ||
        !Fw_Config_HasModel(config_of(rs), call->model)) {
        Fw_Request_Refuse(out, call, 404, "model_not_found",
                          "no such model for this team", 0);
        return;
    }
    if (call->prompt_tokens > rs->deps.prompt_tokens_max) {
        Fw_Request_Refuse(out, call, 413, "prompt_too_long",
                          "the prompt is longer than is served", 0);
        return;
    }
    if (join_local(rs, call, team, out)) {
        return;
    }
    rq = new_completion(rs, call, team, now_us);
    quarantine_us =
        Fw_Poison_RemainingUs(&rs->poison, rq->fingerprint, now_us);
    if (quarantine_us > 0) {
        rs->counters.quarantined.value++;
        Fw_Request_Fail(rs, rq, 422, "quarantined",
                        "engines were lost while running this request",
                        quarantine_us, now_us, out);
        return;
    }
    if (rq->key) {
        g_hash_table_replace(rs->by_key, &rq->key, rq);
        Fw_Join_LookUpOwner(rs, rq, now_us, out);
        return;
    }
    Fw_Request_AcquireBudget(rs, rq, now_us, out);
}

void
Fw_Requests_Open(struct fw_requests *rs, const struct fw_call *call,
                 int64_t now_us, struct fw_actions *out)
{
    const struct fw_team *team =
        call->key ? Fw_Config_FindTeamByKey(config_of(rs), call->key) : NULL;

    if (!team) {
        Fw_Request_Refuse(out, call, 401, "unauthorized",
                          "no valid key came with the request", 0);
        return;
    }
    switch (call->kind) {
    case FW_CALL_MODELS:
        answer_models(rs, call, team, out);
        break;
    case FW_CALL_COMPLETION:
        open_completion(rs, call, team, now_us, out);
        break;
    case FW_CALL_SERVICE:
        Fw_Service_Open(rs, call, team, now_us, out);
        break;
    }
}

void
Fw_Request_AcquireBudget(struct fw_requests *rs, struct fw_request *rq,
                         int64_t now_us, struct fw_actions *out)
{
    const struct fw_team *team = Fw_Config_FindTeam(config_of(rs), rq->team);

    rq->stage_deadline_us = 0;
    if (!team) {
        Fw_Request_Fail(rs, rq, 401, "unauthorized", "the team is gone", 0,
                        now_us, out);
        return;
    }
    rq->stage = FW_STAGE_BUDGET;
    rq->granted_tokens = rq->prompt_tokens + rq->max_tokens;
    Fw_Limit_Request(rs->deps.limit, team, rq->ticket, rq->granted_tokens,
                     now_us, out);
}

void
Fw_Requests_OnBudget(struct fw_requests *rs, const struct fw_limit_answer *ans,
                     int64_t now_us, struct fw_actions *out)
{
    struct fw_request *rq = Fw_Request_ByTicket(rs, ans->ticket);

    if (!rq || rq->stage != FW_STAGE_BUDGET) {
        return;
    }
    if (!ans->granted) {
        rq->granted_tokens = 0;
        Fw_Request_Fail(rs, rq, 429, "rate_limited",
                        "the team's rate and burst are used up",
                        ans->retry_after_us, now_us, out);
        return;
    }
    Fw_Request_Trace(rs, rq, now_us, "granted %" PRId64 " tokens",
                     rq->granted_tokens);
    Fw_Request_Enqueue(rs, rq, now_us, out);
}
