/*
 * Client of the platform's service registry ("list" in settings and URLs),
 * which names all instances and upstreams. Executes FW_ACT_REGISTRY_READ,
 * emits FW_EV_REGISTRY and maintains this instance's own entry.
 */
#ifndef FW_IO_REGISTRY_CLIENT_H
#define FW_IO_REGISTRY_CLIENT_H

#include "base/metrics.h"
#include "core/types.h"
#include "io/sink.h"

struct fw_registry_client;

/* @url: base URL of the registry; requests go to URL/list. */
struct fw_registry_client *
Fw_RegistryClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      const char *url, const struct fw_self *self);
void
Fw_RegistryClient_Free(struct fw_registry_client *c);

/* Requests all entries, unless such a request is in progress. */
void
Fw_RegistryClient_Read(struct fw_registry_client *c);
/* Writes this instance's entry; retries with backoff until it succeeds. */
void
Fw_RegistryClient_Register(struct fw_registry_client *c);
/* Marks this instance as leaving; retries like Fw_RegistryClient_Register. */
void
Fw_RegistryClient_MarkLeaving(struct fw_registry_client *c);
/* Removes the entry without retries; then calls @done, also on failure. */
void
Fw_RegistryClient_Unregister(struct fw_registry_client *c,
                             void (*done)(void *), void *ctx);

#endif
