/*
 * The platform's list of instances and upstreams: carries out
 * FW_ACT_REGISTRY_READ, gives FW_EV_REGISTRY, and keeps this instance's own
 * entry.
 */
#ifndef FW_IO_LIST_CLIENT_H
#define FW_IO_LIST_CLIENT_H

#include "base/metrics.h"
#include "core/types.h"
#include "io/sink.h"

struct fw_list_client;

/* @url: base URL, the list is at URL/list. */
struct fw_list_client *
Fw_ListClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                  const char *url, const struct fw_self *self);
void
Fw_ListClient_Free(struct fw_list_client *c);

void
Fw_ListClient_Read(struct fw_list_client *c);
/* Registers this instance and tries again until the list has taken it. */
void
Fw_ListClient_Register(struct fw_list_client *c);
/* Marks this instance as leaving, with the same persistence. */
void
Fw_ListClient_Leave(struct fw_list_client *c);
/* Removes the entry, tried once; @done follows in any case. */
void
Fw_ListClient_Remove(struct fw_list_client *c, void (*done)(void *),
                     void *ctx);

#endif
