/*
 * Joining a running request. A caller that sends the id of an earlier request
 * again is subscribed to it instead of causing a second run: the directory
 * names the instance that runs it (the owner), and the owner forwards the
 * answer from its first piece.
 */
#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "request/request_internal.h"

uint64_t
Fw_Join_Key(const char *team, const char *id)
{
    /* A cryptographic hash, so that a team can't choose an id that collides
     * with another team's request and receive its answer. */
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[32];
    gsize size = sizeof(digest);
    uint64_t key;

    g_checksum_update(sum, (const guchar *)team, (gssize)strlen(team) + 1);
    g_checksum_update(sum, (const guchar *)id, (gssize)strlen(id));
    g_checksum_get_digest(sum, digest, &size);
    g_checksum_free(sum);
    memcpy(&key, digest, sizeof(key));
    return key ? key : 1;
}

static void
set_deadline(struct fw_request *rq, int64_t until_us, struct fw_actions *out)
{
    rq->stage_deadline_us = until_us;
    Fw_Actions_Wake(out, until_us);
}

void
Fw_Join_LookUpOwner(struct fw_requests *rs, struct fw_request *rq,
                    int64_t now_us, struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Pick(rs->deps.fleet, rq->key, 0);
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_LOOKUP,
        .u.lookup = {.ticket = rq->ticket, .key = rq->key},
    };

    rq->stage = FW_STAGE_LOOKUP;
    if (!m || Fw_Fleet_IsSelf(rs->deps.fleet, m)) {
        struct fw_request_msg own = {.kind = FW_REQUEST_OWNER};
        own.u.owner.ticket = rq->ticket;
        g_strlcpy(own.u.owner.owner,
                  Fw_Directory_Claim(&rs->directory, rq->key,
                                     rs->deps.self->name, now_us),
                  FW_NAME_MAX);
        Fw_Join_OnMsg(rs, rs->deps.self->name, &own, now_us, out);
        return;
    }
    set_deadline(rq, now_us + FW_LOOKUP_TIMEOUT_US, out);
    Fw_Request_Send(rs, m->name, &msg, out);
}

void
Fw_Join_Leave(struct fw_requests *rs, struct fw_request *rq,
              struct fw_actions *out)
{
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_LEAVE,
        .u.join = {.ticket = rq->ticket, .key = rq->key},
    };

    Fw_Request_Send(rs, rq->owner, &msg, out);
}

static void
send_join(struct fw_requests *rs, const struct fw_request *rq,
          struct fw_actions *out)
{
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_JOIN,
        .u.join = {.ticket = rq->ticket, .key = rq->key},
    };

    Fw_Request_Send(rs, rq->owner, &msg, out);
}

static void
take_over(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
          struct fw_actions *out)
{
    Fw_Directory_Set(&rs->directory, rq->key, rs->deps.self->name, now_us);
    /* The owner may have begun the request; the time spent waiting for it
     * doesn't count as queueing time. */
    rq->ran = MAX(rq->ran, FW_RAN_MAYBE);
    rq->arrived_us = now_us;
    Fw_Request_Trace(rs, rq, now_us, "owner %s does not answer, running here",
                     rq->owner);
    Fw_Request_AcquireBudget(rs, rq, now_us, out);
}

void
Fw_Join_OnOwnerTimeout(struct fw_requests *rs, struct fw_request *rq,
                       int64_t now_us, struct fw_actions *out)
{
    if (rq->probing) {
        take_over(rs, rq, now_us, out);
        return;
    }
    rq->probing = 1;
    send_join(rs, rq, out);
    set_deadline(rq, now_us + FW_JOIN_TIMEOUT_US, out);
}

