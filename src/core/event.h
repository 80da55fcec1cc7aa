/* Events: the input of the core, delivered by the I/O shell. */
#ifndef FW_CORE_EVENT_H
#define FW_CORE_EVENT_H

#include "core/call.h"
#include "core/log.h"
#include "core/msg.h"
#include "core/up.h"

/** enum fw_event_kind - tag of struct fw_event. */
enum fw_event_kind {
    FW_EV_TICK,         /* the wake_us of fw_actions is due */
    FW_EV_CALL_OPEN,    /* a caller's request */
    FW_EV_CALL_CLOSED,  /* the caller's connection was closed */
    FW_EV_UP,           /* progress or result of an upstream call */
    FW_EV_PEER,         /* a message from an authenticated peer */
    FW_EV_LOG_APPENDED, /* result of an append to the platform's log */
    FW_EV_LOG_RECORDS,  /* result of a read of the platform's log */
    FW_EV_REGISTRY,     /* contents of the platform's registry */
    FW_EV_OPERATOR,     /* a request on the operators' port */
    FW_EV_DRAIN,        /* SIGTERM: drain, then exit */
};

/**
 * struct fw_event_peer - a message from another instance.
 * @from: authenticated name of the sender
 * @boot: boot id of the sending process, see struct fw_self
 * @msg: owned by the I/O shell
 */
struct fw_event_peer {
    char from[FW_NAME_MAX];
    uint64_t boot;
    struct fw_msg *msg;
};

/**
 * struct fw_operator_call - a request on the operators' port, answered by
 * FW_ACT_CALL_RESPONSE with the same @call.
 * @key: API key or NULL; valid for the current step only, never logged
 * @path: with query, e.g. "/v1/show/teams?name=a"
 * @body: may be NULL
 */
struct fw_operator_call {
    uint64_t call;
    char method[16];
    const char *key;
    const char *path;
    GBytes *body;
};

/** struct fw_event - one event; @kind selects the member of @u. */
struct fw_event {
    enum fw_event_kind kind;
    union {
        struct fw_call open;
        uint64_t closed; /* call handle */
        struct fw_up_event up;
        struct fw_event_peer peer;
        struct fw_log_appended appended;
        struct fw_log_records records;
        struct fw_registry_snapshot listed;
        struct fw_operator_call oper;
    } u;
};

#endif
