/*
 * Bytes that this instance holds for callers and servers, charged to a budget.
 *
 * Each connection has an account, which its buffers are charged to by kind.
 * Without an account (NULL) nothing is charged or bounded. decide/held_share.h
 * decides how much an account may hold.
 */
#ifndef FW_HELD_HELD_H
#define FW_HELD_HELD_H

#include <glib.h>

#include "base/metrics.h"
#include "decide/held_share.h"

/** enum fw_held_kind - what bytes are held for. */
enum fw_held_kind {
    FW_HELD_CONNECTION, /* the connection itself */
    FW_HELD_INPUT,      /* received and not parsed */
    FW_HELD_HEAD,       /* heads of requests */
    FW_HELD_BODY,       /* bodies of requests, in full from their beginning */
    FW_HELD_REQUEST,    /* not sent to servers, except for bodies */
    FW_HELD_RESPONSE,   /* held back until the response is complete */
    FW_HELD_OUTPUT,     /* not read by callers */
    FW_HELD_STORE,      /* responses of the store */
    FW_HELD_LOG,        /* log lines, in full from the start */
    FW_HELD_KINDS,
};

/** struct fw_held - a budget. */
struct fw_held;
/** struct fw_held_account - what one connection holds; counts references. */
struct fw_held_account;

/**
 * struct fw_held_wait - a pause until an account may hold more, embedded in
 * who is paused.
 * @account: NULL while not waiting
 * @need: bytes that the account must be able to hold
 * @resume: may neither free connections nor write to them
 */
struct fw_held_wait {
    struct fw_list link;
    struct fw_held_account *account;
    size_t need;
    void (*resume)(void *ctx);
    void *ctx;
};

struct fw_held *
Fw_Held_New(void);
/* All accounts must have been freed. */
void
Fw_Held_Free(struct fw_held *h);
/* @bytes: 0 for no bound */
void
Fw_Held_SetBudget(struct fw_held *h, size_t bytes);
/* @n: most connections with an account, 0 for no bound */
void
Fw_Held_SetMostConnections(struct fw_held *h, int n);
/* Counts a connection that was opened (1) or closed (-1). */
void
Fw_Held_CountConnection(struct fw_held *h, int change);
/* Counts one whose request is served (1), or no longer (-1). */
void
Fw_Held_CountCaller(struct fw_held *h, int change);
const struct fw_held_connections *
Fw_Held_Connections(const struct fw_held *h);
void
Fw_Held_AddMetrics(struct fw_held *h, struct fw_metrics *m);
const struct fw_held_use *
Fw_Held_Use(const struct fw_held *h);
size_t
Fw_Held_OfKind(const struct fw_held *h, enum fw_held_kind kind);
/* Number of pauses in progress. */
int
Fw_Held_CountWaits(const struct fw_held *h);
/* Ends the pauses of accounts that may hold more; to be called periodically */
void
Fw_Held_Resume(struct fw_held *h);
/* Counts a request that was rejected as it could not be held. */
void
Fw_Held_NoteRejected(struct fw_held *h);

/* Bytes of requests that wait to be read by the server at @addr. */
size_t
Fw_Held_Waiting(const struct fw_held *h, const char *addr);
/* Whether @more bytes may wait for the server at @addr. @h may be NULL. */
int
Fw_Held_MayWait(const struct fw_held *h, const char *addr, size_t more);
/* Changes a part of the bytes that wait for @addr from *@counted to @now. */
void
Fw_Held_SetWaiting(struct fw_held *h, const char *addr, size_t *counted,
                   size_t now);

/* @bytes: of bodies that one server may hold from here, 0 for no bound */
void
Fw_Held_SetServerBound(struct fw_held *h, size_t bytes);
/* Whether the server at @addr may get a body of @bytes. @h may be NULL. */
int
Fw_Held_MayGive(const struct fw_held *h, const char *addr, size_t bytes);
/* Changes a part of the bytes that the server holds from *@counted to @now. */
void
Fw_Held_SetGiven(struct fw_held *h, const char *addr, size_t *counted,
                 size_t now);

/* Return: a new account, NULL if @h is. */
struct fw_held_account *
Fw_HeldAccount_New(struct fw_held *h);
struct fw_held_account *
Fw_HeldAccount_Ref(struct fw_held_account *a);
/* The last reference must be dropped after everything was released. */
void
Fw_HeldAccount_Unref(struct fw_held_account *a);
/* The account is charged but not bounded: for checks of this instance. */
void
Fw_HeldAccount_SetUnbounded(struct fw_held_account *a);
struct fw_held *
Fw_HeldAccount_Budget(const struct fw_held_account *a);
/* Changes a charge of @kind from *@charged, which it updates, to @now. */
void
Fw_HeldAccount_Set(struct fw_held_account *a, enum fw_held_kind kind,
                   size_t *charged, size_t now);
/* Bytes that @a holds now, without those of FW_HELD_CONNECTION. */
size_t
Fw_HeldAccount_Bytes(const struct fw_held_account *a);
/* Bytes that @a may hold in addition. */
size_t
Fw_HeldAccount_Room(const struct fw_held_account *a);
/* Whether @a may hold @more bytes for a new request. */
enum fw_held_admission
Fw_HeldAccount_Admit(const struct fw_held_account *a, size_t more);
/*
 * Returns @len bytes of @data, which it owns from now on, as bytes. The charge
 * @charged of @kind is released with their last reference.
 */
GBytes *
Fw_HeldAccount_TakeBytes(struct fw_held_account *a, enum fw_held_kind kind,
                         void *data, size_t len, size_t charged);
/* Starts a pause until @a may hold @w->need bytes more; idempotent. */
void
Fw_HeldAccount_Wait(struct fw_held_account *a, struct fw_held_wait *w);
/* Ends a pause, if any, without a callback. */
void
Fw_HeldWait_Cancel(struct fw_held_wait *w);

#endif