static void
on_owner(struct fw_requests *rs, const struct fw_request_owner *own,
         int64_t now_us, struct fw_actions *out)
{
    struct fw_request *rq = Fw_Request_ByTicket(rs, own->ticket);
    const struct fw_member *m = Fw_Fleet_Find(rs->deps.fleet, own->owner);

    if (!rq || rq->stage != FW_STAGE_LOOKUP) {
        return;
    }
    if (!m || m->state == FW_MEMBER_DEAD ||
        Fw_Fleet_IsSelf(rs->deps.fleet, m)) {
        Fw_Request_AcquireBudget(rs, rq, now_us, out);
        return;
    }
    rs->counters.joined.value++;
    g_strlcpy(rq->owner, own->owner, sizeof(rq->owner));
    rq->stage = FW_STAGE_REMOTE;
    rq->probing = 1;
    send_join(rs, rq, out);
    set_deadline(rq, now_us + FW_JOIN_TIMEOUT_US, out);
}

static void
on_join(struct fw_requests *rs, const char *from,
        const struct fw_request_join *join, struct fw_actions *out)
{
    struct fw_request *rq = g_hash_table_lookup(rs->by_key, &join->key);
    struct fw_request_msg unknown = {
        .kind = FW_REQUEST_FAIL,
        .u.fail = {.ticket = join->ticket},
    };
    struct fw_request_msg joined = {
        .kind = FW_REQUEST_JOINED,
        .u.join = *join,
    };
    struct fw_subscriber *sub;

    /* A request that waits for its own owner can't be joined: two instances
     * could otherwise wait for each other. */
    if (!rq || rq->stage == FW_STAGE_REMOTE || rq->stage == FW_STAGE_LOOKUP) {
        Fw_Request_Send(rs, from, &unknown, out);
        return;
    }
    Fw_Request_Send(rs, from, &joined, out);
    sub = Fw_Subscriber_FindPeer(rq, from, join->ticket);
    if (sub) {
        sub->next_index = 0; /* a message was lost; send all again */
    }
    else {
        if (Fw_List_Empty(&rq->subscribers) && rq->stage != FW_STAGE_DONE) {
            rq->stage_deadline_us = 0;
        }
        Fw_Subscriber_AddPeer(rq, from, join->ticket);
    }
    Fw_Subscriber_Flush(rs, rq, out);
}

static void
on_leave(struct fw_requests *rs, const char *from,
         const struct fw_request_join *join, int64_t now_us,
         struct fw_actions *out)
{
    struct fw_request *rq = g_hash_table_lookup(rs->by_key, &join->key);
    struct fw_subscriber *sub =
        rq ? Fw_Subscriber_FindPeer(rq, from, join->ticket) : NULL;

    if (!sub) {
        return;
    }
    Fw_Subscriber_Remove(rs, sub);
    if (Fw_List_Empty(&rq->subscribers) && rq->stage != FW_STAGE_DONE) {
        rq->stage_deadline_us = now_us + FW_REJOIN_GRACE_US;
        Fw_Actions_Wake(out, rq->stage_deadline_us);
    }
}

/* Return: the request with @ticket that waits for owner @from, or NULL. */
static struct fw_request *
find_remote(struct fw_requests *rs, const char *from, uint64_t ticket)
{
    struct fw_request *rq = Fw_Request_ByTicket(rs, ticket);

    return rq && rq->stage == FW_STAGE_REMOTE && strcmp(rq->owner, from) == 0
               ? rq
               : NULL;
}

static void
on_joined(struct fw_requests *rs, const char *from,
          const struct fw_request_join *join, int64_t now_us,
          struct fw_actions *out)
{
    struct fw_request *rq = find_remote(rs, from, join->ticket);

    if (rq) {
        rq->probing = 0;
        set_deadline(rq, now_us + FW_OWNER_TIMEOUT_US, out);
    }
}

static void
on_piece(struct fw_requests *rs, const char *from,
         const struct fw_request_piece *piece, int64_t now_us,
         struct fw_actions *out)
{
    struct fw_request *rq = find_remote(rs, from, piece->ticket);

