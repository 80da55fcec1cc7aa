#include "rig.h"

#include <errno.h>
#include <string.h>

static char *
replica_name(int i)
{
    return g_strdup_printf("node%d", i);
}

static struct fw_config_replica *
new_replica(const struct fw_rig *rig, int i)
{
    char *name = replica_name(i);
    struct fw_config_replica *rep = Fw_ConfigReplica_New(
        name, (uint32_t)(i + 1 + rig->now / FW_RIG_STEP_US), NULL, rig->now);

    g_free(name);
    return rep;
}

static void
free_answer(void *data)
{
    struct fw_rig_answer *a = data;

    g_free(a->body);
    g_free(a);
}

static struct fw_operate *
new_operate(struct fw_rig *rig, int i)
{
    struct fw_self *self = &rig->selves[i];
    char *name = replica_name(i);

    g_strlcpy(self->name, name, sizeof(self->name));
    self->boot = 1764748800000;
    g_free(name);
    return Fw_Operate_New(self, (uint32_t)i + 100, NULL, rig->now);
}

static struct fw_operate_view
view_of(const struct fw_rig *rig, int i)
{
    return (struct fw_operate_view){.self = &rig->selves[i],
                                    .replica = rig->replicas[i]};
}

struct fw_rig *
Fw_Rig_New(int n)
{
    struct fw_rig *rig = g_new0(struct fw_rig, 1);

    rig->n = n;
    rig->now = FW_SEC;
    rig->config.records = g_ptr_array_new_with_free_func(g_free);
    rig->snapshot.records = g_ptr_array_new_with_free_func(g_free);
    rig->notes = g_hash_table_new(g_str_hash, g_str_equal);
    rig->answers = g_ptr_array_new_with_free_func(free_answer);
    for (int i = 0; i < n; i++) {
        rig->replicas[i] = new_replica(rig, i);
        rig->operates[i] = new_operate(rig, i);
    }
    return rig;
}

void
Fw_Rig_Free(struct fw_rig *rig)
{
    for (int i = 0; i < rig->n; i++) {
        Fw_Operate_Free(rig->operates[i]);
        Fw_ConfigReplica_Free(rig->replicas[i]);
    }
    g_ptr_array_unref(rig->answers);
    g_ptr_array_unref(rig->config.records);
    g_ptr_array_unref(rig->snapshot.records);
    g_hash_table_unref(rig->notes);
    g_free(rig);
}

void
Fw_Rig_Restart(struct fw_rig *rig, int i)
{
    Fw_ConfigReplica_Free(rig->replicas[i]);
    rig->replicas[i] = new_replica(rig, i);
    memset(rig->reads[i], 0, sizeof(rig->reads[i]));
}

uint64_t
Fw_Rig_Append(struct fw_rig_stream *s, const char *text)
{
    g_ptr_array_add(s->records, g_strdup(text));
    return s->records->len;
}

uint64_t
Fw_Rig_SetRate(struct fw_rig *rig, const char *id, const char *name, int rate,
               uint64_t was)
{
    char *text = g_strdup_printf(
        "{\"v\":1,\"id\":\"%s\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
        "{\"kind\":\"team\",\"name\":\"%s\",\"was\":%" G_GUINT64_FORMAT
        ",\"value\":{\"rate\":%d,\"burst\":9}}]}",
        id, name, was, rate);
    uint64_t offset = Fw_Rig_Append(&rig->config, text);

    g_free(text);
    return offset;
}

void
Fw_Rig_Expire(struct fw_rig_stream *s, uint64_t keep)
{
    if (s->records->len > keep) {
        s->n_expired = s->records->len - keep;
    }
}

static struct fw_rig_stream *
stream_of(struct fw_rig *rig, const char *name)
{
    return strcmp(name, FW_STREAM_CONFIG) == 0 ? &rig->config : &rig->snapshot;
}

static void
execute_actions(struct fw_rig *rig, int i, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        Fw_Rig_Execute(rig, i, a);
    }
}

