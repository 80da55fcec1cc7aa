/*
 * Reads the stream, claims roles and hands them over.
 *
 * One read is open at a time; the log holds it until a record arrives or
 * FW_ROLE_LONG_POLL_US have passed. That keeps the view younger than
 * FW_ROLE_VIEW_MAX_AGE_US at the cost of one exchange per poll.
 */
#include "fleet/role.h"

#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "fleet/role_internal.h"

struct fw_roles *
Fw_Roles_New(const struct fw_self *self, int n_partitions,
             const int64_t wait_us[FW_ROLE_KINDS])
{
    struct fw_roles *r = g_new0(struct fw_roles, 1);

    r->self = *self;
    r->rand =
        g_rand_new_with_seed((guint32)(Fw_Hash_Str(self->name) ^ self->boot));
    r->n_partitions = MAX(n_partitions, 1);
    memcpy(r->wait_us, wait_us, sizeof(r->wait_us));
    r->slots = g_new0(struct fw_role_slot,
                      (gsize)FW_ROLE_KINDS * (gsize)r->n_partitions);
    /* Each region has its own stream. */
    if (self->region[0]) {
        g_snprintf(r->stream, sizeof(r->stream), "%s-%s", FW_STREAM_ROLES,
                   self->region);
    }
    else {
        g_strlcpy(r->stream, FW_STREAM_ROLES, sizeof(r->stream));
    }
    r->next_offset = 1;
    r->read_backoff_us = FW_ROLE_BACKOFF_MIN_US;
    r->view_us = INT64_MIN / 2;
    return r;
}

void
Fw_Roles_Free(struct fw_roles *r)
{
    g_rand_free(r->rand);
    g_free(r->slots);
    g_free(r);
}

static int64_t
jitter(struct fw_roles *r, int64_t us)
{
    return us / 2 + g_rand_int_range(r->rand, 0, (gint32)us);
}

static void
send_read(struct fw_roles *r, int64_t now_us, struct fw_actions *out)
{
    r->read_ticket = Fw_Owner_MakeId(FW_OWNER_ROLES, ++r->ticket);
    r->read_sent_us = now_us;
    /* The first read doesn't wait for records: the stream may be idle. */
    Fw_Actions_ReadLog(out, r->read_ticket, r->stream, r->next_offset,
                       FW_ROLE_READ_RECORDS_MAX,
                       r->has_read ? FW_ROLE_LONG_POLL_US : 0);
}

static void
tick_read(struct fw_roles *r, int64_t now_us, struct fw_actions *out)
{
    if (r->read_ticket &&
        now_us >= r->read_sent_us + FW_ROLE_READ_TIMEOUT_US) {
        r->read_ticket = 0;
    }
    if (!r->read_ticket && now_us >= r->next_read_us) {
        send_read(r, now_us, out);
    }
    if (!r->read_ticket) {
        Fw_Actions_Wake(out, r->next_read_us);
    }
}

/* Forgets all roles, since any may have changed in records that were missed.
 */
static void
reset_slots(struct fw_roles *r)
{
    for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
        struct fw_role_slot *slot = &r->slots[i];
        *slot = (struct fw_role_slot){.vacant_since_us = 0};
    }
}

static void
apply_records(struct fw_roles *r, const struct fw_log_records *rec,
              int64_t now_us, struct fw_actions *out)
{
    uint64_t first = rec->n > 0 ? rec->first_offset
                                : MAX(rec->oldest_offset, r->next_offset);

    if (!r->has_read && rec->oldest_offset <= 1 && first <= 1) {
        for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
            r->slots[i].known = 1; /* the stream is read from its start */
        }
    }
    if (first > r->next_offset || rec->end_offset < r->next_offset) {
        reset_slots(r);
        r->next_offset = first;
    }
    r->has_read = 1;
    for (int i = 0; i < rec->n; i++) {
        struct fw_role_record one;
        uint64_t offset = rec->first_offset + (uint64_t)i;
        if (offset < r->next_offset) {
            continue;
        }
        r->next_offset = offset + 1;
        if (Fw_Role_Parse(rec->records[i], r->n_partitions, &one)) {
            Fw_Actions_Note(out, LOG_ERR, "role_record_bad", "stream",
                            r->stream, "record", rec->records[i], NULL);
            continue;
        }
        Fw_Role_Apply(r, &one, offset, now_us, out);
    }
}

