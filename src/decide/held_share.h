/*
 * Shares of a byte budget: how much a connection may hold, and how much may
 * wait for one server, given what is held by all.
 *
 * The limit of a connection is half of what is free, so that a few large
 * holders may use much while memory is free, and the largest are the first to
 * exceed the limit as it fills. N holders that never give anything back reach
 * N / (N + 2) of the shared part of the budget. The rest of the budget is for
 * connections that hold little.
 */
#ifndef FW_DECIDE_HELD_SHARE_H
#define FW_DECIDE_HELD_SHARE_H

#include <stddef.h>

/* What a connection may hold in any case; less when the budget is nearly used.
 */
#define FW_HELD_SMALL_BYTES (16 * 1024)
/*
 * The least of this until the budget is used entirely: the head of an ordinary
 * request, which can then be rejected.
 */
#define FW_HELD_HEAD_BYTES (2 * 1024)
/* What may wait for one server in any case. */
#define FW_HELD_SERVER_BYTES (64 * 1024)

/** enum fw_held_level - how much of a budget is used. */
enum fw_held_level {
    FW_HELD_FREE,
    FW_HELD_FILLING, /* large holders are paused */
    FW_HELD_FULL,    /* new requests are rejected */
};

/** enum fw_held_admission - whether bytes of a new request may be held. */
enum fw_held_admission {
    FW_HELD_ADMITTED,
    FW_HELD_NO_ROOM,
    FW_HELD_TOO_LARGE, /* even if nothing else were held */
};

/**
 * struct fw_held_use - a budget and its use.
 * @budget: bytes, 0 for no bound
 * @used: bytes held by all
 * @waiting: bytes that wait for servers, of all servers
 */
struct fw_held_use {
    size_t budget;
    size_t used;
    size_t waiting;
};

/**
 * struct fw_held_connections - connections that are open, and their bound.
 * @most: of all, 0 for no bound
 * @open: of all
 * @callers: of callers whose request is served
 */
struct fw_held_connections {
    int most;
    int open;
    int callers;
};

enum fw_held_level
Fw_HeldShare_Level(const struct fw_held_use *u);
/* Bytes that one connection may hold; SIZE_MAX without a budget. */
size_t
Fw_HeldShare_Limit(const struct fw_held_use *u);
/* Whether a connection that holds @own may hold @more for a new request. */
enum fw_held_admission
Fw_HeldShare_Admit(const struct fw_held_use *u, size_t own, size_t more);
/* Whether one more connection to an upstream may be opened. */
int
Fw_HeldShare_MayOpen(const struct fw_held_connections *c);
/* Whether one more may be accepted, if only to reject its request. */
int
Fw_HeldShare_MayAccept(const struct fw_held_connections *c);
/* Whether idle connections of callers should be closed for new ones. */
int
Fw_HeldShare_IsCrowded(const struct fw_held_connections *c);
/* Whether one more request may be served rather than rejected. */
int
Fw_HeldShare_MayServe(const struct fw_held_connections *c);
/* Bytes that may wait for one server; SIZE_MAX without a budget. */
size_t
Fw_HeldShare_ServerLimit(const struct fw_held_use *u);

#endif