static void
answer_read(struct fw_rig *rig, int i, struct fw_rig_read *p, int err)
{
    const struct fw_rig_stream *s = stream_of(rig, p->read.stream);
    struct fw_log_records r = {.ticket = p->read.ticket,
                               .err = err,
                               .sent_us = p->sent_us,
                               .oldest_offset = s->n_expired + 1,
                               .end_offset = s->records->len + 1};
    struct fw_actions out;

    g_strlcpy(r.stream, p->read.stream, sizeof(r.stream));
    p->open = 0;
    r.first_offset =
        MIN(MAX(p->read.from_offset, r.oldest_offset), r.end_offset);
    r.n =
        (int)MIN((uint64_t)p->read.max_records, r.end_offset - r.first_offset);
    r.records = (const char *const *)s->records->pdata + (r.first_offset - 1);
    Fw_Actions_Init(&out);
    Fw_ConfigReplica_OnRecords(rig->replicas[i], &r, rig->now, &out);
    execute_actions(rig, i, &out);
}

static void
serve_reads(struct fw_rig *rig, int i)
{
    for (int k = 0; k < 4; k++) {
        struct fw_rig_read *p = &rig->reads[i][k];
        const struct fw_rig_stream *s;

        if (!p->open) {
            continue;
        }
        s = stream_of(rig, p->read.stream);
        if (rig->log_down || rig->partitioned[i]) {
            answer_read(rig, i, p, -EIO);
        }
        else if (p->read.from_offset <= s->records->len ||
                 rig->now >= p->sent_us + p->read.wait_us) {
            answer_read(rig, i, p, 0);
        }
    }
}

static void
store_read(struct fw_rig *rig, int i, const struct fw_log_read *read)
{
    for (int k = 0; k < 4; k++) {
        if (!rig->reads[i][k].open) {
            rig->reads[i][k] = (struct fw_rig_read){
                .read = *read, .sent_us = rig->now, .open = 1};
            return;
        }
    }
    g_error("too many pending reads");
}

static void
append(struct fw_rig *rig, int i, const struct fw_log_append *p)
{
    struct fw_rig_stream *s = stream_of(rig, p->stream);
    struct fw_log_appended done = {.ticket = p->ticket,
                                   .first_offset = s->records->len + 1};
    struct fw_actions out;

    g_strlcpy(done.stream, p->stream, sizeof(done.stream));
    if (rig->log_down || rig->partitioned[i]) {
        done.err = -EAGAIN;
    }
    if (!done.err && rig->drop_appends > 0) {
        rig->drop_appends--;
        done.err = -EIO;
    }
    for (int k = 0; k < p->n && !done.err; k++) {
        Fw_Rig_Append(s, p->records[k]);
    }
    if (!done.err && rig->lose_appends > 0) {
        rig->lose_appends--;
        done.err = -EIO;
    }
    Fw_Actions_Init(&out);
    if (Fw_Owner_Of(p->ticket) == FW_OWNER_OPERATE) {
        struct fw_operate_view view = view_of(rig, i);

        Fw_Operate_OnAppended(rig->operates[i], &view, &done, rig->now, &out);
    }
    else {
        Fw_ConfigReplica_OnAppended(rig->replicas[i], &done, rig->now, &out);
    }
    execute_actions(rig, i, &out);
}

/* Delivers a message, encoded and decoded as on the wire. */
static void
send_msg(struct fw_rig *rig, int i, const struct fw_peer_send *p)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;
    msgpack_unpacked msg;
    struct fw_msg got;
    struct fw_actions out;
    char *from = replica_name(i);
    int to = p->to[4] - '0';

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &p->msg);
    msgpack_unpacked_init(&msg);
    g_assert_true(msgpack_unpack_next(&msg, buf.data, buf.size, NULL) ==
                  MSGPACK_UNPACK_SUCCESS);
    g_assert_true(Fw_Msg_Unpack(&msg.data, &got) == 0);
    Fw_Actions_Init(&out);
    if (!rig->partitioned[i] && !rig->partitioned[to]) {
        Fw_ConfigReplica_OnMsg(rig->replicas[to], from, "addr", &got.u.config,
                               rig->now, &out);
        execute_actions(rig, to, &out);
    }
    Fw_Msg_Clear(&got);
    msgpack_unpacked_destroy(&msg);
    msgpack_sbuffer_destroy(&buf);
    g_free(from);
}

