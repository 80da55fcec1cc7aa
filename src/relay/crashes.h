/*
 * Requests that crash the servers that run them, and parts of prompts that do:
 * what crashed servers were running, and what is in quarantine for it.
 */
#ifndef FW_RELAY_CRASHES_H
#define FW_RELAY_CRASHES_H

#include "decide/crash_blame.h"
#include "relay/peers.h"
#include "relay/servers.h"

/* Runs that broke off whose servers may turn out to have ended. */
#define FW_RL_BROKEN_RUNS_MAX 64

/** enum fw_rl_broken_run_state - what is known about the server. */
enum fw_rl_broken_run_state {
    FW_RL_BROKEN_NONE,   /* the entry is unused, or the server lives on */
    FW_RL_BROKEN_NEW,    /* the server is to be probed */
    FW_RL_BROKEN_PROBED, /* the server was probed */
};

/**
 * struct fw_rl_broken_run - a run whose connection to its server broke.
 * @server: hash of the server's id
 * @lifetime: as in struct fw_crash
 * @at_us: when the connection broke
 * @began_us: when the response had begun, INT64_MAX if it had not
 * @keys: what may have crashed the server
 */
struct fw_rl_broken_run {
    enum fw_rl_broken_run_state state;
    uint64_t server;
    uint64_t lifetime;
    int64_t at_us;
    int64_t began_us;
    int n_keys;
    struct fw_blame_key keys[FW_RL_PARTS_MAX + 1];
};

/**
 * struct fw_rl_stored_key - what the store's records say about a key.
 * @crash_us: its last crash, FW_NEVER_SOUND if there is no such record
 * @released_us: it was cleared of all crashes until then, FW_NEVER_SOUND if
 *     there is no such record
 */
struct fw_rl_stored_key {
    uint64_t key;
    int64_t crash_us;
    int64_t released_us;
    int n_crashes;
};

/**
 * struct fw_rl_crashes - see crashes.c.
 * @runs: ring of broken runs
 * @n_runs: number added to it so far
 * @probe_due: a server is to be probed
 * @changed: other instances are to be sent something
 * @next_quarantine: number of quarantines sent so far
 * @sent_us: when other instances were last sent anything
 * @asked_us: when others were last asked for what they know
 * @asking_since_us: when they were first asked, 0 for never
 * @is_answered: one that knows what is in quarantine has answered
 * @nobody_knows: all that were asked have just started as well
 * @is_logged: the log says so
 * @stored: struct fw_rl_stored_key, as last read from the store
 * @is_stored_current: no other instance has written to the store since
 * @n_stored_read: quarantines in the store as it was first read
 */
struct fw_rl_crashes {
    struct fw_blame blame;
    struct fw_rl_broken_run runs[FW_RL_BROKEN_RUNS_MAX];
    unsigned n_runs;
    int probe_due;
    int changed;
    unsigned next_quarantine;
    int64_t sent_us;
    int64_t asked_us;
    int64_t asking_since_us;
    int is_answered;
    int nobody_knows;
    int is_logged;
    GArray *stored;
    int is_stored_current;
    int n_stored_read;
};

/* crashes.c */
void
Fw_Crashes_Init(struct fw_relay *r);
void
Fw_Crashes_Clear(struct fw_relay *r);
/* Adds the service of @c to the keys that its prompt's parts stand for. */
void
Fw_Crashes_BindParts(struct fw_rl_call *c);
/* The connection to @s broke while it ran or prefilled @c. */
void
Fw_Crashes_NoteDisconnect(struct fw_relay *r, const struct fw_rl_call *c,
                          const struct fw_rl_server *s, int64_t now_us,
                          struct fw_rl_actions *out);
/* The process of @s has ended. Return: number of broken runs there. */
int
Fw_Crashes_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                      int64_t now_us, struct fw_rl_actions *out);
/* @s has responded to a call that was sent at @sent_us. */
void
Fw_Crashes_ServerResponded(struct fw_relay *r, const struct fw_rl_server *s,
                           int64_t sent_us, int64_t now_us);
/* The response to @c is good, and has lasted or is complete. */
void
Fw_Crashes_NoteSound(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/* As above if the response has lasted long enough. */
void
Fw_Crashes_NoteLasting(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us);
/*
 * Whether something in @c is in quarantine. @retry_us: receives the delay to
 * suggest to its caller.
 */
int
Fw_Crashes_IsQuarantined(const struct fw_relay *r, const struct fw_rl_call *c,
                         int64_t now_us, int64_t *retry_us);
/*
 * Applies what was learned: logs it, and rejects requests that wait or whose
 * response has not begun if something in them is in quarantine now.
 */
void
Fw_Crashes_Update(struct fw_relay *r, int64_t now_us,
                  struct fw_rl_actions *out);
/* As above, and probes servers. */
void
Fw_Crashes_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);

/* crash_message.c */
/* Sends other instances what is known about crashes here, if that is due. */
void
Fw_CrashMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o isn't a valid message about crashes. */
int
Fw_CrashMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us);
/* Packs one row. */
void
Fw_CrashMessage_PackQuarantine(msgpack_packer *pk,
                               const struct fw_quarantine *q, int64_t now_us);
/* Applies such rows. Return: 0, or -EBADMSG if any isn't valid. */
int
Fw_CrashMessage_ReadQuarantines(struct fw_relay *r, const msgpack_object *rows,
                                int64_t now_us);

/* crash_store.c */
/* All records were read: takes up what is in quarantine by them. */
void
Fw_CrashStore_EndList(struct fw_relay *r, int64_t now_us);

/* crash_query.c */
/*
 * Whether this instance knows what is in quarantine, as far as the others do:
 * they have answered, there are none, or it has waited long enough.
 */
int
Fw_CrashQuery_IsAnswered(const struct fw_relay *r, int64_t now_us);
/* Asks other instances, if that is due. */
void
Fw_CrashQuery_SendDue(struct fw_relay *r, int64_t now_us,
                      struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o is neither a valid question nor an answer. */
int
Fw_CrashQuery_Read(struct fw_relay *r, const msgpack_object *o,
                   const char *addr, int64_t now_us, struct fw_rl_outbox *out);

#endif
