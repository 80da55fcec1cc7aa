/* Actions: the output of the core, carried out by the I/O shell. */
#ifndef FW_CORE_ACTION_H
#define FW_CORE_ACTION_H

#include "base/list.h"
#include "core/call.h"
#include "core/log.h"
#include "core/msg.h"
#include "core/up.h"

/** enum fw_action_kind - tag of struct fw_action. */
enum fw_action_kind {
    FW_ACT_CALL_START,
    FW_ACT_CALL_TOKEN,
    FW_ACT_CALL_END,
    FW_ACT_CALL_FAIL,
    FW_ACT_CALL_RESPONSE,
    FW_ACT_UP_START,
    FW_ACT_UP_STOP, /* abort a running upstream call by closing its connection
                     */
    FW_ACT_PEER_SEND,
    FW_ACT_LOG_APPEND,
    FW_ACT_LOG_READ,
    FW_ACT_REGISTRY_READ,
    FW_ACT_NOTE, /* write a log line to standard error */
    FW_ACT_EXIT, /* draining is complete: exit with status 0 */
};

/**
 * struct fw_peer_send - a message to a peer, sent at most once: it is neither
 * acknowledged nor retried.
 * @to: name of the receiving instance
 * @addr: its "ip:port"
 * @msg: owned by the action
 */
struct fw_peer_send {
    char to[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    struct fw_msg msg;
};

#define FW_NOTE_FIELDS_MAX 10

struct fw_note_field {
    const char *name; /* string literal */
    char *value;      /* owned by the action */
};

/**
 * struct fw_note - one structured log line.
 * @severity: syslog severity, 0 to 7
 * @event: string literal, e.g. "upstream_lost"
 * @n: number of @fields in use
 */
struct fw_note {
    int severity;
    const char *event;
    int n;
    struct fw_note_field fields[FW_NOTE_FIELDS_MAX];
};

/** struct fw_action - one action; @kind selects the member of @u. */
struct fw_action {
    enum fw_action_kind kind;
    struct fw_list link;
    union {
        struct fw_call_start start;
        struct fw_call_token piece;
        struct fw_call_end end;
        struct fw_call_fail fail;
        struct fw_call_response answer;
        struct fw_up_start up;
        uint64_t stop; /* op of the call to abort */
        struct fw_peer_send send;
        struct fw_log_append append;
        struct fw_log_read read;
        struct fw_note note;
    } u;
};

/**
 * struct fw_actions - the actions of one step, in order.
 * @wake_us: monotonic time by which a tick is due, INT64_MAX for none
 */
struct fw_actions {
    struct fw_list all;
    int64_t wake_us;
};

void
Fw_Actions_Init(struct fw_actions *out);
/* Frees all actions and what they own, and resets the wake-up time. */
void
Fw_Actions_Clear(struct fw_actions *out);
/*
 * Removes and returns the first action, which the caller must free with
 * Fw_Action_Free; NULL when the list is empty.
 */
struct fw_action *
Fw_Actions_Pop(struct fw_actions *out);
void
Fw_Action_Free(struct fw_action *a);

/* Appends a zeroed action of @kind to @out, which owns it. */
struct fw_action *
Fw_Actions_Add(struct fw_actions *out, enum fw_action_kind kind);
/* Requests a tick at monotonic time @at_us or earlier. */
void
Fw_Actions_Wake(struct fw_actions *out, int64_t at_us);

/* Sends @msg to a peer. What @msg owns is moved into the action. */
void
Fw_Actions_SendPeer(struct fw_actions *out, const char *to, const char *addr,
                    const struct fw_msg *msg);

/*
 * Appends @records, which are copied, to a stream of the platform's log.
 * @ticket is returned with the result.
 */
void
Fw_Actions_AppendLog(struct fw_actions *out, uint64_t ticket,
                     const char *stream, const char *const *records, int n);
/* Reads a stream of the platform's log; see struct fw_log_read. */
void
Fw_Actions_ReadLog(struct fw_actions *out, uint64_t ticket, const char *stream,
                   uint64_t from, int max_records, int64_t wait_us);

/**
 * Fw_Actions_Note - writes a structured log line.
 * @severity: syslog severity (LOG_INFO ...)
 * @event: string literal
 *
 * @event is followed by pairs of a field name (string literal) and a value
 * (string, copied), terminated by NULL. Pairs beyond FW_NOTE_FIELDS_MAX are
 * dropped.
 */
void
Fw_Actions_Note(struct fw_actions *out, int severity, const char *event, ...)
    __attribute__((sentinel));

#endif