static void
update_operate(struct fw_rig *rig, int i)
{
    struct fw_operate_view view = view_of(rig, i);
    struct fw_actions out;

    Fw_Actions_Init(&out);
    Fw_Operate_AnswerPending(rig->operates[i], &view, rig->now, &out);
    execute_actions(rig, i, &out);
}

void
Fw_Rig_Call(struct fw_rig *rig, int i, uint64_t call, const char *method,
            const char *path, const char *key, const char *body)
{
    struct fw_operate_view view = view_of(rig, i);
    struct fw_operator_call c = {.call = call, .path = path, .key = key};
    struct fw_actions out;

    g_strlcpy(c.method, method, sizeof(c.method));
    c.body = body ? g_bytes_new_static(body, strlen(body)) : NULL;
    Fw_Actions_Init(&out);
    Fw_Operate_HandleCall(rig->operates[i], &view, &c, rig->now, &out);
    execute_actions(rig, i, &out);
    if (c.body) {
        g_bytes_unref(c.body);
    }
}

static void
store_answer(struct fw_rig *rig, const struct fw_call_response *a)
{
    struct fw_rig_answer *kept = g_new0(struct fw_rig_answer, 1);
    size_t len;
    const char *text = g_bytes_get_data(a->body, &len);

    kept->call = a->call;
    kept->status = a->status;
    kept->body = g_strndup(text, len);
    g_ptr_array_add(rig->answers, kept);
}

const struct fw_rig_answer *
Fw_Rig_FindAnswer(const struct fw_rig *rig, uint64_t call)
{
    for (unsigned i = 0; i < rig->answers->len; i++) {
        const struct fw_rig_answer *a = g_ptr_array_index(rig->answers, i);

        if (a->call == call) {
            return a;
        }
    }
    return NULL;
}

void
Fw_Rig_Execute(struct fw_rig *rig, int i, struct fw_action *a)
{
    int n;

    switch (a->kind) {
    case FW_ACT_LOG_READ:
        store_read(rig, i, &a->u.read);
        break;
    case FW_ACT_LOG_APPEND:
        append(rig, i, &a->u.append);
        break;
    case FW_ACT_CALL_RESPONSE:
        store_answer(rig, &a->u.answer);
        break;
    case FW_ACT_PEER_SEND:
        send_msg(rig, i, &a->u.send);
        break;
    case FW_ACT_NOTE:
        n = GPOINTER_TO_INT(g_hash_table_lookup(rig->notes, a->u.note.event));
        g_hash_table_insert(rig->notes, (void *)a->u.note.event,
                            GINT_TO_POINTER(n + 1));
        break;
    default:
        break;
    }
    Fw_Action_Free(a);
}

void
Fw_Rig_Run(struct fw_rig *rig, int64_t us)
{
    int64_t until = rig->now + us;

    while (rig->now < until) {
        rig->now += FW_RIG_STEP_US;
        for (int i = 0; i < rig->n; i++) {
            struct fw_actions out;

            Fw_Actions_Init(&out);
            Fw_ConfigReplica_Tick(rig->replicas[i], rig->now, &out);
            execute_actions(rig, i, &out);
            serve_reads(rig, i);
            update_operate(rig, i);
        }
    }
}

int64_t
Fw_Rig_Rate(const struct fw_rig *rig, int i, const char *name)
{
    const struct fw_team *team =
        Fw_Config_FindTeam(Fw_ConfigReplica_Config(rig->replicas[i]), name);

    return team ? team->rate : -1;
}

int
Fw_Rig_CountNotes(const struct fw_rig *rig, const char *event)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(rig->notes, event));
}
