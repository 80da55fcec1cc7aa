/*
 * The platform's list of instances and upstreams: carries out
 * FW_ACT_LIST_READ, gives FW_EV_LISTED, and keeps this instance's own entry.
 */
#ifndef FW_IO_LIST_CLIENT_H
#define FW_IO_LIST_CLIENT_H

#include "base/metrics.h"
#include "core/types.h"
#include "io/sink.h"

struct fw_registry_client;

/* @url: base URL, the list is at URL/list. */
struct fw_registry_client *
Fw_RegistryClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      const char *url, const struct fw_self *self);
void
Fw_RegistryClient_Free(struct fw_registry_client *c);

void
Fw_RegistryClient_Read(struct fw_registry_client *c);
/* Registers this instance and tries again until the list has taken it. */
void
Fw_RegistryClient_Register(struct fw_registry_client *c);
/* Marks this instance as leaving, with the same persistence. */
void
Fw_RegistryClient_MarkLeaving(struct fw_registry_client *c);
/* Removes the entry, tried once; @done follows in any case. */
void
Fw_RegistryClient_Unregister(struct fw_registry_client *c,
                             void (*done)(void *), void *ctx);

#endif