void
Fw_Roles_OnRecords(struct fw_roles *r, const struct fw_log_records *rec,
                   int64_t now_us, struct fw_actions *out)
{
    if (rec->ticket != r->read_ticket) {
        return;
    }
    r->read_ticket = 0;
    if (rec->err) {
        r->next_read_us = now_us + jitter(r, r->read_backoff_us);
        r->read_backoff_us =
            MIN(2 * r->read_backoff_us, FW_ROLE_BACKOFF_MAX_US);
        Fw_Actions_Wake(out, r->next_read_us);
        return;
    }
    r->read_backoff_us = FW_ROLE_BACKOFF_MIN_US;
    apply_records(r, rec, now_us, out);
    if (r->next_offset >= rec->end_offset) {
        r->view_us = r->read_sent_us;
    }
    /* Limits the rate of reads in case the log answers them at once. */
    r->next_read_us =
        rec->n > 0 ? now_us
                   : MAX(now_us, r->read_sent_us + FW_ROLE_CHECK_INTERVAL_US);
    tick_read(r, now_us, out);
    r->next_check_us = 0;
    Fw_Actions_Wake(out, now_us);
}

void
Fw_Roles_OnAppended(struct fw_roles *r, const struct fw_log_appended *a,
                    int64_t now_us, struct fw_actions *out)
{
    if (a->ticket != r->append_ticket) {
        return;
    }
    r->append_ticket = 0;
    if (a->err) {
        /* The records may have been appended nevertheless. Claiming again is
         * safe: a claim is void if the record that it names as replaced is no
         * longer in force. */
        r->next_append_us = now_us + jitter(r, FW_SEC);
        for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
            r->slots[i].claimed_us = 0;
        }
        Fw_Actions_Wake(out, r->next_append_us);
    }
}

/* Return: how long the role must be vacant before it is claimed, -1 if it has
 * a live holder. A live holder keeps the role even if the rendezvous hash no
 * longer chooses it first. */
static int64_t
takeover_delay(const struct fw_roles *r, const struct fw_fleet *fleet,
               const struct fw_role_slot *slot)
{
    const struct fw_member *m;

    if (!slot->known) {
        return FW_ROLE_UNSURE_DELAY_US;
    }
    if (slot->offset == 0) {
        return 0;
    }
    if (strcmp(slot->holder, r->self.name) == 0) {
        return slot->boot == r->self.boot ? -1 : 0;
    }
    m = Fw_Fleet_Find(fleet, slot->holder);
    if (!m) {
        return FW_ROLE_UNSURE_DELAY_US;
    }
    if (m->boot > slot->boot || m->state == FW_MEMBER_DEAD) {
        return FW_ROLE_DEAD_DELAY_US;
    }
    return m->state == FW_MEMBER_LEAVING ? FW_ROLE_UNSURE_DELAY_US : -1;
}

/* Return: nonzero when a claim or a refresh, stored in @rec, is to be
 * appended.
 */
static int
needs_claim(struct fw_roles *r, const struct fw_fleet *fleet,
            struct fw_role_slot *slot, int64_t now_us,
            struct fw_role_record *rec)
{
    int64_t delay = takeover_delay(r, fleet, slot);
    const struct fw_member *m;

    rec->replaces = slot->known ? (int64_t)slot->offset : FW_ROLE_REPLACES_ANY;
    if (delay < 0) {
        slot->vacant_since_us = 0;
        /* The log drops old records: without a refresh, an instance that
         * starts later would not know the holder. */
        rec->replaces = FW_ROLE_REPLACES_ANY;
        return Fw_Role_IsHeldHere(r, slot) && !slot->stopped &&
               now_us >= slot->applied_us + FW_ROLE_REFRESH_INTERVAL_US;
    }
    if (slot->vacant_since_us == 0) {
        slot->vacant_since_us = now_us;
    }
    if (now_us < slot->vacant_since_us + delay) {
        return 0;
    }
    m = Fw_Fleet_Pick(fleet, Fw_Roles_Key(rec->kind, rec->partition), 0);
    return m && Fw_Fleet_IsSelf(fleet, m);
}

