/* Engines of a simulated fleet that crash, start again and are listed late. */
#ifndef FW_EXPLORE_RELAY_CRASHES_H
#define FW_EXPLORE_RELAY_CRASHES_H

#include "explore/relay_call.h"

#define FW_DECODE_ENGINES 10
#define FW_ENGINES (FW_DECODE_ENGINES + 4)

/**
 * struct engine - an engine of the service "llm".
 * @lifetime: number of its process lifetime, a part of its id
 * @is_up: it accepts connections
 * @start_us: when it starts again, if it is down
 * @unlist_us: when the entry of the lifetime that ended is removed; 0 for none
 */
struct engine {
    int lifetime;
    int is_up;
    int64_t start_us;
    int64_t unlist_us;
};

/**
 * struct crash_engines - the engines and the calls on their way to them.
 * @calls: of struct relay_call
 * @n_crashes: crashes so far
 */
struct crash_engines {
    struct engine engines[FW_ENGINES];
    GArray *calls;
    int n_crashes;
};

void
Fw_CrashEngines_Init(struct crash_engines *e, struct fleet *fleet);
void
Fw_CrashEngines_Clear(struct crash_engines *e);
/* Lists the engines at an instance that has started. */
void
Fw_CrashEngines_List(const struct crash_engines *e, struct fleet *fleet,
                     int i);
/* The engine @k ends: its connections are reset, new ones are refused. */
void
Fw_CrashEngines_Crash(struct crash_engines *e, struct fleet *fleet, int k);
/* The connections of the engine @k are reset; it goes on. */
void
Fw_CrashEngines_Reset(struct crash_engines *e, struct fleet *fleet, int k);
/* Starts engines again and updates their entries at all instances. */
void
Fw_CrashEngines_Advance(struct crash_engines *e, struct fleet *fleet);
/* Index of the engine that @call goes to. */
int
Fw_CrashEngines_Find(const struct fw_rl_upstream_call *call);
/* Is the lifetime that @call goes to running? */
int
Fw_CrashEngines_Accepts(const struct crash_engines *e,
                        const struct fw_rl_upstream_call *call);

#endif
