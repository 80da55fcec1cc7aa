#ifndef FW_REVIEW_STORE_H
#define FW_REVIEW_STORE_H

#include <glib.h>

#include "http/server.h"

struct lab_store;

struct lab_store *
Lab_Store_New(void);
int
Lab_Store_Port(const struct lab_store *s);
/* Appends a record; a @value of NULL deletes the key. */
void
Lab_Store_Put(struct lab_store *s, const char *topic, const void *key,
              size_t key_len, const void *value, size_t len);

/* Calls @fn whenever the servers' records are read from some offset on. */
void
Lab_Store_OnServersRead(struct lab_store *s, void (*fn)(void));

#endif