    if (!rq) {
        return;
    }
    rq->probing = 0;
    set_deadline(rq, now_us + FW_OWNER_TIMEOUT_US, out);
    Fw_Request_AddPiece(rq, piece->index, piece->text);
    Fw_Subscriber_Flush(rs, rq, out);
}

static void
on_end(struct fw_requests *rs, const char *from,
       const struct fw_request_end *end, int64_t now_us,
       struct fw_actions *out)
{
    struct fw_request *rq = find_remote(rs, from, end->ticket);

    if (!rq) {
        return;
    }
    if ((int64_t)rq->piece_ends->len < end->output_tokens) {
        /* A message was lost: join again, which sends all pieces from the
         * first; Fw_Request_AddPiece drops duplicates. */
        send_join(rs, rq, out);
        return;
    }
    g_strlcpy(rq->finish_reason, end->reason, sizeof(rq->finish_reason));
    rq->prompt_tokens = end->prompt_tokens;
    rq->stage = FW_STAGE_IDLE;
    rq->granted_tokens = 0;
    Fw_Request_Finish(rs, rq, now_us, out);
}

static void
on_fail(struct fw_requests *rs, const char *from,
        const struct fw_request_fail *fail, int64_t now_us,
        struct fw_actions *out)
{
    struct fw_request *rq = find_remote(rs, from, fail->ticket);

    if (!rq) {
        return;
    }
    if (fail->status == 0) {
        take_over(rs, rq, now_us, out);
        return;
    }
    rq->ran = fail->ran;
    rq->stage = FW_STAGE_IDLE;
    Fw_Request_Fail(rs, rq, (int)fail->status, fail->code,
                    "the request failed on the instance that ran it",
                    fail->retry_after_us, now_us, out);
}

static void
on_lookup(struct fw_requests *rs, const char *from,
          const struct fw_request_lookup *lookup, int64_t now_us,
          struct fw_actions *out)
{
    const char *owner =
        Fw_Directory_Claim(&rs->directory, lookup->key, from, now_us);
    const struct fw_member *m = Fw_Fleet_Find(rs->deps.fleet, owner);
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_OWNER,
        .u.owner = {.ticket = lookup->ticket},
    };

    if (!m || m->state == FW_MEMBER_DEAD) {
        Fw_Directory_Set(&rs->directory, lookup->key, from, now_us);
        owner = from;
    }
    g_strlcpy(msg.u.owner.owner, owner, FW_NAME_MAX);
    Fw_Request_Send(rs, from, &msg, out);
}

void
Fw_Join_OnMsg(struct fw_requests *rs, const char *from,
              const struct fw_request_msg *msg, int64_t now_us,
              struct fw_actions *out)
{
    switch (msg->kind) {
    case FW_REQUEST_LOOKUP:
        on_lookup(rs, from, &msg->u.lookup, now_us, out);
        break;
    case FW_REQUEST_OWNER:
        on_owner(rs, &msg->u.owner, now_us, out);
        break;
    case FW_REQUEST_JOIN:
        on_join(rs, from, &msg->u.join, out);
        break;
    case FW_REQUEST_JOINED:
        on_joined(rs, from, &msg->u.join, now_us, out);
        break;
    case FW_REQUEST_PIECE:
        on_piece(rs, from, &msg->u.piece, now_us, out);
        break;
    case FW_REQUEST_END:
        on_end(rs, from, &msg->u.end, now_us, out);
        break;
    case FW_REQUEST_FAIL:
        on_fail(rs, from, &msg->u.fail, now_us, out);
        break;
    case FW_REQUEST_LEAVE:
        on_leave(rs, from, &msg->u.join, now_us, out);
        break;
    case FW_REQUEST_HELD:
    case FW_REQUEST_DISOWN:
    case FW_REQUEST_STRIKE:
    case FW_REQUEST_STRIKE_RESULT:
    case FW_REQUEST_QUARANTINE:
        break;
    }
}
