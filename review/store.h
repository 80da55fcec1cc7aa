/* Stand-in of the platform's store: a log with keyed topics. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/* Starts the store. Return: its port. */
int
store_start(void);
/* Appends a record of the operator or of a server; @value NULL deletes. */
void
store_put(const char *topic, const char *key, const char *value);

#endif
