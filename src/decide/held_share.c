#include "decide/held_share.h"

#include <stdint.h>

/* The part that large holders share, in quarters of the budget. */
#define FW_SHARED_QUARTERS 3
/* Above this part of the budget, new requests are rejected. */
#define FW_FULL_SIXTEENTHS 15

static size_t
shared_bytes(const struct fw_held_use *u)
{
    return u->budget / 4 * FW_SHARED_QUARTERS;
}

static size_t
at_least(size_t n, size_t least)
{
    return n > least ? n : least;
}

enum fw_held_level
Fw_HeldShare_Level(const struct fw_held_use *u)
{
    if (!u->budget || u->used < u->budget / 2) {
        return FW_HELD_FREE;
    }
    return u->used < u->budget / 16 * FW_FULL_SIXTEENTHS ? FW_HELD_FILLING
                                                         : FW_HELD_FULL;
}

size_t
Fw_HeldShare_Limit(const struct fw_held_use *u)
{
    size_t shared = shared_bytes(u);

    if (!u->budget) {
        return SIZE_MAX;
    }
    if (Fw_HeldShare_Level(u) == FW_HELD_FULL) {
        return u->used < u->budget ? FW_HELD_HEAD_BYTES : 0;
    }
    return at_least(u->used < shared ? (shared - u->used) / 2 : 0,
                    FW_HELD_SMALL_BYTES);
}

enum fw_held_admission
Fw_HeldShare_Admit(const struct fw_held_use *u, size_t own, size_t more)
{
    size_t largest = at_least(shared_bytes(u) / 2, FW_HELD_SMALL_BYTES);

    if (!u->budget) {
        return FW_HELD_ADMITTED;
    }
    if (more > largest || own > largest - more) {
        return FW_HELD_TOO_LARGE;
    }
    if (Fw_HeldShare_Level(u) == FW_HELD_FULL ||
        own + more > Fw_HeldShare_Limit(u)) {
        return FW_HELD_NO_ROOM;
    }
    return FW_HELD_ADMITTED;
}

size_t
Fw_HeldShare_ServerLimit(const struct fw_held_use *u)
{
    size_t shared = shared_bytes(u);

    if (!u->budget) {
        return SIZE_MAX;
    }
    return at_least(u->waiting < shared ? (shared - u->waiting) / 2 : 0,
                    FW_HELD_SERVER_BYTES);
}
