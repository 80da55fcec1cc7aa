#include "core/action.h"

#include <stdarg.h>
#include <stdint.h>

void
Fw_Actions_Init(struct fw_actions *out)
{
    Fw_List_Init(&out->all);
    out->wake_us = INT64_MAX;
}

static void
clear_up(struct fw_up_start *up)
{
    switch (up->kind) {
    case FW_UP_PREFILL:
        g_bytes_unref(up->u.prefill.prompt);
        break;
    case FW_UP_SERVICE:
        g_free(up->u.service.path);
        g_bytes_unref(up->u.service.body);
        break;
    case FW_UP_IMPORT:
    case FW_UP_DECODE:
    case FW_UP_RESUME:
    case FW_UP_CANCEL:
    case FW_UP_LOAD_REPORT:
    case FW_UP_LIST_REQUESTS:
    case FW_UP_CACHE_EVENTS:
    case FW_UP_ORDER:
        break;
    }
}

static void
clear_append(struct fw_log_append *append)
{
    for (int i = 0; i < append->n; i++) {
        g_free(append->records[i]);
    }
    g_free(append->records);
}

static void
clear_note(struct fw_note *note)
{
    for (int i = 0; i < note->n; i++) {
        g_free(note->fields[i].value);
    }
}

void
Fw_Action_Free(struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_TOKEN:
        g_free(a->u.piece.text);
        break;
    case FW_ACT_CALL_RESPONSE:
        g_bytes_unref(a->u.answer.body);
        break;
    case FW_ACT_UP_START:
        clear_up(&a->u.up);
        break;
    case FW_ACT_PEER_SEND:
        Fw_Msg_Clear(&a->u.send.msg);
        break;
    case FW_ACT_LOG_APPEND:
        clear_append(&a->u.append);
        break;
    case FW_ACT_NOTE:
        clear_note(&a->u.note);
        break;
    case FW_ACT_CALL_START:
    case FW_ACT_CALL_END:
    case FW_ACT_CALL_FAIL:
    case FW_ACT_UP_STOP:
    case FW_ACT_LOG_READ:
    case FW_ACT_REGISTRY_READ:
    case FW_ACT_EXIT:
        break;
    }
    g_free(a);
}

struct fw_action *
Fw_Actions_Pop(struct fw_actions *out)
{
    struct fw_action *a;

    if (Fw_List_Empty(&out->all)) {
        return NULL;
    }
    a = FW_LIST_ENTRY(out->all.next, struct fw_action, link);
    Fw_List_Remove(&a->link);
    return a;
}

void
Fw_Actions_Clear(struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        Fw_Action_Free(a);
    }
    out->wake_us = INT64_MAX;
}

struct fw_action *
Fw_Actions_Add(struct fw_actions *out, enum fw_action_kind kind)
{
    struct fw_action *a = g_new0(struct fw_action, 1);

    a->kind = kind;
    Fw_List_Append(&out->all, &a->link);
    return a;
}

void
Fw_Actions_Wake(struct fw_actions *out, int64_t at_us)
{
    out->wake_us = MIN(out->wake_us, at_us);
}

void
Fw_Actions_SendPeer(struct fw_actions *out, const char *to, const char *addr,
                    const struct fw_msg *msg)
{
    struct fw_action *a = Fw_Actions_Add(out, FW_ACT_PEER_SEND);

    g_strlcpy(a->u.send.to, to, sizeof(a->u.send.to));
    g_strlcpy(a->u.send.addr, addr, sizeof(a->u.send.addr));
    a->u.send.msg = *msg;
}

void
Fw_Actions_AppendLog(struct fw_actions *out, uint64_t ticket,
                     const char *stream, const char *const *records, int n)
{
    struct fw_log_append *p =
        &Fw_Actions_Add(out, FW_ACT_LOG_APPEND)->u.append;

    p->ticket = ticket;
    g_strlcpy(p->stream, stream, sizeof(p->stream));
    p->n = n;
    p->records = g_new(char *, n);
    for (int i = 0; i < n; i++) {
        p->records[i] = g_strdup(records[i]);
    }
}

void
Fw_Actions_ReadLog(struct fw_actions *out, uint64_t ticket, const char *stream,
                   uint64_t from, int max_records, int64_t wait_us)
{
    struct fw_log_read *p = &Fw_Actions_Add(out, FW_ACT_LOG_READ)->u.read;

    p->ticket = ticket;
    g_strlcpy(p->stream, stream, sizeof(p->stream));
    p->from_offset = from;
    p->max_records = max_records;
    p->wait_us = wait_us;
}

void
Fw_Actions_Note(struct fw_actions *out, int severity, const char *event, ...)
{
    struct fw_note *note = &Fw_Actions_Add(out, FW_ACT_NOTE)->u.note;
    const char *name;
    va_list ap;

    note->severity = severity;
    note->event = event;
    va_start(ap, event);
    while (note->n < FW_NOTE_FIELDS_MAX && (name = va_arg(ap, const char *))) {
        note->fields[note->n].name = name;
        note->fields[note->n].value = g_strdup(va_arg(ap, const char *));
        note->n++;
    }
    va_end(ap);
}
