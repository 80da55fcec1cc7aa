/*
 * Messages of the route subsystem between instances: requests for
 * reservations to the coordinators of engines, their replies, and releases.
 *
 * To keep messages small, engines are identified by the hash of their name
 * (Fw_Hash_Str), and model versions, failure domains and prefixes by the low
 * 32 bits of a hash. A collision costs a refusal or a wrong estimate of what
 * is cached. Times are durations in microseconds, since the clocks of
 * instances are not synchronized.
 */
#ifndef FW_ROUTE_MSG_H
#define FW_ROUTE_MSG_H

#include <msgpack.h>
#include <stdint.h>

#define FW_ROUTE_ITEMS_MAX 2
#define FW_ROUTE_LOADS_MAX 1
#define FW_ROUTE_LEAVING_MAX 3
#define FW_PREFIX_LEVELS 6

/** enum fw_route_msg_kind - message type, a wire value. */
enum fw_route_msg_kind {
    FW_ROUTE_NONE,
    FW_ROUTE_RESERVE,
    FW_ROUTE_REPLY,
    FW_ROUTE_RELEASE,
};

/** enum fw_reserve_status - outcome of a reservation, a wire value. */
enum fw_reserve_status {
    FW_RESERVE_GRANTED,
    FW_RESERVE_FULL,       /* no slot or KV memory, or too long a queue */
    FW_RESERVE_NO_REPORT,  /* the engine has not reported its load */
    FW_RESERVE_NOT_SERVED, /* the engine has another model version or role */
    FW_RESERVE_LEAVING,    /* the engine is leaving */
    FW_RESERVE_STATUSES,
};

/**
 * struct fw_prefixes - hashes of a prompt's first 1,024, 2,048, 4,096 ...
 * bytes, as far as it is that long.
 */
struct fw_prefixes {
    int n;
    uint64_t hash[FW_PREFIX_LEVELS]; /* low 32 bits */
};

/**
 * struct fw_reserve_item - the reservation requested on one engine.
 * @is_prefill: nonzero for a prefill, 0 for a decode slot
 * @exclusive: no other request may run on the engine meanwhile
 * @serving: hash of "model@version" or "model@version+adapter"
 * @tokens: prompt tokens; for a decode slot, output tokens in addition
 * @need_us: decode: time from now until the KV has arrived
 * @from_domain: decode: hash of the prefill engine's failure domain
 * @transfer_us: decode: expected time of the KV transfer from that domain
 * @prefixes: prefill: prefixes of the prompt
 */
struct fw_reserve_item {
    uint64_t engine;
    int is_prefill;
    int exclusive;
    uint64_t serving;
    int64_t tokens;
    int64_t need_us;
    uint64_t from_domain;
    int64_t transfer_us;
    struct fw_prefixes prefixes;
};

/**
 * struct fw_reserve_result - the reply to one struct fw_reserve_item.
 * @wait_us: if granted, the time until prefill begins, or until the KV link
 *           is free; if full, the time after which to try again
 * @cached_tokens: prefill: prompt tokens expected in the engine's prefix cache
 * @free_slots: decode: free slots left after this reservation
 */
struct fw_reserve_result {
    uint64_t engine;
    enum fw_reserve_status status;
    int64_t wait_us;
    int64_t cached_tokens;
    int64_t free_slots;
};

/**
 * struct fw_route_load - load of an engine that the sender coordinates.
 * @wait_us: time until a new prefill would begin
 * @free_slots: free decode slots
 */
struct fw_route_load {
    uint64_t engine;
    int64_t wait_us;
    int64_t free_slots;
};

/**
 * struct fw_route_leaving - engines that the sender itself knows to be
 * leaving, see Fw_Engine_IsConfirmedLeaving().
 */
struct fw_route_leaving {
    int n;
    uint64_t engine[FW_ROUTE_LEAVING_MAX];
};

/**
 * struct fw_route_reserve - a request for reservations.
 * @round_id: the sender's number for the round of reservations
 */
struct fw_route_reserve {
    uint64_t round_id;
    int n;
    struct fw_reserve_item item[FW_ROUTE_ITEMS_MAX];
    struct fw_route_leaving leaving;
};

/**
 * struct fw_route_reply - results for a struct fw_route_reserve.
 * @round_id: the round of the request
 */
struct fw_route_reply {
    uint64_t round_id;
    int n;
    struct fw_reserve_result result[FW_ROUTE_ITEMS_MAX];
    int n_loads;
    struct fw_route_load load[FW_ROUTE_LOADS_MAX];
    struct fw_route_leaving leaving;
};

/**
 * struct fw_route_release - releases one reservation.
 * @round_id: the round in which it was requested
 * @cached_tokens: for a computed prefill, prompt tokens found in the cache;
 *          -1 for a prefill that was not started, and for a decode slot
 */
struct fw_route_release {
    uint64_t round_id;
    uint64_t engine;
    int64_t cached_tokens;
};

/** struct fw_route_msg - a message; @kind selects the member, owns nothing. */
struct fw_route_msg {
    enum fw_route_msg_kind kind;
    union {
        struct fw_route_reserve reserve;
        struct fw_route_reply reply;
        struct fw_route_release release;
    } u;
};

void
Fw_Route_PackMsg(msgpack_packer *pk, const struct fw_route_msg *msg);
/* Return: 0, or -EBADMSG; then @msg need not be cleared. */
int
Fw_Route_UnpackMsg(const msgpack_object *obj, struct fw_route_msg *msg);
void
Fw_Route_ClearMsg(struct fw_route_msg *msg);

#endif
