#include "decide/held_share.h"

#include <stdint.h>

/* The part that large holders share, in quarters of the budget. */
#define FW_SHARED_QUARTERS 3
/* Above this part of the budget, new requests are rejected. */
#define FW_FULL_SIXTEENTHS 15
/*
 * Requests that are served may have this part of the connections, as each
 * needs another one to its upstream. Beyond the second, idle callers are
 * closed for new ones; what is beyond the third is for upstreams only.
 */
#define FW_CALLER_EIGHTHS 3
#define FW_CROWDED_EIGHTHS 6
#define FW_ACCEPTED_EIGHTHS 7
/* The part of what is left until then that any connection may hold. */
#define FW_SMALL_HOLDERS 128

static size_t
shared_bytes(const struct fw_held_use *u)
{
    return u->budget / 4 * FW_SHARED_QUARTERS;
}

/* Half of what is free of the shared part when @used bytes are held. */
static size_t
half_of_free(const struct fw_held_use *u, size_t used)
{
    size_t shared = shared_bytes(u);

    return used < shared ? (shared - used) / 2 : 0;
}

static size_t
at_least(size_t n, size_t least)
{
    return n > least ? n : least;
}

static size_t
full_bytes(const struct fw_held_use *u)
{
    return u->budget / 16 * FW_FULL_SIXTEENTHS;
}

/* What a connection may hold whatever others hold. */
static size_t
small_bytes(const struct fw_held_use *u)
{
    size_t full = full_bytes(u);
    size_t part = u->used < full ? (full - u->used) / FW_SMALL_HOLDERS : 0;

    return part < FW_HELD_SMALL_BYTES ? at_least(part, FW_HELD_HEAD_BYTES)
                                      : FW_HELD_SMALL_BYTES;
}

enum fw_held_level
Fw_HeldShare_Level(const struct fw_held_use *u)
{
    if (!u->budget || u->used < u->budget / 2) {
        return FW_HELD_FREE;
    }
    return u->used < full_bytes(u) ? FW_HELD_FILLING : FW_HELD_FULL;
}

size_t
Fw_HeldShare_Limit(const struct fw_held_use *u)
{
    if (!u->budget) {
        return SIZE_MAX;
    }
    if (Fw_HeldShare_Level(u) == FW_HELD_FULL) {
        return u->used < u->budget ? FW_HELD_HEAD_BYTES : 0;
    }
    return at_least(half_of_free(u, u->used), small_bytes(u));
}

enum fw_held_admission
Fw_HeldShare_Admit(const struct fw_held_use *u, size_t own, size_t more)
{
    /* Half of the rest is free beside it. */
    size_t largest = at_least(shared_bytes(u) / 3, FW_HELD_SMALL_BYTES);
    size_t limit;

    if (!u->budget) {
        return FW_HELD_ADMITTED;
    }
    if (more > largest || own > largest - more) {
        return FW_HELD_TOO_LARGE;
    }
    limit = at_least(half_of_free(u, u->used + more), small_bytes(u));
    return Fw_HeldShare_Level(u) != FW_HELD_FULL && own + more <= limit
               ? FW_HELD_ADMITTED
               : FW_HELD_NO_ROOM;
}

int
Fw_HeldShare_MayOpen(const struct fw_held_connections *c)
{
    return !c->most || c->open < c->most;
}

int
Fw_HeldShare_MayAccept(const struct fw_held_connections *c)
{
    return !c->most || c->open < c->most / 8 * FW_ACCEPTED_EIGHTHS;
}

int
Fw_HeldShare_IsCrowded(const struct fw_held_connections *c)
{
    return c->most && c->open >= c->most / 8 * FW_CROWDED_EIGHTHS;
}

int
Fw_HeldShare_MayServe(const struct fw_held_connections *c)
{
    return !c->most || c->callers < c->most / 8 * FW_CALLER_EIGHTHS;
}

size_t
Fw_HeldShare_ServerLimit(const struct fw_held_use *u)
{
    return u->budget
               ? at_least(half_of_free(u, u->waiting), FW_HELD_SERVER_BYTES)
               : SIZE_MAX;
}
