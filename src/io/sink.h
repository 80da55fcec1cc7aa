/* Destination of the events that the components of the shell emit. */
#ifndef FW_IO_SINK_H
#define FW_IO_SINK_H

#include "core/event.h"

/**
 * struct fw_sink - receives events; the shell steps the core with each.
 * @event: called with @ctx from callbacks of the main loop
 */
struct fw_sink {
    void *ctx;
    void (*event)(void *ctx, const struct fw_event *ev);
};

#endif