static int
needs_handover(struct fw_roles *r, const struct fw_fleet *fleet,
               struct fw_role_slot *slot, int64_t now_us,
               struct fw_role_record *rec)
{
    const struct fw_member *m;

    if (!Fw_Role_IsHeldHere(r, slot)) {
        return 0;
    }
    m = Fw_Fleet_Pick(fleet, Fw_Roles_Key(rec->kind, rec->partition), 0);
    slot->stopped = 1;
    if (!m || Fw_Fleet_IsSelf(fleet, m)) {
        return 0;
    }
    rec->replaces = (int64_t)slot->offset;
    /* A holder that never acted has granted nothing, so the remaining wait for
     * older grants suffices. After a handover it may have acted before
     * acts_from_us. */
    rec->wait_us = now_us < slot->acts_from_us && !slot->predecessor_tenure
                       ? slot->acts_from_us - now_us
                       : r->wait_us[rec->kind];
    g_strlcpy(rec->holder, m->name, sizeof(rec->holder));
    rec->boot = m->boot;
    return 1;
}

/* Appends the claims, refreshes or handovers that are due, in one append. */
static void
append_due_records(struct fw_roles *r, const struct fw_fleet *fleet,
                   int64_t now_us, struct fw_actions *out)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(g_free);

    for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
        struct fw_role_slot *slot = &r->slots[i];
        struct fw_role_record rec = {
            .kind = (enum fw_role_kind)(i / r->n_partitions),
            .partition = i % r->n_partitions,
            .boot = r->self.boot,
            .wait_us = -1,
        };
        g_strlcpy(rec.holder, r->self.name, sizeof(rec.holder));
        if (slot->claimed_us &&
            now_us < slot->claimed_us + FW_ROLE_VIEW_MAX_AGE_US) {
            continue;
        }
        if (r->draining ? needs_handover(r, fleet, slot, now_us, &rec)
                        : needs_claim(r, fleet, slot, now_us, &rec)) {
            slot->claimed_us = now_us;
            g_ptr_array_add(records, Fw_Role_Format(&rec));
        }
    }
    if (records->len > 0) {
        r->append_ticket = Fw_Owner_MakeId(FW_OWNER_ROLES, ++r->ticket);
        r->append_sent_us = now_us;
        Fw_Actions_AppendLog(out, r->append_ticket, r->stream,
                             (const char *const *)records->pdata,
                             (int)records->len);
    }
    g_ptr_array_unref(records);
}

void
Fw_Roles_Tick(struct fw_roles *r, const struct fw_fleet *fleet, int64_t now_us,
              struct fw_actions *out)
{
    if (r->start_us == 0) {
        r->start_us = now_us;
    }
    tick_read(r, now_us, out);
    if (r->append_ticket &&
        now_us >= r->append_sent_us + FW_ROLE_APPEND_TIMEOUT_US) {
        r->append_ticket = 0;
    }
    if (now_us < r->next_check_us) {
        Fw_Actions_Wake(out, r->next_check_us);
        return;
    }
    r->next_check_us = now_us + FW_ROLE_CHECK_INTERVAL_US;
    Fw_Actions_Wake(out, r->next_check_us);
    /* A claim based on an old view would likely be void. */
    if (r->append_ticket || now_us < r->next_append_us ||
        now_us < r->start_us + FW_ROLE_START_DELAY_US ||
        now_us - r->view_us >= FW_ROLE_VIEW_MAX_AGE_US) {
        return;
    }
    append_due_records(r, fleet, now_us, out);
}

void
Fw_Roles_Drain(struct fw_roles *r, const struct fw_fleet *fleet,
               int64_t now_us, struct fw_actions *out)
{
    r->draining = 1;
    /* Stops before the append, as the successor's shorter wait requires. */
    for (int i = 0; i < (int)FW_ROLE_KINDS * r->n_partitions; i++) {
        if (Fw_Role_IsHeldHere(r, &r->slots[i])) {
            r->slots[i].stopped = 1;
        }
    }
    r->next_check_us = 0;
    Fw_Roles_Tick(r, fleet, now_us, out);
}
